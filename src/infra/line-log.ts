/**
 * Log by tslog: one line of key=value pairs for each event, on standard output.
 * @module
 */
import * as tslog from 'tslog';
import type { Fields, Log } from '../core/definitions.js';

const levels = { debug: 2, info: 3, warn: 4, error: 5 } as const;
export type LogLevel = keyof typeof levels;

export interface LineLogOptions {
	level: LogLevel;
	/** Fields that stand on every line. */
	base: Fields;
	/** @default writes to standard output */
	write?: (line: string) => void;
}

export class LineLog implements Log {
	private readonly logger: tslog.Logger<unknown>;

	constructor(opts: LineLogOptions) {
		const write = opts.write ?? ((line: string) => process.stdout.write(line));
		this.logger = new tslog.Logger({
			type: 'hidden',
			minLevel: levels[opts.level],
			hideLogPositionForProduction: true,
		});
		const base = formatFields(opts.base);
		this.logger.attachTransport((record) => {
			const event = String(record['0']);
			const fields = (record['1'] ?? {}) as Fields;
			const level = record._meta?.logLevelName.toLowerCase();
			const head = { time: record._meta?.date.toISOString(), level, event };
			const parts = [formatFields(head), base, formatFields(fields)];
			write(`${parts.filter((part) => part !== '').join(' ')}\n`);
		});
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
}

/** `key=value` pairs; values with spaces or quotes are quoted as JSON. */
export function formatFields(fields: Fields): string {
	const pairs: string[] = [];
	for (const [key, value] of Object.entries(fields)) {
		if (value !== undefined) {
			pairs.push(`${key}=${formatValue(value)}`);
		}
	}
	return pairs.join(' ');
}

function formatValue(value: string | number | boolean): string {
	if (typeof value !== 'string') {
		return String(value);
	}
	return /^[^\s"=]+$/.test(value) ? value : JSON.stringify(value);
}
