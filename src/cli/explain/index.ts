/**
 * `slategauge explain`: the story of one request from logs, without a running fleet.
 * @module
 */
import type * as yargs from 'yargs';
import { explainRequest } from '../../core/explain/explain-request.js';
import { formatFields } from '../../infra/logfmt-log.js';
import { exitCodes } from '../exit-codes.js';
import { readLogs } from '../log-files.js';
import type { GlobalArgs } from '../types.js';

interface ExplainArgs extends GlobalArgs {
	request: string;
	files?: string[];
}

export const explainCommand: yargs.CommandModule<GlobalArgs, ExplainArgs> = {
	command: 'explain <request> [files..]',
	describe: 'tell what happened to a request, from logs of any VMs (files or standard input)',
	builder: (args) =>
		args
			.positional('request', { type: 'string', demandOption: true, describe: 'id of the request' })
			.positional('files', { type: 'string', array: true, describe: 'logs, lines in any order' }),
	handler: async (args) => {
		const lines = await readLogs(args.files ?? []);
		const story = explainRequest(args.request, lines);
		for (const line of story.lines) {
			process.stdout.write(`${formatFields(Object.fromEntries(line))}\n`);
		}
		for (const gap of story.gaps) {
			process.stdout.write(`not told: ${gap}\n`);
		}
		process.exitCode = story.lines.length > 0 ? exitCodes.ok : exitCodes.failed;
	},
};
