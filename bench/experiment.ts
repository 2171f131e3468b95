/**
 * One experiment: a fleet, a trace, a policy, perhaps a fault in mid-run; figures by class and
 * the oracle's verdict.
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

/** Time after the last request in which answers may still come, in milliseconds. */
const tailMs = 130_000;
/** Time between two reads of the daemons' events, in milliseconds. */
const collectMs = 2000;
/** The two highest tiers are judged for recovery. */
const topTiers = 2;
/** Long enough for the baseline, whose requests queue inside engines before their first token. */
const stallMs = 10_000;
const recoveredShare = 0.95;

/** A fault in mid-run. */
export interface Fault {
	name: string;
	startMs: number;
	/** VM that a cut sets apart. */
	isolatedVm?: string;
	begin: (fleet: Fleet) => Promise<void>;
	/** Ends the fault, after `forMs`. */
	durationMs?: number;
	end?: (fleet: Fleet) => Promise<void>;
}

export interface ExperimentOptions {
	deployment: Deployment;
	daemons: number;
	engines: number;
	engineOptions: Partial<EngineOptions>;
	/** Starting slots and the like of each engine in the configuration. */
	endpointOptions: object;
	policy: object;
	trace: TraceRequest[];
	fault?: Fault;
	areDrillsEnabled?: boolean;
}

/** Figures of one experiment. */
export interface ExperimentResult {
	classes: ClassSummary[];
	/** Tokens a second of answers that were whole before their deadline. */
	goodput: number;
	/** Tokens a second of answers that met all their targets. */
	goodputInTarget: number;
	/** Tokens generated and of no use, in percent of those generated. */
	wastedPercent: number;
	/** Prompts whose prefix the engine still had, in percent. */
	cacheHitPercent: number;
	wrong: number;
	findings: Findings;
	/** The same for the daemons that no cut set apart. */
	findingsOfRest?: Findings;
	/** Seconds from the fault until the top tiers are attained again; 0 without a dent. */
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
	const client = new ReplayClient({ daemonUrls: fleet.daemonUrls, keys, timeoutMs: tailMs });
	const collector = new EventCollector(fleet);
	const before = await totals(fleet);
	const began = Date.now();
	const faulting = opts.fault ? inject(fleet, opts.fault) : Promise.resolve();
	const collecting = setInterval(() => void collector.collect(), collectMs);
	const results = await client.replay(opts.trace);
	clearInterval(collecting);
	await faulting;
	await collector.collect();
	const elapsedS = (Date.now() - began) / 1000;
	const after = await totals(fleet);
	const engines = await engineTotals(fleet);
	return figures(opts, cfg, results, collector.mergeEvents(), {
		began,
		...engines,
		cpuPercent: (after.cpuMs - before.cpuMs) / elapsedS / 10 / opts.daemons,
		bytesPerS: (after.bytes - before.bytes) / elapsedS / opts.daemons,
		kvCalls: after.kvCalls - before.kvCalls,
	});
}

interface Measured {
	began: number;
	generated: number;
	cacheHitPercent: number;
	cpuPercent: number;
	bytesPerS: number;
	kvCalls: number;
}

function figures(
	opts: ExperimentOptions,
	cfg: Configuration,
	results: ReplayResult[],
	events: TimelineEvent[],
	measured: Measured,
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
		wastedPercent: round((100 * (measured.generated - usefulTokens)) / measured.generated),
		cacheHitPercent: measured.cacheHitPercent,
		wrong: results.filter((result) => result.wrong).length,
		findings: checkTimeline(events, deadlines, engines),
		findingsOfRest:
			opts.fault?.isolatedVm === undefined
				? undefined
				: checkTimeline(without(events, opts.fault.isolatedVm), deadlines, engines),
		recoveryS: opts.fault && recovery(results, targets, measured.began + opts.fault.startMs),
		daemonCpuPercent: round(measured.cpuPercent),
		peerBytesPerS: Math.round(measured.bytesPerS),
		kvCalls: measured.kvCalls,
	};
}

function without(events: TimelineEvent[], vm: string): TimelineEvent[] {
	return events.filter((event) => event.vm !== vm);
}

function sumTokens(results: readonly ReplayResult[]): number {
	return results.reduce((sum, result) => sum + result.tokens, 0);
}

/** Requests of the top tiers by second: the last bad second after the fault. */
function recovery(
	results: readonly ReplayResult[],
	targets: ReadonlyMap<string, ClassTargets>,
	faultAt: number,
): number {
	const seconds = new Map<number, { all: number; attained: number }>();
	for (const result of results) {
		const target = targets.get(result.class) as ClassTargets;
		const second = Math.floor((result.sentAt - faultAt) / 1000);
		if (target.tier <= topTiers && second >= -2) {
			const bin = seconds.get(second) ?? { all: 0, attained: 0 };
			bin.all++;
			bin.attained += isWithinTargets(result, target) ? 1 : 0;
			seconds.set(second, bin);
		}
	}
	const bad = [...seconds].filter(([, bin]) => bin.attained < bin.all * recoveredShare);
	return Math.max(0, ...bad.map(([second]) => second + 1));
}

async function inject(fleet: Fleet, fault: Fault): Promise<void> {
	await sleep(fault.startMs);
	await fault.begin(fleet);
	if (fault.end) {
		await sleep(fault.durationMs ?? 0);
		await fault.end(fleet);
	}
}

async function totals(fleet: Fleet): Promise<{ cpuMs: number; bytes: number; kvCalls: number }> {
	const sum = { cpuMs: 0, bytes: 0, kvCalls: 0 };
	for (const index of fleet.daemons.keys()) {
		try {
			const status = await fleet.createControlClient(index).status.query();
			sum.cpuMs += status.cpu_ms;
			sum.bytes += status.peer_bytes_sent;
			sum.kvCalls += status.kv_calls;
		} catch {
			// A daemon that was killed gives no figures.
		}
	}
	return sum;
}

async function engineTotals(fleet: Fleet): Promise<{ generated: number; cacheHitPercent: number }> {
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
			// An engine that was killed gives no figures; its tokens are not in the waste either.
			generated = Number.NaN;
		}
	}
	return { generated, cacheHitPercent: round((100 * hits) / prompts) };
}

/** Reads the daemons' events while they run, since their rings are bounded. */
class EventCollector {
	private readonly seen = new Map<number, number>();
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
		const since = this.seen.get(index) ?? 0;
		try {
			const fresh = await this.fleet.createControlClient(index).events.query({ since });
			const known = this.events.get(index) ?? [];
			const last = known.at(-1)?.seq ?? 0;
			for (const event of fresh as TimelineEvent[]) {
				if (event.seq > last) {
					known.push(event);
				}
			}
			this.events.set(index, known);
			this.seen.set(index, known.at(-1)?.seq ?? since);
		} catch {
			// A daemon that is gone or frozen is read again next time, if it comes back.
		}
	}
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}
