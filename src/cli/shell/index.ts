/**
 * `slategauge shell`: interactive shell for the query and command language.
 * @module
 */
import * as readline from 'node:readline';
import type * as yargs from 'yargs';
import { sources, subjects } from '../../core/query/types.js';
import { FleetClient } from '../fleet-client.js';
import type { QueryArgs } from '../query/index.js';
import { addQueryOptions, toRunOptions } from '../query/index.js';
import { runLine } from '../query/run-line.js';
import { sourceFields } from '../query/sources.js';
import type { GlobalArgs } from '../types.js';

const keywords = [
	'show',
	'set',
	'drain',
	'undrain',
	'where',
	'and',
	'group by',
	'sort by',
	'limit',
];

export const shellCommand: yargs.CommandModule<GlobalArgs, QueryArgs> = {
	command: 'shell',
	describe: 'start an interactive shell with history and completion',
	builder: addQueryOptions,
	handler: async (args) => {
		const fleet = new FleetClient(args);
		const shell = readline.createInterface({
			input: process.stdin,
			output: process.stdout,
			prompt: process.stdin.isTTY ? 'slategauge> ' : '',
			completer: completeLine,
		});
		shell.prompt();
		for await (const line of shell) {
			if (line.trim() === 'exit') {
				break;
			}
			if (line.trim() !== '') {
				await runAndPrintErrors(fleet, line, args);
			}
			shell.prompt();
		}
		shell.close();
	},
};

/** Prints errors, so that a failed statement does not end the shell. */
async function runAndPrintErrors(fleet: FleetClient, line: string, args: QueryArgs): Promise<void> {
	try {
		process.exitCode = await runLine(fleet, line, toRunOptions(args));
	} catch (err) {
		process.stderr.write(`${(err as Error).message}\n`);
	}
}

/**
 * Completes the last word: with the source's fields if the line names a source, else with keywords, sources and subjects.
 * Returns the pair that `readline` expects.
 */
export function completeLine(line: string): [string[], string] {
	const words = line.split(/\s+/);
	const prefix = words.at(-1) ?? '';
	const source = Object.values(sources).find((name) => words.slice(0, -1).includes(name));
	const candidates = source
		? [...sourceFields[source], ...keywords.slice(4)]
		: [...keywords, ...Object.values(sources), ...Object.values(subjects)];
	const matches = candidates.filter((word) => word.startsWith(prefix));
	return [matches.length > 0 ? matches : candidates, prefix];
}
