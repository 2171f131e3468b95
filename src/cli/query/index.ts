/**
 * `slategauge '…'` and `slategauge run FILE`: the query and command language.
 * @module
 */
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import type * as yargs from 'yargs';
import { exitCodes } from '../exit-codes.js';
import { FleetClient } from '../fleet-client.js';
import type { GlobalArgs } from '../types.js';
import type { LineOptions, Output } from './run-line.js';
import { outputs, runLine } from './run-line.js';

export interface QueryArgs extends GlobalArgs {
	output: Output;
	'dry-run': boolean;
	by: string;
}

/** Options that every form of the language has. */
export function queryOptions(args: yargs.Argv<GlobalArgs>) {
	return args
		.option('output', { choices: outputs, default: 'table' as Output, describe: 'form of output' })
		.option('dry-run', { type: 'boolean', default: false, describe: 'change nothing, show it' })
		.option('by', { type: 'string', default: os.userInfo().username, describe: 'your name' });
}

export function lineOptions(args: QueryArgs): LineOptions {
	return { output: args.output, dryRun: args['dry-run'], by: args.by };
}

export const queryCommand: yargs.CommandModule<GlobalArgs, QueryArgs & { text: string[] }> = {
	command: '$0 <text..>',
	describe: 'one line of the query and command language, such as "show requests where late = true"',
	builder: (args) =>
		queryOptions(args).positional('text', { type: 'string', array: true, demandOption: true }),
	handler: async (args) => {
		process.exitCode = await runLine(new FleetClient(args), args.text.join(' '), lineOptions(args));
	},
};

export const runCommand: yargs.CommandModule<GlobalArgs, QueryArgs & { file: string }> = {
	command: 'run <file>',
	describe: 'the lines of a file, until one fails; # starts a comment',
	builder: (args) => queryOptions(args).positional('file', { type: 'string', demandOption: true }),
	handler: async (args) => {
		const fleet = new FleetClient(args);
		for (const line of (await fs.readFile(args.file, 'utf8')).split('\n')) {
			if (line.trim() === '' || line.trim().startsWith('#')) {
				continue;
			}
			const code = await runLine(fleet, line, lineOptions(args));
			if (code !== exitCodes.ok) {
				process.exitCode = code;
				return;
			}
		}
	},
};
