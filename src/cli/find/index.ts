/**
 * `slategauge find`: searches logs for requests by time, engine, route, VM, outcome and duration.
 * @module
 */
import type * as yargs from 'yargs';
import { countOutcomes, findRequests } from '../../core/explain/find-requests.js';
import { formatFields } from '../../infra/logfmt-log.js';
import { exitCodes } from '../exit-codes.js';
import { readLogs } from '../log-files.js';
import type { GlobalArgs } from '../types.js';

interface FindArgs extends GlobalArgs {
	files?: string[];
	from?: string;
	to?: string;
	engine?: string;
	route?: string;
	vm?: string;
	outcome?: string;
	took?: number;
}

export const findCommand: yargs.CommandModule<GlobalArgs, FindArgs> = {
	command: 'find [files..]',
	describe: 'find requests in the logs of any VMs (files or standard input)',
	builder: (args) =>
		args
			.positional('files', {
				type: 'string',
				array: true,
				describe: 'log files; lines may be in any order',
			})
			.option('from', { type: 'string', describe: 'ended at or after this time (ISO 8601)' })
			.option('to', { type: 'string', describe: 'ended before this time (ISO 8601)' })
			.option('engine', { type: 'string', describe: 'sent to this engine' })
			.option('route', { type: 'string' })
			.option('vm', { type: 'string' })
			.option('outcome', {
				type: 'string',
				describe: 'outcome listed in docs/LOGS.md, or denied, quarantined',
			})
			.option('took', { type: 'number', describe: 'minimum duration in milliseconds' })
			.check(({ from, to }) => assertTime(from) && assertTime(to)),
	handler: async (args) => {
		const { engine, route, vm, outcome, took } = args;
		const times = { from: parseTime(args.from), to: parseTime(args.to) };
		const lines = await readLogs(args.files ?? []);
		const found = findRequests(lines, {
			...times,
			engine,
			route,
			vm,
			outcome,
			minDurationMs: took,
		});
		for (const line of found) {
			process.stdout.write(`${formatFields(Object.fromEntries(line))}\n`);
		}
		const counts = [...countOutcomes(found)].map(([name, count]) => `${name} ${count}`);
		process.stderr.write(
			`${found.length} requests${counts.length > 0 ? ': ' : ''}${counts.join(', ')}\n`,
		);
		process.exitCode = found.length > 0 ? exitCodes.ok : exitCodes.failed;
	},
};

function parseTime(time: string | undefined): number | undefined {
	return time === undefined ? undefined : Date.parse(time);
}

/** @throws Error if the text is not a valid time */
function assertTime(time: string | undefined): true {
	if (time !== undefined && Number.isNaN(Date.parse(time))) {
		throw new Error(`not a time: ${time}`);
	}
	return true;
}
