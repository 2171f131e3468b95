/**
 * Replays a burst of long prompts with shared segments in simulated time, on engines with few slots and placed by many VMs
 * that know of each other's work only by gossip.
 * @module
 */
import { Engine } from '../../src/core/engines/engine.js';
import type { Pace } from '../../src/core/engines/engine-pace.js';
import { EnginePlacement } from '../../src/core/engines/placement.js';
import type { Placement, PlacementRequest } from '../../src/core/engines/placement-types.js';
import type { PromptSegment } from '../../src/core/relay/definitions.js';
import { BatchEngine } from '../stand-ins/batch-engine.js';
import { observedRequest } from './observed-request.js';
import { entry, seededRandom, unlimited } from './relay-fakes.js';
import type { SimulatedVm } from './simulated-fleet.js';
import { SimulatedFleet } from './simulated-fleet.js';

const service = 'pool';
const copyPerMs = 200;
const copySetupMs = 4;
/** Time step of the replay. */
const stepMs = 5;
/** Number of base segments; every long prompt starts with one of them, followed by that of its subject. */
const baseSegments = 4;

interface Kind {
	ownTokens: number;
	answerTokens: number;
	targetMs: number;
	pauseMs: number;
}

/** Requests of callers, and speed of the engines. */
export interface Workload {
	slots: number;
	readPerMs: number;
	stepMs: number;
	subjects: number;
	baseTokens: number;
	subjectTokens: number;
	/** Segments that short prompts share besides a greeting. */
	topics?: { count: number; tokens: number };
	long: Kind;
	short: Kind;
}

/** Summaries of notices with a tight target, on engines with few slots. */
export const noticeSummaries: Workload = {
	slots: 12,
	readPerMs: 42,
	stepMs: 5.5,
	subjects: 800,
	baseTokens: 2500,
	subjectTokens: 3800,
	long: { ownTokens: 2900, answerTokens: 50, targetMs: 600, pauseMs: 400 },
	short: { ownTokens: 630, answerTokens: 290, targetMs: 600, pauseMs: 250 },
};

/** Recaps of episodes with a target of two seconds, beside questions with a target of a quarter. */
export const episodeRecaps: Workload = {
	slots: 24,
	readPerMs: 61,
	stepMs: 3.1,
	subjects: 400,
	baseTokens: 500,
	subjectTokens: 4900,
	long: { ownTokens: 6600, answerTokens: 380, targetMs: 2000, pauseMs: 600 },
	short: { ownTokens: 630, answerTokens: 290, targetMs: 250, pauseMs: 150 },
};

/** Digests of saved games with many subjects, on fast engines with few slots, beside short explanations. */
export const savedGameDigests: Workload = {
	slots: 16,
	readPerMs: 110,
	stepMs: 6.1,
	subjects: 2800,
	baseTokens: 2500,
	subjectTokens: 3800,
	topics: { count: 1500, tokens: 230 },
	long: { ownTokens: 2900, answerTokens: 52, targetMs: 800, pauseMs: 600 },
	short: { ownTokens: 1800, answerTokens: 23, targetMs: 600, pauseMs: 150 },
};

/** Long prompts that are mostly cached, beside streams with short target pauses. */
export const questAnswers: Workload = {
	slots: 16,
	readPerMs: 110,
	stepMs: 6.1,
	subjects: 400,
	baseTokens: 2000,
	subjectTokens: 4300,
	long: { ownTokens: 2890, answerTokens: 50, targetMs: 800, pauseMs: 600 },
	short: { ownTokens: 700, answerTokens: 200, targetMs: 600, pauseMs: 150 },
};

export interface BurstOptions {
	workload: Workload;
	vms: number;
	domains: number;
	engines: number;
	longPerS: number;
	shortPerS: number;
	seconds: number;
	seed: number;
	/** Share of slow engines, and how many times as long their work takes. */
	slowShare?: number;
	slowdown?: number;
	/** Pace of an engine by its index and the milliseconds since the first request. */
	paceOf?: (engine: number, ms: number) => number;
	/** Place all requests by one VM that knows the pace of each engine at any time. */
	knowsExactPaces?: boolean;
}

export interface BurstTally {
	sent: number;
	inTime: number;
	refused: number;
	/** Tokens of shared segments that an engine read although another one had them cached. */
	rereadTokens: number;
	readTokens: number;
	/** Milliseconds to the first event of each request. */
	waits: number[];
	/** Longest pause of each request, in milliseconds. */
	pauses: number[];
}

/** A request that was sent, and the index of its engine. */
export interface SentRequest {
	/** Milliseconds since the start of the burst. */
	at: number;
	engine: number;
}

/** An engine with its prefix cache. */
interface CachingEngine {
	engine: Engine;
	batch: BatchEngine;
	cachedSegments: Set<string>;
	/** When the network link of the engine is free for the next copy. */
	linkFreeAt: number;
}

export class BurstReplay {
	readonly long = noTally();
	readonly short = noTally();
	readonly placed: SentRequest[] = [];
	private readonly fleet: SimulatedFleet;
	private readonly engines: CachingEngine[] = [];
	private readonly placements = new Map<SimulatedVm, EnginePlacement>();
	private readonly everRead = new Set<string>();
	private readonly nextRandom: () => number;
	private ownSegments = 0;
	private startAt = 0;

	constructor(readonly opts: BurstOptions) {
		this.nextRandom = seededRandom(opts.seed);
		this.fleet = new SimulatedFleet(opts.knowsExactPaces ? 1 : opts.vms, opts.domains, opts.seed);
		for (let index = 0; index < opts.engines; index++) {
			const isSlow = index < opts.engines * (opts.slowShare ?? 0);
			this.engines.push(this.newEngine(index, isSlow ? (opts.slowdown ?? 1) : 1));
		}
		const random = { next: this.nextRandom, hex: () => '' };
		for (const vm of this.fleet.vms) {
			this.placements.set(vm, new EnginePlacement(random, vm.fleet, vm.costs, () => false));
			if (opts.knowsExactPaces) {
				vm.costs.paces.getPace = (_, ref) => this.truePace(ref);
			}
		}
	}

	play(): void {
		this.fleet.run(1500);
		this.startAt = this.fleet.clock.now;
		const { startAt } = this;
		const arrivals = [
			...this.arrivalsOf(this.opts.longPerS).map((at) => ({ at, isLong: true })),
			...this.arrivalsOf(this.opts.shortPerS).map((at) => ({ at, isLong: false })),
		].sort((a, b) => a.at - b.at);
		for (const { at, isLong } of arrivals) {
			this.runUntil(startAt + at);
			this.arrive(isLong);
		}
		this.runUntil(this.fleet.clock.now + 5000);
	}

	private truePace(ref: number): Pace {
		const index = this.engines.findIndex(({ engine }) => engine.ref === ref);
		const pace = this.opts.paceOf?.(index, this.fleet.clock.now - this.startAt) ?? 1;
		return { reading: pace, steps: pace };
	}

	private runUntil(until: number): void {
		while (this.fleet.clock.now < until) {
			this.fleet.run(stepMs);
			for (const { batch } of this.engines) {
				batch.runUntil(this.fleet.clock.now);
			}
		}
	}

	private arrivalsOf(perS: number): number[] {
		const arrivals: number[] = [];
		for (let at = 0; at < this.opts.seconds * 1000; ) {
			at += (-Math.log(1 - this.nextRandom()) * 1000) / perS;
			arrivals.push(at);
		}
		return arrivals;
	}

	private arrive(isLong: boolean): void {
		const { workload } = this.opts;
		const kind = isLong ? workload.long : workload.short;
		const tally = isLong ? this.long : this.short;
		const { vms } = this.fleet;
		const vm = vms[Math.floor(this.nextRandom() * vms.length)] as SimulatedVm;
		const segments = this.segmentsOf(isLong, kind.ownTokens);
		const promptTokens = segments.reduce((sum, segment) => sum + segment.tokens, 0);
		const req: PlacementRequest = {
			service,
			promptSegments: segments,
			promptTokens,
			answerTokens: kind.answerTokens,
			targetMs: kind.targetMs,
			minTargetPauseMs: workload.short.pauseMs,
			targetPauseMs: kind.pauseMs,
			isLeastUrgent: isLong,
			tried: new Set(),
			...unlimited,
		};
		const engines = this.engines.map(({ engine }) => engine);
		const placed = this.placements.get(vm)?.choose(req, engines, this.fleet.clock.now);
		tally.sent++;
		if (!placed || 'refusal' in placed) {
			tally.refused++;
			return;
		}
		this.send(vm, req, placed, tally, kind.pauseMs);
	}

	private segmentsOf(isLong: boolean, ownTokens: number): PromptSegment[] {
		const own = { id: `own-${this.ownSegments++}`, tokens: Math.round(this.sizeOf(ownTokens)) };
		if (!isLong) {
			return [{ id: 'greeting', tokens: 200 }, ...this.topicOf(), own];
		}
		const { subjects, baseTokens, subjectTokens } = this.opts.workload;
		const subject = Math.floor(this.nextRandom() ** 1.3 * subjects);
		return [
			{ id: `base-${subject % baseSegments}`, tokens: baseTokens },
			{ id: `subject-${subject}`, tokens: subjectTokens },
			own,
		];
	}

	private topicOf(): PromptSegment[] {
		const { topics } = this.opts.workload;
		const topic = topics && Math.floor(this.nextRandom() * topics.count);
		return topic === undefined ? [] : [{ id: `topic-${topic}`, tokens: topics?.tokens ?? 0 }];
	}

	/** Random size, within a factor of about four of the mean. */
	private sizeOf(mean: number): number {
		return mean * 0.75 * Math.exp(1.4 * (this.nextRandom() + this.nextRandom() - 1));
	}

	private send(
		vm: SimulatedVm,
		req: PlacementRequest,
		placed: Placement,
		tally: BurstTally,
		pauseMs: number,
	): void {
		const engine = this.engines.findIndex((candidate) => candidate.engine === placed.engine);
		const target = this.engines[engine] as CachingEngine;
		this.placed.push({ at: this.fleet.clock.now - this.startAt, engine });
		const { uncachedTokens: promptTokens } = placed;
		const { id } = placed.engine;
		const shared = req.promptSegments.slice(0, -1);
		vm.fleet.changeWork(id, { running: 1, promptTokens });
		vm.fleet.recordPrefill(shared, id, false);
		vm.exchange.markChanged();
		const sentAt = this.fleet.clock.now;
		let isInTime = false;
		const request = observedRequest(vm.costs, {
			service,
			sentAt,
			promptTokens,
			answerTokens: req.answerTokens,
			aheadTokens: placed.work.promptTokens,
			engine: placed.engine.ref,
			isQueued: placed.work.running >= placed.engine.registration.slots,
			isBesidePrompts: () => vm.fleet.getWork(id).promptTokens > 0,
			expectedTokens: req.answerTokens,
			onFirst: (delayMs) => {
				isInTime = delayMs <= req.targetMs;
				tally.waits.push(delayMs);
				for (const segment of shared) {
					target.cachedSegments.add(segment.id);
				}
				vm.fleet.changeWork(id, { promptTokens: -promptTokens });
				vm.fleet.recordPrefill(shared, id, true);
				vm.exchange.markChanged();
			},
			onEnd: () => {
				tally.inTime += isInTime ? 1 : 0;
				tally.pauses.push(longestMs);
				vm.fleet.changeWork(id, { running: -1 });
				vm.exchange.markChanged();
			},
		});
		let lastAt = Number.POSITIVE_INFINITY;
		let longestMs = 0;
		const onEvent = (at: number) => {
			isInTime &&= at - lastAt <= pauseMs;
			longestMs = Math.max(longestMs, at - lastAt);
			lastAt = at;
			request.onEvent(at);
		};
		const unreadTokens = () => this.tokensToRead(req, placed, target, tally);
		target.batch.send({ ...request, onEvent, countUncachedTokens: unreadTokens });
	}

	/** Tokens to read when the request gets a slot; a copy counts as the tokens read in the same time. */
	private tokensToRead(
		req: PlacementRequest,
		placed: Placement,
		target: CachingEngine,
		tally: BurstTally,
	): number {
		const source = this.engines.find(({ engine }) => engine === placed.copyFrom);
		let uncached = req.promptSegments.at(-1)?.tokens ?? 0;
		let copied = 0;
		for (const segment of req.promptSegments.slice(0, -1)) {
			if (target.cachedSegments.has(segment.id)) {
				continue;
			}
			if (source?.cachedSegments.has(segment.id)) {
				copied += segment.tokens;
				continue;
			}
			uncached += segment.tokens;
			tally.rereadTokens += this.everRead.has(segment.id) ? segment.tokens : 0;
			this.everRead.add(segment.id);
		}
		tally.readTokens += uncached;
		return (
			uncached +
			(source && copied > 0 ? this.copyMs(source, copied) * this.opts.workload.readPerMs : 0)
		);
	}

	private copyMs(source: CachingEngine, tokens: number): number {
		const { now } = this.fleet.clock;
		source.linkFreeAt = Math.max(source.linkFreeAt, now) + tokens / copyPerMs;
		return source.linkFreeAt - now + copySetupMs;
	}

	private newEngine(index: number, slowdown: number): CachingEngine {
		const { workload, paceOf } = this.opts;
		const id = `engine-${index}`;
		const batch = new BatchEngine({
			prefillTokensPerMs: workload.readPerMs / slowdown,
			stepMs: workload.stepMs * slowdown,
			stepMsPerStream: 0.03 * slowdown,
			tokensPerEvent: 5,
			prefillChunkTokens: 2048,
			slots: workload.slots,
			networkDelayMs: 2,
			slowdownAt: paceOf && ((now) => paceOf(index, now - this.startAt)),
		});
		// Starts the engine's clock at the time of the fleet.
		batch.runUntil(this.fleet.clock.now);
		return {
			engine: new Engine(entry(id, workload.slots)),
			batch,
			cachedSegments: new Set(),
			linkFreeAt: 0,
		};
	}
}

function noTally(): BurstTally {
	return { sent: 0, inTime: 0, refused: 0, rereadTokens: 0, readTokens: 0, waits: [], pauses: [] };
}
