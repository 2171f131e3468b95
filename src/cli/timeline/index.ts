/**
 * `slategauge timeline`: prints the events of all daemons in causal order.
 * @module
 */
import * as fs from 'node:fs/promises';
import type * as yargs from 'yargs';
import type { TimelineEvent } from '../../core/timeline/index.js';
import { mergeTimelines } from '../../core/timeline/index.js';
import { renderTimelinePage } from '../../core/timeline/timeline-page.js';
import { formatFields } from '../../infra/logfmt-log.js';
import { exitCodes } from '../exit-codes.js';
import { FleetClient } from '../fleet-client.js';
import type { GlobalArgs } from '../types.js';

interface TimelineArgs extends GlobalArgs {
	request?: string;
	endpoint?: string;
	class?: string;
	follow: boolean;
	html?: string;
	limit: number;
}

/** Polling interval of --follow. */
const pollIntervalMs = 500;

export const timelineCommand: yargs.CommandModule<GlobalArgs, TimelineArgs> = {
	command: 'timeline',
	describe: 'show events of all daemons in causal order',
	builder: (args) =>
		args
			.option('request', { type: 'string', describe: 'only this request' })
			.option('endpoint', { type: 'string', describe: 'only this endpoint' })
			.option('class', { type: 'string', describe: 'only this class' })
			.option('limit', {
				type: 'number',
				default: 200,
				describe: 'maximum number of events, newest kept',
			})
			.option('html', { type: 'string', describe: 'write an HTML page with a lane per process' })
			.option('follow', {
				type: 'boolean',
				default: false,
				describe: 'keep printing new events until interrupted',
			}),
	handler: async (args) => {
		const fleet = new FleetClient(args);
		const lastSeqByVm = new Map<string, number>();
		do {
			const { answers, missing } = await fleet.queryAll(async (client) => {
				const { vm } = await client.status.query();
				return client.events.query({ since: lastSeqByVm.get(vm) ?? 0 });
			});
			for (const { vm, value } of answers) {
				lastSeqByVm.set(vm, value.at(-1)?.seq ?? lastSeqByVm.get(vm) ?? 0);
			}
			await printEvents(
				answers.map(({ value }) => value as TimelineEvent[]),
				args,
			);
			if (missing.length > 0) {
				process.stderr.write(`no answer from: ${missing.join(', ')}\n`);
				process.exitCode = exitCodes.partial;
			}
			await new Promise((resolve) => setTimeout(resolve, args.follow ? pollIntervalMs : 0));
		} while (args.follow);
	},
};

async function printEvents(timelines: TimelineEvent[][], args: TimelineArgs): Promise<void> {
	const merged = mergeTimelines(timelines).filter((event) => matches(event, args));
	if (args.html !== undefined) {
		await fs.writeFile(args.html, renderTimelinePage(merged));
		process.stdout.write(`${args.html}: ${merged.length} events\n`);
		return;
	}
	for (const event of merged.slice(-args.limit)) {
		const { time, vm, kind, seq: _seq, ...fields } = event;
		const at = new Date(time.wall).toISOString();
		process.stdout.write(`${formatFields({ time: at, vm, event: kind, ...fields })}\n`);
	}
}

function matches(event: TimelineEvent, args: TimelineArgs): boolean {
	const request = args.request === undefined || event.request === args.request;
	const endpoint = args.endpoint === undefined || event.endpoint === args.endpoint;
	const cls = args.class === undefined || event.cls === args.class;
	return request && endpoint && cls;
}
