/**
 * `slategauge explain`: reconstructs the history of one request from logs, without a running fleet.
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
	describe: 'show what happened to a request, from the logs of any VMs (files or standard input)',
	builder: (args) =>
		args
			.positional('request', { type: 'string', demandOption: true, describe: 'id of the request' })
			.positional('files', {
				type: 'string',
				array: true,
				describe: 'log files; lines may be in any order',
			}),
	handler: async (args) => {
		const lines = await readLogs(args.files ?? []);
		const explanation = explainRequest(args.request, lines);
		for (const line of explanation.lines) {
			process.stdout.write(`${formatFields(Object.fromEntries(line))}\n`);
		}
		for (const gap of explanation.gaps) {
			process.stdout.write(`missing: ${gap}\n`);
		}
		process.exitCode = explanation.lines.length > 0 ? exitCodes.ok : exitCodes.failed;
	},
};
