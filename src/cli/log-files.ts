/**
 * Reads log files for the commands that work without a running fleet.
 * @module
 */
import * as fs from 'node:fs';
import * as readline from 'node:readline';
import type { LogLine } from '../core/explain/log-line.js';
import { parseLogLine } from '../core/explain/log-line.js';

/**
 * Skips lines that are not log events.
 * @param files reads standard input if empty
 */
export async function readLogs(files: readonly string[]): Promise<LogLine[]> {
	const inputs =
		files.length > 0 ? files.map((file) => fs.createReadStream(file)) : [process.stdin];
	const lines: LogLine[] = [];
	for (const input of inputs) {
		for await (const text of readline.createInterface({ input })) {
			const line = parseLogLine(text);
			if (line) {
				lines.push(line);
			}
		}
	}
	return lines;
}
