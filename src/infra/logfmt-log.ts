/**
 * Log by tslog: one line of key=value pairs for each event, on standard output.
 * @module
 */
import * as tslog from 'tslog';
import type { Fields, Log } from '../core/definitions.js';

const levels = { debug: 2, info: 3, warn: 4, error: 5 } as const;
export type LogLevel = keyof typeof levels;

export interface LogfmtLogOptions {
	level: LogLevel;
	/** Fields that stand on every line. */
	baseFields: Fields;
	/** @default writes to standard output */
	write?: (line: string) => void;
}

/** One event on its way through the logger. */
interface Entry {
	args: readonly [event: string, fields: Fields];
	level: string;
}

export class LogfmtLog implements Log {
	private readonly logger: tslog.Logger<unknown>;
	private readonly base: string;

	constructor(opts: LogfmtLogOptions) {
		const write = opts.write ?? ((line: string) => process.stdout.write(line));
		this.base = formatFields(opts.baseFields);
		this.logger = new tslog.Logger({
			type: 'hidden',
			minLevel: levels[opts.level],
			hideLogPositionForProduction: true,
			// Fields are flat, and all of them are meant to be read: copies and masks of them would take half of a line's time.
			overwrite: {
				mask: (args) => args,
				toLogObj: (args): unknown => args,
				addMeta: (args, _, level) => ({ args, level }) as never,
			},
		});
		this.logger.attachTransport((entry) => write(this.lineOf(entry as unknown as Entry)));
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

	private lineOf({ args: [event, fields], level }: Entry): string {
		const time = new Date().toISOString();
		const base = this.base === '' ? '' : ` ${this.base}`;
		const own = formatFields(fields);
		const tail = own === '' ? '' : ` ${own}`;
		return `time=${time} level=${level.toLowerCase()} event=${formatValue(event)}${base}${tail}\n`;
	}
}

/** `key=value` pairs; values with spaces or quotes are quoted as JSON. */
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
