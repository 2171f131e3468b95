/**
 * Parses the daemons' log lines, which are in logfmt (key=value pairs).
 * @module
 */

/** Fields of a log line by name. */
export type LogLine = ReadonlyMap<string, string>;

const pairPattern = /([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)/g;

/** Returns undefined for a line without an event or a time. */
export function parseLogLine(text: string): LogLine | undefined {
	const line = new Map<string, string>();
	for (const [, name = '', value = ''] of text.matchAll(pairPattern)) {
		line.set(name, value.startsWith('"') ? unquote(value) : value);
	}
	return line.has('event') && line.has('time') ? line : undefined;
}

function unquote(value: string): string {
	try {
		return String(JSON.parse(value));
	} catch {
		// A truncated line ends inside a quoted value; keep the raw text.
		return value;
	}
}
