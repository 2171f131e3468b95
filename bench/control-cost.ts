/**
 * Measures the control-plane cost of a daemon against fleet size (network bytes, CPU time, memory,
 * key-value store calls), idle and under load, and extrapolates it to the target fleet size.
 * @module
 */

import { formatTable } from '../src/core/text/table.js';
import type { StatusReport } from '../src/infra/control/types.js';
import { ReplayClient } from '../src/infra/replay-client.js';
import { buildConfiguration, lakeshore } from './deployments.js';
import { customerApiKey, Fleet, sleep, spawnIdleRuntime } from './fleet.js';
import type { TrafficStream } from './make-trace.js';
import { makeTrace } from './make-trace.js';
import { writeResult } from './output.js';

/** Ratio of the target deployment: 940 engines, 340 daemons. */
const enginesPerDaemon = 940 / 340;
const maxEngineProcesses = 8;
const settleMs = 4000;
const idleMs = 10_000;
const loadMs = 10_000;
const requestsPerSPerDaemon = 4;
const targetDaemons = 340;

/** Cost per daemon, averaged over the fleet. */
interface ControlCost {
	daemons: number;
	phase: string;
	policy: string;
	sent_bytes_s: number;
	received_bytes_s: number;
	datagrams_s: number;
	cpu_percent: number;
	rss_mb: number;
	rss_over_idle_mb: number;
	kv_calls_s: number;
}

export async function runControlCostBench(
	sizes: number[],
	policies: string[],
	out: string,
): Promise<void> {
	const idleRssBytes = await measureIdleRuntimeBytes();
	const costs: ControlCost[] = [];
	for (const daemons of sizes) {
		for (const policy of policies) {
			const measured = await measureSize(daemons, policy, idleRssBytes);
			for (const cost of measured) {
				costs.push(cost);
				await writeResult(out, { bench: 'control-cost', ...cost });
			}
			process.stdout.write(`${formatTable(measured)}\n`);
		}
	}
	const fits = fitCosts(costs, policies);
	process.stdout.write(`${formatTable(fits)}\n`);
	await writeResult(out, { bench: 'control-cost-fit', target: targetDaemons, fits });
}

async function measureSize(
	daemons: number,
	policy: string,
	idleRssBytes: number,
): Promise<ControlCost[]> {
	const fleet = new Fleet({ daemons, domains: lakeshore.domains });
	try {
		const engines = Math.ceil(daemons * enginesPerDaemon);
		const processes = Math.min(maxEngineProcesses, engines);
		const count = Math.ceil(engines / processes);
		await fleet.startStandIns(
			Array.from({ length: processes }, () => ({ count })),
			1,
		);
		await fleet.startDaemons();
		const cfg = buildConfiguration(lakeshore, fleet, { name: policy });
		await fleet.applyConfiguration(cfg);
		await fleet.waitForStatus((status) => status.members.length === daemons, 60_000);
		await sleep(settleMs);
		const labels = { daemons, policy };
		const idle = await measurePhase(fleet, { ...labels, phase: 'idle' }, idleRssBytes, () =>
			sleep(idleMs),
		);
		const load = await measurePhase(fleet, { ...labels, phase: 'load' }, idleRssBytes, () =>
			generateLoad(fleet, daemons),
		);
		return [idle, load];
	} finally {
		await fleet.stop();
	}
}

async function generateLoad(fleet: Fleet, daemons: number): Promise<void> {
	const stream: TrafficStream = {
		class: 'chat',
		customers: ['listener-app'],
		requestsPerS: requestsPerSPerDaemon * daemons,
		fromMs: 0,
		untilMs: loadMs,
		medianTokens: 20,
		stream: true,
	};
	const trace = makeTrace(lakeshore, [stream], daemons);
	const keys = new Map(lakeshore.customers.map(({ name }) => [name, customerApiKey(name)]));
	const client = new ReplayClient({ daemonUrls: fleet.daemonUrls, keys, timeoutMs: 60_000 });
	await client.replay(trace);
}

async function measurePhase(
	fleet: Fleet,
	labels: { daemons: number; policy: string; phase: string },
	idleRssBytes: number,
	run: () => Promise<void>,
): Promise<ControlCost> {
	const before = await queryStatuses(fleet);
	const startedAtMs = performance.now();
	await run();
	const seconds = (performance.now() - startedAtMs) / 1000;
	const after = await queryStatuses(fleet);
	const rate = (value: (status: StatusReport) => number) =>
		(mean(after, value) - mean(before, value)) / seconds;
	const rss = mean(after, (status) => status.rss_bytes);
	return {
		...labels,
		sent_bytes_s: Math.round(rate((status) => status.peer_bytes_sent)),
		received_bytes_s: Math.round(rate((status) => status.peer_bytes_received)),
		datagrams_s: round(
			rate((status) => status.peer_datagrams_sent + status.peer_datagrams_received),
		),
		cpu_percent: round(rate((status) => status.cpu_ms) / 10),
		rss_mb: round(rss / 1e6),
		rss_over_idle_mb: round((rss - idleRssBytes) / 1e6),
		kv_calls_s: round(rate((status) => status.kv_calls)),
	};
}

async function queryStatuses(fleet: Fleet): Promise<StatusReport[]> {
	const reads = [...fleet.daemons.keys()].map((index) =>
		fleet.createControlClient(index).status.query(),
	);
	return Promise.all(reads);
}

/** Measures the resident memory of an idle Node.js process. */
async function measureIdleRuntimeBytes(): Promise<number> {
	const { rss, proc } = await spawnIdleRuntime();
	proc.child.kill();
	return rss;
}

interface Fit {
	policy: string;
	phase: string;
	what: string;
	at_zero: number;
	slope_per_daemon: number;
	/** Root mean square error of the fit. */
	error: number;
	at_target: number;
}

function fitCosts(costs: readonly ControlCost[], policies: readonly string[]): Fit[] {
	const fits: Fit[] = [];
	const columns = [
		'sent_bytes_s',
		'received_bytes_s',
		'cpu_percent',
		'rss_over_idle_mb',
		'kv_calls_s',
	] as const;
	for (const policy of policies) {
		for (const phaseName of ['idle', 'load']) {
			const rows = costs.filter((cost) => cost.policy === policy && cost.phase === phaseName);
			for (const what of columns) {
				const points = rows.map((cost) => ({ x: cost.daemons, y: cost[what] }));
				fits.push({ policy, phase: phaseName, what, ...fitLine(points) });
			}
		}
	}
	return fits;
}

/** Fits a line by ordinary least squares. */
function fitLine(
	points: readonly { x: number; y: number }[],
): Pick<Fit, 'at_zero' | 'slope_per_daemon' | 'error' | 'at_target'> {
	const meanX = mean(points, (point) => point.x);
	const meanY = mean(points, (point) => point.y);
	const covariance = mean(points, (point) => (point.x - meanX) * (point.y - meanY));
	const variance = mean(points, (point) => (point.x - meanX) ** 2);
	const slope = variance === 0 ? 0 : covariance / variance;
	const atZero = meanY - slope * meanX;
	const squares = mean(points, (point) => (point.y - atZero - slope * point.x) ** 2);
	return {
		at_zero: round(atZero),
		slope_per_daemon: Math.round(slope * 10_000) / 10_000,
		error: round(Math.sqrt(squares)),
		at_target: round(atZero + slope * targetDaemons),
	};
}

function mean<T>(items: readonly T[], value: (item: T) => number): number {
	return items.reduce((sum, item) => sum + value(item), 0) / Math.max(items.length, 1);
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
