/**
 * `slategauge '…'` and `slategauge run FILE`: run statements of the query and command language.
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

/** Adds the options that all commands of the query language share. */
export function addQueryOptions(args: yargs.Argv<GlobalArgs>) {
	return args
		.option('output', {
			choices: outputFormats,
			default: 'table' as OutputFormat,
			describe: 'output format',
		})
		.option('dry-run', {
			type: 'boolean',
			default: false,
			describe: 'show the changes without applying them',
		})
		.option('by', {
			type: 'string',
			default: os.userInfo().username,
			describe: 'author recorded with a change',
		});
}

export function toRunOptions(args: QueryArgs): RunOptions {
	return { output: args.output, dryRun: args['dry-run'], by: args.by };
}

export const queryCommand: yargs.CommandModule<GlobalArgs, QueryArgs & { text: string[] }> = {
	command: '$0 <text..>',
	describe: 'run one statement, such as "show requests where late = true"',
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
	describe: 'run the statements of a file, one per line, until one fails; # starts a comment',
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
