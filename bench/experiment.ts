/**
 * Runs one experiment: replays a trace against a fleet under a policy, optionally injects a fault,
 * and reports results by class together with the oracle's findings.
 * @module
 */
import type { Configuration } from '../src/core/configuration/index.js';
import type { ClassSummary } from '../src/core/replay/summary.js';
import { isGoodput, isWithinTargets, summarize } from '../src/core/replay/summary.js';
import type { ClassTargets, ReplayResult, TraceRequest } from '../src/core/replay/types.js';
import type { TimelineEvent } from '../src/core/timeline/index.js';
import { mergeTimelines } from '../src/core/timeline/index.js';
import { ReplayClient } from '../src/infra/replay-client.js';
import type { EngineOptions, EngineStats } from '../test/stand-ins/engine.js';
import type { Deployment } from './deployments.js';
import { buildConfiguration, getClassTargets } from './deployments.js';
import { customerApiKey, Fleet, sleep } from './fleet.js';
import type { Findings } from './oracle.js';
import { checkTimeline } from './oracle.js';

/** Exceeds the longest class deadline. */
const replayTimeoutMs = 130_000;
/** Short enough that the daemons' bounded event buffers do not overflow in between. */
const collectIntervalMs = 2000;
/** Recovery time counts requests of this tier and of those above it. */
const maxRecoveryTier = 2;
/** Allows for policies whose requests queue inside the engine before their first token. */
const stallMs = 10_000;
const minAttainedShare = 0.95;

/** A fault injected during a run. */
export interface Fault {
	name: string;
	startMs: number;
	/** VM that the fault separates from all others. */
	isolatedVm?: string;
	begin: (fleet: Fleet) => Promise<void>;
	durationMs?: number;
	/** Ends the fault after `durationMs`; without it, the fault lasts until the run ends. */
	end?: (fleet: Fleet) => Promise<void>;
}

export interface ExperimentOptions {
	deployment: Deployment;
	daemons: number;
	engines: number;
	engineOptions: Partial<EngineOptions>;
	/** Fields that each engine's entry in the configuration adds or overrides. */
	endpointOptions: object;
	policy: object;
	trace: TraceRequest[];
	fault?: Fault;
	areDrillsEnabled?: boolean;
}

export interface ExperimentResult {
	classes: ClassSummary[];
	/** Tokens per second of answers that completed before their deadline. */
	goodput: number;
	/** Tokens per second of answers that met all latency targets. */
	goodputInTarget: number;
	/** Share of generated tokens that do not count towards goodput. */
	wastedPercent: number;
	/** Share of prompts whose prefix the engine had cached. */
	cacheHitPercent: number;
	/** Answers that differ from the expected ones. */
	wrong: number;
	findings: Findings;
	/** Findings without the events of the isolated VM. */
	findingsOfRest?: Findings;
	/** Seconds from the fault until the top tiers meet their targets again; 0 if they never missed them. */
	recoveryS?: number;
	daemonCpuPercent: number;
	peerBytesPerS: number;
	kvCalls: number;
}

export async function runExperiment(opts: ExperimentOptions): Promise<ExperimentResult> {
	const fleet = new Fleet({
		daemons: opts.daemons,
		domains: opts.deployment.domains,
		settings: () =>
			`[limits]\nstall_ms = ${stallMs}\n[drills]\nenabled = ${opts.areDrillsEnabled === true}`,
	});
	try {
		const engines = Array.from({ length: opts.engines }, () => ({
			...opts.engineOptions,
			models: [opts.deployment.model],
		}));
		await fleet.startStandIns(engines, 2);
		await fleet.startDaemons();
		const cfg = buildConfiguration(opts.deployment, fleet, opts.policy, opts.endpointOptions);
		await fleet.applyConfiguration(cfg);
		await fleet.waitForStatus((status) => status.members.length === opts.daemons);
		await sleep(1000);
		return await measure(fleet, cfg, opts);
	} finally {
		await fleet.stop();
	}
}

async function measure(
	fleet: Fleet,
	cfg: Configuration,
	opts: ExperimentOptions,
): Promise<ExperimentResult> {
	const keys = new Map(
		cfg.customers.map((customer) => [customer.name, customerApiKey(customer.name)]),
	);
	const client = new ReplayClient({
		daemonUrls: fleet.daemonUrls,
		keys,
		timeoutMs: replayTimeoutMs,
	});
	const collector = new EventCollector(fleet);
	const before = await sumDaemonStatus(fleet);
	const startedAtMs = Date.now();
	const faultInjection = opts.fault ? injectFault(fleet, opts.fault) : Promise.resolve();
	const collectTimer = setInterval(() => void collector.collect(), collectIntervalMs);
	const results = await client.replay(opts.trace);
	clearInterval(collectTimer);
	await faultInjection;
	await collector.collect();
	const elapsedS = (Date.now() - startedAtMs) / 1000;
	const after = await sumDaemonStatus(fleet);
	const engines = await sumEngineStats(fleet);
	return buildResult(opts, cfg, results, collector.mergeEvents(), {
		startedAtMs,
		...engines,
		cpuPercent: (after.cpuMs - before.cpuMs) / elapsedS / 10 / opts.daemons,
		bytesPerS: (after.bytes - before.bytes) / elapsedS / opts.daemons,
		kvCalls: after.kvCalls - before.kvCalls,
	});
}

interface Measurements {
	startedAtMs: number;
	generated: number;
	cacheHitPercent: number;
	cpuPercent: number;
	bytesPerS: number;
	kvCalls: number;
}

function buildResult(
	opts: ExperimentOptions,
	cfg: Configuration,
	results: ReplayResult[],
	events: TimelineEvent[],
	measurements: Measurements,
): ExperimentResult {
	const targets = getClassTargets(cfg);
	const durationS = (opts.trace.at(-1)?.at_ms ?? 1000) / 1000;
	const targetOf = (result: ReplayResult) => targets.get(result.class) as ClassTargets;
	const useful = results.filter((result) => isGoodput(result, targetOf(result)));
	const usefulTokens = sumTokens(useful);
	const attained = results.filter((result) => isWithinTargets(result, targetOf(result)));
	const deadlines = new Map([...targets].map(([name, target]) => [name, target.deadlineMs]));
	const engines = new Set(
		cfg.endpoints.filter((endpoint) => endpoint.kind === 'engine').map((endpoint) => endpoint.name),
	);
	return {
		classes: summarize(results, targets, durationS),
		goodput: Math.round(usefulTokens / durationS),
		goodputInTarget: Math.round(sumTokens(attained) / durationS),
		wastedPercent: round((100 * (measurements.generated - usefulTokens)) / measurements.generated),
		cacheHitPercent: measurements.cacheHitPercent,
		wrong: results.filter((result) => result.wrong).length,
		findings: checkTimeline(events, deadlines, engines),
		findingsOfRest:
			opts.fault?.isolatedVm === undefined
				? undefined
				: checkTimeline(excludeVm(events, opts.fault.isolatedVm), deadlines, engines),
		recoveryS:
			opts.fault &&
			computeRecoveryS(results, targets, measurements.startedAtMs + opts.fault.startMs),
		daemonCpuPercent: round(measurements.cpuPercent),
		peerBytesPerS: Math.round(measurements.bytesPerS),
		kvCalls: measurements.kvCalls,
	};
}

function excludeVm(events: TimelineEvent[], vm: string): TimelineEvent[] {
	return events.filter((event) => event.vm !== vm);
}

function sumTokens(results: readonly ReplayResult[]): number {
	return results.reduce((sum, result) => sum + result.tokens, 0);
}

/** Returns the end of the last second after the fault in which too few top-tier requests met their targets. */
function computeRecoveryS(
	results: readonly ReplayResult[],
	targets: ReadonlyMap<string, ClassTargets>,
	faultAtMs: number,
): number {
	const seconds = new Map<number, { all: number; attained: number }>();
	for (const result of results) {
		const target = targets.get(result.class) as ClassTargets;
		const second = Math.floor((result.sentAt - faultAtMs) / 1000);
		if (target.tier <= maxRecoveryTier && second >= -2) {
			const bucket = seconds.get(second) ?? { all: 0, attained: 0 };
			bucket.all++;
			bucket.attained += isWithinTargets(result, target) ? 1 : 0;
			seconds.set(second, bucket);
		}
	}
	const degraded = [...seconds].filter(
		([, bucket]) => bucket.attained < bucket.all * minAttainedShare,
	);
	return Math.max(0, ...degraded.map(([second]) => second + 1));
}

async function injectFault(fleet: Fleet, fault: Fault): Promise<void> {
	await sleep(fault.startMs);
	await fault.begin(fleet);
	if (fault.end) {
		await sleep(fault.durationMs ?? 0);
		await fault.end(fleet);
	}
}

async function sumDaemonStatus(
	fleet: Fleet,
): Promise<{ cpuMs: number; bytes: number; kvCalls: number }> {
	const sum = { cpuMs: 0, bytes: 0, kvCalls: 0 };
	for (const index of fleet.daemons.keys()) {
		try {
			const status = await fleet.createControlClient(index).status.query();
			sum.cpuMs += status.cpu_ms;
			sum.bytes += status.peer_bytes_sent;
			sum.kvCalls += status.kv_calls;
		} catch {
			// A killed daemon is left out of the sums.
		}
	}
	return sum;
}

async function sumEngineStats(
	fleet: Fleet,
): Promise<{ generated: number; cacheHitPercent: number }> {
	let generated = 0;
	let hits = 0;
	let prompts = 0;
	for (const engine of fleet.engines) {
		try {
			const stats = await fleet.fetchStats<EngineStats>(engine);
			generated += stats.generated;
			hits += stats.cacheHits;
			prompts += stats.cacheHits + stats.cacheMisses;
		} catch {
			// The tokens of a killed engine are unknown, and so is the waste.
			generated = Number.NaN;
		}
	}
	return { generated, cacheHitPercent: round((100 * hits) / prompts) };
}

/** Polls the daemons' events during a run, because their event buffers are bounded. */
class EventCollector {
	private readonly lastSeqs = new Map<number, number>();
	private readonly events = new Map<number, TimelineEvent[]>();

	constructor(private readonly fleet: Fleet) {}

	async collect(): Promise<void> {
		const reads = [...this.fleet.daemons.keys()].map((index) => this.collectOne(index));
		await Promise.all(reads);
	}

	mergeEvents(): TimelineEvent[] {
		return mergeTimelines([...this.events.values()]);
	}

	private async collectOne(index: number): Promise<void> {
		const since = this.lastSeqs.get(index) ?? 0;
		try {
			const newEvents = await this.fleet.createControlClient(index).events.query({ since });
			const collected = this.events.get(index) ?? [];
			const last = collected.at(-1)?.seq ?? 0;
			for (const event of newEvents as TimelineEvent[]) {
				if (event.seq > last) {
					collected.push(event);
				}
			}
			this.events.set(index, collected);
			this.lastSeqs.set(index, collected.at(-1)?.seq ?? since);
		} catch {
			// The daemon is down or suspended; the next poll retries.
		}
	}
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
