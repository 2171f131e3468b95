/**
 * `npm run soak`: runs of the real daemons under random faults; a line a seed, exit code 1 on findings.
 * @module
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { initialFaultTypeCount, regressions } from './regressions.js';
import { runSoak } from './run.js';

const args = await yargs(hideBin(process.argv))
	.scriptName('soak')
	.option('seed', { type: 'number', describe: 'first seed; a fresh one if left out' })
	.option('seeds', { type: 'number', default: 1, describe: 'runs, with consecutive seeds' })
	.option('minutes', {
		type: 'number',
		describe: 'runs until the time is over, in place of --seeds',
	})
	.option('seconds', { type: 'number', default: 10, describe: 'length of the faults of a run' })
	.option('vms', { type: 'number', default: 4, describe: 'daemons of a run' })
	.option('engines', { type: 'number', default: 5 })
	.option('callers', { type: 'number', default: 24 })
	.option('series', { type: 'number', default: 4, describe: 'faults at the same time' })
	.option('big', {
		type: 'boolean',
		default: false,
		describe: '40 daemons, 40 engines, 200 callers',
	})
	.option('jobs', { type: 'number', default: 3, describe: 'runs at the same time' })
	.option('regressions', {
		type: 'boolean',
		default: false,
		describe: 'the seeds that failed once',
	})
	.strictOptions()
	.parseAsync();

const bigSize = { vms: 40, engines: 40, callers: 200, series: 16, jobs: 1 };
const size = args.big
	? bigSize
	: {
			vms: args.vms,
			engines: args.engines,
			callers: args.callers,
			series: args.series,
			jobs: args.jobs,
		};
const endAt = args.minutes === undefined ? undefined : Date.now() + args.minutes * 60_000;
const first = args.seed ?? Math.floor(Math.random() * 1_000_000);
const listed = args.regressions ? regressions : undefined;
let taken = 0;
let failed = 0;

for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
	// The daemons are ended on the way out.
	process.on(signal, () => process.exit(1));
}
await Promise.all(Array.from({ length: size.jobs }, () => work()));
process.stdout.write(`${taken - failed} seeds without a finding, ${failed} with findings\n`);
process.exit(failed > 0 ? 1 : 0);

/** What differs between two runs. */
interface Case {
	seed: number;
	seconds: number;
	series: number;
	/** Of the size of `--big`, also when other cases are not. */
	big?: boolean;
	/** Draws among the first so many faults. */
	faults?: number;
}

async function work(): Promise<void> {
	for (let item = next(); item !== undefined; item = next()) {
		await one(item);
	}
}

function next(): Case | undefined {
	const most = listed?.length ?? (endAt === undefined ? args.seeds : Number.POSITIVE_INFINITY);
	if (taken >= most || (endAt !== undefined && Date.now() >= endAt)) {
		return undefined;
	}
	taken++;
	const { seconds } = args;
	const regression = listed?.[taken - 1];
	return regression
		? { faults: initialFaultTypeCount, ...regression }
		: { seed: first + taken - 1, seconds, series: size.series };
}

async function one({ seed, seconds, series, faults: drawn, big = args.big }: Case): Promise<void> {
	const out = fs.mkdtempSync(path.join(os.tmpdir(), `soak-${seed}-`));
	const result = await runSoak({
		...(big ? bigSize : size),
		seed,
		seconds,
		concurrentFaults: series,
		faultTypeCount: drawn,
		out,
	});
	const { findings, requests, served, faults, loopDelayMs } = result;
	const verdict =
		findings.length === 0 ? 'no finding' : `${findings.length} findings, kept in ${out}`;
	process.stdout.write(
		`seed ${seed}: ${requests} requests, ${served} served, ${faults} faults, own delay ${loopDelayMs} ms, ${verdict}\n`,
	);
	for (const { guarantee: promise, detail } of findings.slice(0, 10)) {
		process.stdout.write(`  ${promise}: ${detail}\n`);
	}
	if (findings.length > 0) {
		failed++;
		process.stdout.write(
			`  repeat: npm run soak -- --seed ${seed} --seconds ${seconds} ${big ? '--big' : `--series ${series}`}\n`,
		);
	} else {
		fs.rmSync(out, { recursive: true });
	}
}
