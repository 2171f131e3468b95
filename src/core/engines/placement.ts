/**
 * Chooses the engine for a request by estimated cost: queues, prefix caches and the pace of engines.
 * @module
 */
import type { Random } from '../definitions.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { CachedTokens } from '../fleet/prefix-cache-map.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { PromptSegment } from '../relay/definitions.js';
import { affinityEnginesOf } from './affinity-engines.js';
import type { CostModel } from './cost-model.js';
import type { Engine } from './engine.js';
import { nominalPace } from './engine-pace.js';
import type { PromptPools } from './engine-partition.js';
import { EnginePartition } from './engine-partition.js';
import { sampleEngines, sampleSize } from './engine-sample.js';
import { isLongPrompt, maxReadingMs } from './long-prompt.js';
import { refusalRetryAfterS, shouldRefuse } from './overload.js';
import { pausePenaltyMs } from './pause-penalty.js';
import type {
	CachedPrefixes,
	Candidate,
	Placement,
	PlacementRequest,
	Refusal,
	ScoringContext,
} from './placement-types.js';
import { slotWaitMs } from './slot-wait.js';
import { copyingMs, longPromptWorkMs, readingMs, shortPromptWorkMs } from './work-estimate.js';

/**
 * Penalty for reading a shared prefix that an engine has not cached, as a multiple of the reading time. A request leaves an
 * engine that has it cached only when it would wait longer there by this penalty.
 */
const rereadWeight = 12;
/** The same penalty for copying a prefix. */
const copyWeight = rereadWeight / 15;
/** Fewer tokens are read rather than copied, as both take only a few milliseconds. */
const minCopiedTokens = 100;
/** Requests that share more tokens than this prefer their affinity engines over engines with idle connections. */
const minAffinityTokens = 1000;
/** Bonus of an affinity engine, as a multiple of the reading time of the shared prefix: later requests reuse it there. */
const affinityBonusFactor = 3;
/** Penalty for each request running at the engine, which slows its steps slightly, in milliseconds. */
const runningPenaltyMs = 1;
/**
 * Costs are rounded to steps of at least this size, in milliseconds; the tie-break score then spreads the requests. Steps grow with
 * the age of gossip, as otherwise all VMs would choose the same engine until new gossip arrives.
 */
const minCostStepMs = 8;
const costStepPerGossipAge = 0.1;
/** A short prompt spills over to the long-prompt pool when that saves this share of its target in wait. */
const shortSpilloverShare = 0.6;
/** The same for a long prompt that the streams of the short-prompt pool tolerate. */
const longSpilloverShare = 0.2;
/**
 * Mean age of gossip as a share of its maximum age; engines have worked off part of a reported queue since. In a fleet of 87 VMs
 * gossip is up to half a second old; taken as new, it makes a queue look a quarter of a second longer.
 */
const meanGossipAgeShare = 0.5;
/** An engine is always scored if it has cached at least this share of the shared prefix. */
const minCachedShare = 0.5;
/** Tie-break bonus of engines with an idle connection; exceeds any random score. */
const connectedScore = 1;

const nothingCached: CachedTokens = { cached: 0, copyable: 0 };

export class EnginePlacement {
	private readonly partitions = new Map<string, EnginePartition>();

	/** @param hasIdleConnection whether a connection to an address is open and unused; opening one is slow */
	constructor(
		private readonly random: Random,
		private readonly fleet: FleetView,
		private readonly costs: CostModel,
		private readonly hasIdleConnection: (address: string) => boolean,
	) {}

	/** @param engines eligible engines of the service, in an order that all VMs share */
	choose(req: PlacementRequest, engines: readonly Engine[], now: number): Placement | Refusal {
		const usable = findUsable(req, engines, now);
		if (usable.length === 0) {
			return { refusal: 'no engine of the service can be used', retryAfterS: refusalRetryAfterS };
		}
		return req.promptSegments.length === 0
			? this.placeByLoad(usable)
			: this.placeByPrompt(req, engines, usable, now);
	}

	/** Chooses the engine with the fewest running requests per slot, at random among equals. */
	private placeByLoad(usable: readonly Engine[]): Placement {
		const loads = usable.map(
			(engine) => this.fleet.getWork(engine.incarnationKey).running / engine.registration.slots,
		);
		const least = Math.min(...loads);
		const best = usable.filter((_, index) => loads[index] === least);
		const engine = best[Math.floor(this.random.next() * best.length)] as Engine;
		const reason = `least running ${least.toFixed(2)}`;
		const work = this.fleet.getWork(engine.incarnationKey);
		const tokens = {
			uncachedTokens: 0,
			readingMs: 0,
			waitMs: 0,
			readMsPerToken: 0,
			pace: nominalPace,
			cachedTokens: 0,
			copiedTokens: 0,
		};
		return { engine, ...tokens, work, reason };
	}

	private placeByPrompt(
		req: PlacementRequest,
		engines: readonly Engine[],
		usable: readonly Engine[],
		now: number,
	): Placement | Refusal {
		const costs = this.costs.of(req.service);
		const cachedPrefixes = this.cachedPrefixesOf(req, usable);
		const isLong = isLongPrompt(req.promptTokens, req.minTargetPauseMs, costs);
		const pools = this.poolsOf(req.service, partitionable(engines, req), now);
		const pool = isLong ? pools.longPool : pools.shortPool;
		const shared = req.promptSegments.slice(0, -1);
		const sharedTokens = tokensOf(shared);
		const affinityKey = shared.at(-1)?.id ?? req.promptSegments[0]?.id ?? '';
		const affinityBonusMs = readingMs(costs, sharedTokens) * affinityBonusFactor;
		const context = {
			req,
			cachedPrefixes,
			sharedTokens,
			affinityKey,
			affinityBonusMs,
			now,
		};
		const best = this.cheapestOf(context, usable, pool, isLong);
		const expected = { queueMs: this.queueLeftMs(best), ownReadingMs: best.ownReadingMs };
		if (
			req.isLeastUrgent &&
			shouldRefuse(expected, req.targetMs, this.utilization(isLong, pools.longCapacity))
		) {
			const refusal = `the prompt would wait ${Math.round(expected.queueMs)} ms for others`;
			return { refusal, retryAfterS: refusalRetryAfterS };
		}
		const { engine, uncachedTokens, waitMs } = best;
		const size = { promptTokens: uncachedTokens, answerTokens: req.answerTokens };
		const workMs = isLong ? longPromptWorkMs : shortPromptWorkMs;
		this.fleet.recordArrival(workMs(costs, size, engine.registration.slots), isLong);
		return {
			engine,
			uncachedTokens,
			readingMs: readingMs(best.costs, uncachedTokens),
			waitMs,
			readMsPerToken: best.costs.readMsPerToken,
			pace: this.costs.paces.getPace(req.service, engine.ref, now),
			cachedTokens: best.cachedTokens,
			copiedTokens: best.copiedTokens,
			copyFrom: best.copiedTokens > 0 ? cachedPrefixes.copyFrom : undefined,
			work: best.work,
			reason: `${isLong ? 'long' : 'short'} prompt, wait ${Math.round(waitMs)} ms`,
		};
	}

	/** The cheapest engine of the request's pool, or of the other pool where spillover saves enough wait. */
	private cheapestOf(
		context: ScoringContext,
		usable: readonly Engine[],
		pool: ReadonlySet<string>,
		isLong: boolean,
	): Candidate {
		const spilloverMs = context.req.targetMs * (isLong ? longSpilloverShare : shortSpilloverShare);
		const own = usable.filter((engine) => pool.has(engine.id));
		const ownBest = cheapest(this.score(context, own, affinityEnginesFor(context, own)));
		if (ownBest && ownBest.waitMs < spilloverMs) {
			return ownBest;
		}
		const others = usable.filter((engine) => !pool.has(engine.id));
		const candidates = this.score(context, others, []);
		// A long prompt spills over only where it does not stall the streams of the short-prompt pool.
		const isTolerable = ({ queueMs, ownReadingMs, costs }: Candidate) => {
			return queueMs + ownReadingMs <= maxReadingMs(context.req.minTargetPauseMs, costs);
		};
		const otherBest = cheapest(isLong && ownBest ? candidates.filter(isTolerable) : candidates);
		if (!ownBest || !otherBest) {
			return (ownBest ?? otherBest) as Candidate;
		}
		return otherBest.waitMs + spilloverMs < ownBest.waitMs ? otherBest : ownBest;
	}

	/** Scores a random sample of the engines, those with much of the prefix cached, and the affinity engines. */
	private score(
		context: ScoringContext,
		engines: readonly Engine[],
		affinityEngines: readonly Engine[],
	): Candidate[] {
		const { cachedPrefixes, sharedTokens } = context;
		const minCached = sharedTokens * minCachedShare;
		const isPreferred = (engine: Engine) => {
			const { cached } = cachedPrefixes.byEngine.get(engine.ref) ?? nothingCached;
			return (minCached > 0 && cached >= minCached) || affinityEngines.includes(engine);
		};
		const sample = sampleEngines(engines, isPreferred, this.random);
		return sample.map((engine) =>
			this.scoreEngine(context, engine, affinityEngines.indexOf(engine)),
		);
	}

	/** Estimated remainder of a queue; the engine has worked off part of it since it was reported. */
	private queueLeftMs({ queueMs }: Candidate): number {
		return Math.max(0, queueMs - this.fleet.maxGossipAgeMs * meanGossipAgeShare);
	}

	/** Utilization of the long-prompt pool, where 1 is fully busy; 0 for a short prompt. */
	private utilization(isLong: boolean, longCapacity: number): number {
		return isLong ? this.fleet.getDemand().long / longCapacity : 0;
	}

	private cachedPrefixesOf(req: PlacementRequest, usable: readonly Engine[]): CachedPrefixes {
		const byEngine = this.fleet.cachedTokensByEngine(req.promptSegments.slice(0, -1));
		const copyableOf = (engine: Engine) => (byEngine.get(engine.ref) ?? nothingCached).copyable;
		const copyableTokens = Math.max(...usable.map(copyableOf));
		// Chosen at random, since copies from the same engine queue up.
		const sources = usable.filter((engine) => copyableOf(engine) === copyableTokens);
		const copyFrom = sources[Math.floor(this.random.next() * sources.length)];
		return { byEngine, copyableTokens, copyFrom };
	}

	/** @param affinityRank index among the affinity engines; negative for other engines */
	private scoreEngine(context: ScoringContext, engine: Engine, affinityRank: number): Candidate {
		const { req, cachedPrefixes, sharedTokens, affinityKey, now } = context;
		const costs = this.costs.ofEngine(req.service, engine.ref, now);
		const work = this.fleet.getWork(engine.incarnationKey);
		const { cached } = cachedPrefixes.byEngine.get(engine.ref) ?? nothingCached;
		const missing = cachedPrefixes.copyableTokens - cached;
		const copiedTokens = missing >= minCopiedTokens ? missing : 0;
		const uncachedTokens = Math.max(0, req.promptTokens - cached - copiedTokens);
		const { slotOccupancyMs } = costs;
		const { slots } = engine.registration;
		const slotMs = slotWaitMs({
			...work,
			slots,
			slotOccupancyMs,
			gossipAgeMs: this.fleet.maxGossipAgeMs,
		});
		const queueMs = work.promptTokens * costs.readMsPerToken + slotMs;
		const ownReadingMs = readingMs(costs, uncachedTokens) + copyingMs(costs, copiedTokens);
		const waitMs = costs.firstEventOverheadMs + queueMs + ownReadingMs;
		const unread = sharedTokens - cached - copiedTokens;
		const cachePenaltyMs =
			(unread * rereadWeight + copiedTokens * copyWeight) * costs.readMsPerToken;
		const bonusMs = affinityRank < 0 ? 0 : context.affinityBonusMs / (affinityRank + 1);
		const pauseMs = pausePenaltyMs(costs, req.targetPauseMs, req.targetMs);
		const costMs = waitMs + work.running * runningPenaltyMs + cachePenaltyMs + pauseMs - bonusMs;
		return {
			engine,
			work,
			costs,
			queueMs,
			ownReadingMs,
			waitMs,
			costSteps: Math.round(costMs / this.costStepMs),
			uncachedTokens,
			cachedTokens: cached,
			copiedTokens,
			tieBreakScore: this.tieBreakScoreOf(engine, sharedTokens, affinityKey),
		};
	}

	/**
	 * Breaks ties between equal costs. Requests that share many tokens follow rendezvous hashing. Others prefer idle connections and
	 * are spread at random, as hashing would send all requests with a common system prompt to one engine.
	 */
	private tieBreakScoreOf(engine: Engine, sharedTokens: number, affinityKey: string): number {
		if (sharedTokens > minAffinityTokens) {
			return rendezvous.scoreOf(affinityKey, engine.id);
		}
		const isConnected = this.hasIdleConnection(engine.registration.address);
		return this.random.next() + (isConnected ? connectedScore : 0);
	}

	private get costStepMs(): number {
		return Math.max(minCostStepMs, this.fleet.maxGossipAgeMs * costStepPerGossipAge);
	}

	private poolsOf(service: string, engines: readonly Engine[], now: number): PromptPools {
		let partition = this.partitions.get(service);
		if (!partition) {
			partition = new EnginePartition();
			this.partitions.set(service, partition);
		}
		const { paces } = this.costs;
		const capacityOf = ({ ref }: Engine) => 1 / paces.getSteadyPace(service, ref, now).reading;
		return partition.partition(engines, this.fleet.getDemand(), capacityOf);
	}
}

/** Engines that may get the request: those that are available, or else briefly silent ones where the request accepts these. */
function findUsable(
	req: PlacementRequest,
	engines: readonly Engine[],
	now: number,
): readonly Engine[] {
	const filter = (isHealthy: (engine: Engine) => boolean) => {
		return engines.filter((engine) => {
			return !req.tried.has(engine.id) && isHealthy(engine) && req.admits(engine);
		});
	};
	const available = filter(({ health }) => health.isAvailable(now));
	return available.length === 0 && req.acceptsSilent
		? filter(({ health }) => health.isBrieflySilent(now))
		: available;
}

/**
 * Affinity engines of a prompt. None where all engines are scored anyway, the shared prefix is short, or an engine is known to have
 * it cached.
 */
function affinityEnginesFor(
	context: ScoringContext,
	engines: readonly Engine[],
): readonly Engine[] {
	const { cachedPrefixes, sharedTokens, affinityKey } = context;
	const needsAffinity = engines.length > sampleSize && sharedTokens > minAffinityTokens;
	const isCached = cachedPrefixes.copyableTokens >= sharedTokens * minCachedShare;
	return needsAffinity && !isCached ? affinityEnginesOf(affinityKey, engines) : [];
}

/**
 * Engines to partition between the pools. Rate-limited engines are left out, as their capacity would be overestimated; they serve
 * as spillover for both pools.
 */
function partitionable(engines: readonly Engine[], req: PlacementRequest): readonly Engine[] {
	const unlimited = engines.filter((engine) => !req.isLimited(engine));
	return unlimited.length > 0 ? unlimited : engines;
}

function cheapest(candidates: readonly Candidate[]): Candidate | undefined {
	let best: Candidate | undefined;
	for (const candidate of candidates) {
		const isEqual = best !== undefined && candidate.costSteps === best.costSteps;
		if (
			!best ||
			candidate.costSteps < best.costSteps ||
			(isEqual && candidate.tieBreakScore > best.tieBreakScore)
		) {
			best = candidate;
		}
	}
	return best;
}

function tokensOf(segments: readonly PromptSegment[]): number {
	return segments.reduce((sum, segment) => sum + segment.tokens, 0);
}
