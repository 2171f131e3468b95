/**
 * `npm run soak`: runs real daemons under random faults. Prints a line per seed and exits with 1 on findings.
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
	.option('seed', { type: 'number', describe: 'first seed; random by default' })
	.option('seeds', {
		type: 'number',
		default: 1,
		describe: 'number of runs, with consecutive seeds',
	})
	.option('minutes', {
		type: 'number',
		describe: 'start runs for this long, instead of --seeds',
	})
	.option('seconds', {
		type: 'number',
		default: 10,
		describe: 'duration of fault injection per run',
	})
	.option('vms', { type: 'number', default: 4, describe: 'daemons per run' })
	.option('engines', { type: 'number', default: 5 })
	.option('callers', { type: 'number', default: 24 })
	.option('series', { type: 'number', default: 4, describe: 'concurrent faults per run' })
	.option('big', {
		type: 'boolean',
		default: false,
		describe: '40 daemons, 40 engines, 200 callers',
	})
	.option('jobs', { type: 'number', default: 3, describe: 'concurrent runs' })
	.option('regressions', {
		type: 'boolean',
		default: false,
		describe: 'run the seeds of past failures',
	})
	.strictOptions()
	.parseAsync();

const bigSize = { vms: 40, engines: 40, callers: 200, concurrentFaults: 16, jobs: 1 };
const size = args.big
	? bigSize
	: {
			vms: args.vms,
			engines: args.engines,
			callers: args.callers,
			concurrentFaults: args.series,
			jobs: args.jobs,
		};
const endAt = args.minutes === undefined ? undefined : Date.now() + args.minutes * 60_000;
const firstSeed = args.seed ?? Math.floor(Math.random() * 1_000_000);
const regressionCases = args.regressions ? regressions : undefined;
let started = 0;
let failed = 0;

for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
	// The exit handlers of the runs kill the daemons.
	process.on(signal, () => process.exit(1));
}
await Promise.all(Array.from({ length: size.jobs }, () => runJob()));
process.stdout.write(`${started - failed} seeds without findings, ${failed} with findings\n`);
process.exit(failed > 0 ? 1 : 0);

/** Parameters of a run that differ between seeds. */
interface RunCase {
	seed: number;
	seconds: number;
	concurrentFaults: number;
	/** Uses the size of `--big` for this run; defaults to the option. */
	big?: boolean;
	/** Draws only from the first entries of the fault list, this many. */
	faultTypeCount?: number;
}

async function runJob(): Promise<void> {
	for (let item = nextCase(); item !== undefined; item = nextCase()) {
		await runCase(item);
	}
}

function nextCase(): RunCase | undefined {
	const maxRuns =
		regressionCases?.length ?? (endAt === undefined ? args.seeds : Number.POSITIVE_INFINITY);
	if (started >= maxRuns || (endAt !== undefined && Date.now() >= endAt)) {
		return undefined;
	}
	started++;
	const { seconds } = args;
	const regression = regressionCases?.[started - 1];
	return regression
		? { faultTypeCount: initialFaultTypeCount, ...regression }
		: { seed: firstSeed + started - 1, seconds, concurrentFaults: size.concurrentFaults };
}

async function runCase({
	seed,
	seconds,
	concurrentFaults,
	faultTypeCount,
	big = args.big,
}: RunCase): Promise<void> {
	const out = fs.mkdtempSync(path.join(os.tmpdir(), `soak-${seed}-`));
	const result = await runSoak({
		...(big ? bigSize : size),
		seed,
		seconds,
		concurrentFaults,
		faultTypeCount,
		out,
	});
	const { findings, requests, served, faults, loopDelayMs } = result;
	const verdict =
		findings.length === 0 ? 'no findings' : `${findings.length} findings, records in ${out}`;
	process.stdout.write(
		`seed ${seed}: ${requests} requests, ${served} served, ${faults} faults, event loop delay ${loopDelayMs} ms, ${verdict}\n`,
	);
	for (const { guarantee, detail } of findings.slice(0, 10)) {
		process.stdout.write(`  ${guarantee}: ${detail}\n`);
	}
	if (findings.length > 0) {
		failed++;
		process.stdout.write(
			`  reproduce: npm run soak -- --seed ${seed} --seconds ${seconds} ${big ? '--big' : `--series ${concurrentFaults}`}\n`,
		);
	} else {
		fs.rmSync(out, { recursive: true });
	}
}
