/**
 * One soak run: drives callers and faults against a deployment, then checks the records of callers and engines.
 * @module
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { createRng } from '../../bench/random.js';
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
	/** Duration of fault injection, in seconds. */
	seconds: number;
	vms: number;
	engines: number;
	callers: number;
	/** Number of faults injected concurrently. */
	concurrentFaults: number;
	/** Draws only from the first entries of the fault list, this many. @default all */
	faultTypeCount?: number;
	/** Folder for logs and records. */
	out: string;
}

export interface SoakResult {
	findings: SoakFinding[];
	requests: number;
	served: number;
	faults: number;
	/** 99th percentile of the soak's own event loop delay, in milliseconds. */
	loopDelayMs: number;
}

/** Idle time before traffic and faults, in which all VMs learn of each other. */
const settleMs = 500;
/** Time within which all VMs serve again after the last fault. */
const maxRecoveryMs = 12_000;
/** Consecutive successful answers after which a VM counts as serving. */
const requiredAnswers = 5;
/** Open files allowed per daemon beyond the connections to callers and engines. */
const extraOpenFiles = 60;
/** Resident memory allowed per daemon at the end of a run; fits the smallest VM. */
const maxMemoryMb = 160;

/** Start of a log line about a request that an error in the relay ended. */
const defectLine = /^time=\S+ level=\S+ event=request\.defect /;

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
		const callers = new Callers(deployment, createRng(opts.seed * 2 + 1));
		const traffic = callers.run(opts.callers);
		const injector = new FaultInjector(deployment, createRng(opts.seed * 2), opts.faultTypeCount);
		await injector.run(opts.concurrentFaults, performance.now() + opts.seconds * 1000);
		const notRecovered = await waitForRecovery(deployment, callers);
		callers.stop();
		await traffic;
		const records: SoakRecords = {
			bounds,
			requests: callers.records,
			arrivals: collectArrivals(deployment),
			injectedFaults: deployment.injectedFaults,
			keyChanges: deployment.keyChanges,
			departures: deployment.departures,
			announcedLimits: deployment.announcedLimits,
			notRecovered,
			resourceLeaks: findResourceLeaks(deployment, opts),
			unexpectedExits: deployment.unexpectedExits,
			requestDefects: findRequestDefects(opts.out),
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

function collectArrivals(deployment: SoakDeployment): EngineArrival[] {
	return deployment.engines.flatMap(({ standIn }) =>
		standIn.receivedRequests.map((seen) => ({
			id: String(seen.headers['slategauge-attempt-id']),
			engine: standIn.id,
			at: seen.at,
			rejected: seen.wasRejected,
			customer: seen.headers['slategauge-tenant'] as string | undefined,
			notice: seen.notice,
		})),
	);
}

/** @returns names of the VMs that did not serve again in time */
async function waitForRecovery(deployment: SoakDeployment, callers: Callers): Promise<string[]> {
	const deadline = performance.now() + maxRecoveryMs;
	const served = await Promise.all(
		deployment.vms.map((item) => waitUntilServing(callers, item, deadline)),
	);
	return deployment.vms.filter((_, index) => !served[index]).map((item) => item.name);
}

async function waitUntilServing(
	callers: Callers,
	item: SoakVm,
	deadline: number,
): Promise<boolean> {
	let consecutive = 0;
	while (consecutive < requiredAnswers && performance.now() < deadline) {
		const { status } = await callers.send(item, requestKinds.plain, permanentKey, false);
		consecutive = status === 200 ? consecutive + 1 : 0;
		await sleep(50);
	}
	return consecutive >= requiredAnswers;
}

/** @returns the lines of the daemons' logs about errors in the relay, each after the name of its log */
export function findRequestDefects(logFolder: string): string[] {
	const names = fs.readdirSync(logFolder).filter((name) => name.endsWith('.log'));
	return names.flatMap((name) => {
		const lines = fs.readFileSync(path.join(logFolder, name), 'utf8').split('\n');
		return lines.filter((line) => defectLine.test(line)).map((line) => `${name}: ${line}`);
	});
}

/** @returns a line for each running daemon with too many open files or too much memory */
function findResourceLeaks(deployment: SoakDeployment, opts: SoakOptions): string[] {
	const maxOpenFiles = extraOpenFiles + opts.callers * (1 + opts.engines);
	const running = deployment.vms.filter(({ vm }) => vm.process.exitCode === null);
	return running.flatMap(({ name, vm }) => {
		const { pid } = vm.process;
		const files = fs.readdirSync(`/proc/${pid}/fd`).length;
		const memoryMb = parseResidentMb(fs.readFileSync(`/proc/${pid}/status`, 'utf8'));
		return [
			...(files > maxOpenFiles
				? [`${name} has ${files} open files, at most ${maxOpenFiles} allowed`]
				: []),
			...(memoryMb > maxMemoryMb
				? [`${name} has ${memoryMb} MB resident, at most ${maxMemoryMb} allowed`]
				: []),
		];
	});
}

/** @throws Error when the text is not the content of /proc/PID/status */
function parseResidentMb(status: string): number {
	const match = /^VmRSS:\s+(\d+)/m.exec(status);
	if (!match) {
		throw new Error('no VmRSS line in the process status');
	}
	return Math.round(Number(match[1]) / 1024);
}
