/**
 * Reads lines of key=value pairs as the daemons write them.
 * @module
 */

/** Fields of one line by name. */
export type LogLine = ReadonlyMap<string, string>;

const pair = /([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** @returns undefined for a line that names no event */
export function parseLogLine(text: string): LogLine | undefined {
	const line = new Map<string, string>();
	for (const [, name = '', value = ''] of text.matchAll(pair)) {
		line.set(name, value.startsWith('"') ? unquote(value) : value);
	}
	return line.has('event') && line.has('time') ? line : undefined;
}

function unquote(value: string): string {
	try {
		return String(JSON.parse(value));
	} catch {
		// A line that was cut short keeps what it has.
		return value;
	}
}
