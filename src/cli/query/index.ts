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
import type { OutputFormat, RunOptions } from './run-line.js';
import { outputFormats, runLine } from './run-line.js';

export interface QueryArgs extends GlobalArgs {
	output: OutputFormat;
	'dry-run': boolean;
	by: string;
}

/** Options that every form of the language has. */
export function addQueryOptions(args: yargs.Argv<GlobalArgs>) {
	return args
		.option('output', {
			choices: outputFormats,
			default: 'table' as OutputFormat,
			describe: 'form of output',
		})
		.option('dry-run', { type: 'boolean', default: false, describe: 'change nothing, show it' })
		.option('by', { type: 'string', default: os.userInfo().username, describe: 'your name' });
}

export function toRunOptions(args: QueryArgs): RunOptions {
	return { output: args.output, dryRun: args['dry-run'], by: args.by };
}

export const queryCommand: yargs.CommandModule<GlobalArgs, QueryArgs & { text: string[] }> = {
	command: '$0 <text..>',
	describe: 'one line of the query and command language, such as "show requests where late = true"',
	builder: (args) =>
		addQueryOptions(args).positional('text', { type: 'string', array: true, demandOption: true }),
	handler: async (args) => {
		process.exitCode = await runLine(
			new FleetClient(args),
			args.text.join(' '),
			toRunOptions(args),
		);
	},
};

export const runCommand: yargs.CommandModule<GlobalArgs, QueryArgs & { file: string }> = {
	command: 'run <file>',
	describe: 'the lines of a file, until one fails; # starts a comment',
	builder: (args) =>
		addQueryOptions(args).positional('file', { type: 'string', demandOption: true }),
	handler: async (args) => {
		const fleet = new FleetClient(args);
		for (const line of (await fs.readFile(args.file, 'utf8')).split('\n')) {
			if (line.trim() === '' || line.trim().startsWith('#')) {
				continue;
			}
			const code = await runLine(fleet, line, toRunOptions(args));
			if (code !== exitCodes.ok) {
				process.exitCode = code;
				return;
			}
		}
	},
};
