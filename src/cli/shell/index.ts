/**
 * `slategauge shell`: the query and command language with history and completion.
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

const clauses = ['show', 'set', 'drain', 'undrain', 'where', 'and', 'group by', 'sort by', 'limit'];

export const shellCommand: yargs.CommandModule<GlobalArgs, QueryArgs> = {
	command: 'shell',
	describe: 'the language line by line, with history and completion',
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
				await runSafely(fleet, line, args);
			}
			shell.prompt();
		}
		shell.close();
	},
};

/** A failed line does not end the shell. */
async function runSafely(fleet: FleetClient, line: string, args: QueryArgs): Promise<void> {
	try {
		process.exitCode = await runLine(fleet, line, toRunOptions(args));
	} catch (err) {
		process.stderr.write(`${(err as Error).message}\n`);
	}
}

/** Words that may come next: fields of the source that was named, else words of the language. */
export function completeLine(line: string): [string[], string] {
	const words = line.split(/\s+/);
	const last = words.at(-1) ?? '';
	const source = Object.values(sources).find((known) => words.slice(0, -1).includes(known));
	const known = source
		? [...sourceFields[source], ...clauses.slice(4)]
		: [...clauses, ...Object.values(sources), ...Object.values(subjects)];
	const hits = known.filter((word) => word.startsWith(last));
	return [hits.length > 0 ? hits : known, last];
}
