/**
 * One run of the soak: faults and callers over a deployment, then the check of both ends' records.
 * @module
 */
import * as fs from 'node:fs';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { seeded } from '../../bench/random.js';
import { key as permanentKey } from '../steps/relay-world.js';
import { Callers } from './callers.js';
import type { SoakVm } from './deployment.js';
import { bounds, SoakDeployment, sleep } from './deployment.js';
import { FaultInjector } from './faults.js';
import { checkGuarantees } from './oracle.js';
import type { EngineArrival, SoakFinding, SoakRecords } from './types.js';
import { requestKinds } from './types.js';

export interface SoakOptions {
	seed: number;
	/** Length of the faults, in seconds. */
	seconds: number;
	vms: number;
	engines: number;
	callers: number;
	/** Faults at the same time. */
	concurrentFaults: number;
	/** Draws among the first so many faults. @default all */
	faultTypeCount?: number;
	/** Folder for logs and records. */
	out: string;
}

export interface SoakResult {
	findings: SoakFinding[];
	requests: number;
	served: number;
	faults: number;
	/** Longest delay of the soak's own event loop but for one in a hundred, in milliseconds. */
	loopDelayMs: number;
}

/** Time without traffic before faults, so that all VMs know each other, in milliseconds. */
const settleMs = 500;
/** All VMs serve again within this time after the last fault, in milliseconds. */
const recoverMs = 12_000;
/** Answers in a row that show that a VM serves. */
const answersToServe = 5;
/** Open files that a daemon may hold beyond one for each caller and its own few. */
const spareFiles = 60;
/** Memory that a daemon may hold at the end, in megabytes: the users' bench saw 66 at the most, the smallest VM has 250. */
const mostMemoryMb = 160;

export async function runSoak(opts: SoakOptions): Promise<SoakResult> {
	fs.mkdirSync(opts.out, { recursive: true });
	const loopDelay = monitorEventLoopDelay({ resolution: 10 });
	loopDelay.enable();
	const deployment = new SoakDeployment(opts.out);
	const killAll = () => deployment.killAll();
	process.on('exit', killAll);
	try {
		await deployment.start(opts.vms, opts.engines, 1 + (opts.seed % 250));
		await sleep(settleMs);
		const callers = new Callers(deployment, seeded(opts.seed * 2 + 1));
		const traffic = callers.run(opts.callers);
		const faults = new FaultInjector(deployment, seeded(opts.seed * 2), opts.faultTypeCount);
		await faults.run(opts.concurrentFaults, performance.now() + opts.seconds * 1000);
		const notRecovered = await waitForAll(deployment, callers);
		callers.stop();
		await traffic;
		const records: SoakRecords = {
			bounds,
			requests: callers.records,
			arrivals: arrivalsOf(deployment),
			injectedFaults: deployment.injectedFaults,
			keyChanges: deployment.keyChanges,
			departures: deployment.departures,
			announcedLimits: deployment.announcedLimits,
			notRecovered,
			resourceLeaks: grownOf(deployment, opts),
			unexpectedExits: deployment.unexpectedExits,
		};
		const findings = checkGuarantees(records);
		if (findings.length > 0) {
			fs.writeFileSync(`${opts.out}/records.json`, JSON.stringify({ opts, findings, records }));
		}
		return {
			findings,
			requests: callers.records.length,
			served: callers.records.filter((record) => record.status === 200 && !record.truncated).length,
			faults: deployment.injectedFaults.length,
			loopDelayMs: Math.round(loopDelay.percentile(99) / 1e6),
		};
	} finally {
		await deployment.stop();
		process.off('exit', killAll);
		loopDelay.disable();
	}
}

function arrivalsOf(deployment: SoakDeployment): EngineArrival[] {
	return deployment.engines.flatMap(({ standIn }) =>
		standIn.seen.map((seen) => ({
			id: String(seen.headers['slategauge-attempt-id']),
			engine: standIn.id,
			at: seen.at,
			rejected: seen.rejected,
			customer: seen.headers['slategauge-tenant'] as string | undefined,
			notice: seen.notice,
		})),
	);
}

/** @returns VMs that did not serve again in time */
async function waitForAll(deployment: SoakDeployment, callers: Callers): Promise<string[]> {
	const latest = performance.now() + recoverMs;
	const served = await Promise.all(deployment.vms.map((item) => serves(callers, item, latest)));
	return deployment.vms.filter((_, at) => !served[at]).map((item) => item.name);
}

async function serves(callers: Callers, item: SoakVm, latest: number): Promise<boolean> {
	let inRow = 0;
	while (inRow < answersToServe && performance.now() < latest) {
		const { status } = await callers.send(item, requestKinds.plain, permanentKey, false);
		inRow = status === 200 ? inRow + 1 : 0;
		await sleep(50);
	}
	return inRow >= answersToServe;
}

/** VMs that hold more open files than their callers and engines explain, or more memory than they should. */
function grownOf(deployment: SoakDeployment, opts: SoakOptions): string[] {
	const mostFiles = spareFiles + opts.callers * (1 + opts.engines);
	const running = deployment.vms.filter(({ vm }) => vm.process.exitCode === null);
	return running.flatMap(({ name, vm }) => {
		const { pid } = vm.process;
		const files = fs.readdirSync(`/proc/${pid}/fd`).length;
		const memoryMb = residentMb(fs.readFileSync(`/proc/${pid}/status`, 'utf8'));
		return [
			...(files > mostFiles ? [`${name} holds ${files} open files, at most ${mostFiles}`] : []),
			...(memoryMb > mostMemoryMb ? [`${name} holds ${memoryMb} MB, at most ${mostMemoryMb}`] : []),
		];
	});
}

/** @throws Error when the text is no status of a process */
function residentMb(status: string): number {
	const found = /^VmRSS:\s+(\d+)/m.exec(status);
	if (!found) {
		throw new Error('the status of a process names no resident memory');
	}
	return Math.round(Number(found[1]) / 1024);
}
