/**
 * `slategauge find`: requests in logs by what became of them; `explain` tells the story of one.
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
	describe: 'find requests in logs of any VMs (files or standard input) by what became of them',
	builder: (args) =>
		args
			.positional('files', { type: 'string', array: true, describe: 'logs, lines in any order' })
			.option('from', { type: 'string', describe: 'ended at this time or later (ISO 8601)' })
			.option('to', { type: 'string', describe: 'ended before this time (ISO 8601)' })
			.option('engine', { type: 'string', describe: 'was sent to this engine' })
			.option('route', { type: 'string' })
			.option('vm', { type: 'string' })
			.option('outcome', { type: 'string', describe: 'as in docs/LOGS.md, or denied, quarantined' })
			.option('took', { type: 'number', describe: 'took at least so many milliseconds' })
			.check(({ from, to }) => isTime(from) && isTime(to)),
	handler: async (args) => {
		const { engine, route, vm, outcome, took } = args;
		const times = { from: millisecondsOf(args.from), to: millisecondsOf(args.to) };
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

function millisecondsOf(time: string | undefined): number | undefined {
	return time === undefined ? undefined : Date.parse(time);
}

/** @throws Error when the text is no time */
function isTime(time: string | undefined): true {
	if (time !== undefined && Number.isNaN(Date.parse(time))) {
		throw new Error(`not a time: ${time}`);
	}
	return true;
}
