/**
 * Logs events in logfmt (one line of key=value pairs per event) through tslog, to standard output by default.
 * @module
 */
import * as tslog from 'tslog';
import type { Fields, Log } from '../core/definitions.js';

const tslogLevelIds = { debug: 2, info: 3, warn: 4, error: 5 } as const;
export type LogLevel = keyof typeof tslogLevelIds;

export interface LogfmtLogOptions {
	level: LogLevel;
	/** Fields that are added to every line. */
	baseFields: Fields;
	/** @default standard output */
	write?: (line: string) => void;
}

/** Log object that tslog hands to the transport. */
interface LogEntry {
	args: readonly [event: string, fields: Fields];
	level: string;
}

export class LogfmtLog implements Log {
	private readonly logger: tslog.Logger<unknown>;
	private readonly baseText: string;

	constructor(opts: LogfmtLogOptions) {
		const write = opts.write ?? ((line: string) => process.stdout.write(line));
		this.baseText = formatFields(opts.baseFields);
		this.logger = new tslog.Logger({
			type: 'hidden',
			minLevel: tslogLevelIds[opts.level],
			hideLogPositionForProduction: true,
			// Fields are flat and hold no secrets, so the costly copying and masking of tslog is skipped.
			overwrite: {
				mask: (args) => args,
				toLogObj: (args): unknown => args,
				addMeta: (args, _, level) => ({ args, level }) as never,
			},
		});
		this.logger.attachTransport((entry) => write(this.formatLine(entry as unknown as LogEntry)));
	}

	debug(event: string, fields: Fields = {}): void {
		this.logger.debug(event, fields);
	}

	info(event: string, fields: Fields = {}): void {
		this.logger.info(event, fields);
	}

	warn(event: string, fields: Fields = {}): void {
		this.logger.warn(event, fields);
	}

	error(event: string, fields: Fields = {}): void {
		this.logger.error(event, fields);
	}

	private formatLine({ args: [event, fields], level }: LogEntry): string {
		const time = new Date().toISOString();
		const base = this.baseText === '' ? '' : ` ${this.baseText}`;
		const ownText = formatFields(fields);
		const own = ownText === '' ? '' : ` ${ownText}`;
		return `time=${time} level=${level.toLowerCase()} event=${formatValue(event)}${base}${own}\n`;
	}
}

/** Formats fields as `key=value` pairs; values with spaces, quotes or equals signs are quoted as JSON. */
export function formatFields(fields: Fields): string {
	let text = '';
	for (const key in fields) {
		const value = fields[key];
		if (value !== undefined) {
			text += `${text === '' ? '' : ' '}${key}=${formatValue(value)}`;
		}
	}
	return text;
}

function formatValue(value: string | number | boolean): string {
	if (typeof value !== 'string') {
		return String(value);
	}
	return /^[^\s"=]+$/.test(value) ? value : JSON.stringify(value);
}
