/**
 * Chooses the engine for a request from what the fleet knows: where its prompt was read, and what
 * waits there.
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
 * Reading a shared part again costs so many times its reading, beside the reading itself: a request goes to another
 * engine when its own would let it wait as much longer.
 */
const rereadWeight = 12;
/** Copying a part from another engine costs a fifteenth of reading it again. */
const copyWeight = rereadWeight / 15;
/** Fewer tokens are read again rather than copied: both take a few milliseconds. */
const leastCopiedTokens = 100;
/** Requests that share more tokens than this meet on one engine, rather than go where a connection is open. */
const meetingTokens = 1000;
/**
 * A request may wait so many times the reading of what it shares to read it where the next ones look for it: so many of them find it
 * there before it gives way.
 */
const meetingShare = 3;
/** Each request that runs beside slows a step a little, in milliseconds of waiting. */
const runningMs = 1;
/**
 * Costs that differ by less are taken for equal, in milliseconds; hashing then spreads the requests.
 * Older news blur costs more: without this all VMs would choose the same engine until they hear.
 */
const leastCostStepMs = 8;
const costStepOfNewsAge = 0.1;
/** A short request goes to the engines of long ones when its own would let it wait this share of its target longer. */
const crossShare = 0.6;
/** The same for a long prompt that the streams there can bear: it must only be worth the trouble. */
const longCrossShare = 0.2;
/**
 * Age of news in the mean, as a share of the greatest. In a fleet of 87 VMs they are up to half a second old: taken for
 * new, they made a queue look a quarter of a second longer: 0.040 of an overload were refused, 0.013 before refusals grew stricter.
 */
const meanNewsAge = 0.5;
/** An engine is weighed in any case if it keeps this share of what a request shares with others. */
const muchKept = 0.5;
/** More than any random score. */
const connectedScore = 1;

const nothingKept: CachedTokens = { cached: 0, copyable: 0 };

export class EnginePlacement {
	private readonly divisions = new Map<string, EnginePartition>();

	/** @param hasFree whether a connection to an address is open and unused: new ones are slow and dear */
	constructor(
		private readonly random: Random,
		private readonly fleet: FleetView,
		private readonly costs: CostModel,
		private readonly hasFree: (address: string) => boolean,
	) {}

	/** @param engines those of the service that may be given work, in an order all VMs share */
	choose(req: PlacementRequest, engines: readonly Engine[], now: number): Placement | Refusal {
		const open = engines.filter((engine) => {
			return !req.tried.has(engine.id) && engine.health.isAvailable(now) && req.admits(engine);
		});
		if (open.length === 0) {
			return { refusal: 'no engine of the service can be used', retryAfterS: refusalRetryAfterS };
		}
		return req.segments.length === 0
			? this.leastRunning(open)
			: this.byPrompt(req, engines, open, now);
	}

	/** The one with the fewest of the fleet's requests; of several any. */
	private leastRunning(open: readonly Engine[]): Placement {
		const loads = open.map(
			(engine) => this.fleet.workAt(engine.incarnationKey).running / engine.registration.slots,
		);
		const least = Math.min(...loads);
		const best = open.filter((_, at) => loads[at] === least);
		const engine = best[Math.floor(this.random.next() * best.length)] as Engine;
		const reason = `least running ${least.toFixed(2)}`;
		const work = this.fleet.workAt(engine.incarnationKey);
		const tokens = {
			promptTokens: 0,
			readingMs: 0,
			waitMs: 0,
			readMsPerToken: 0,
			pace: nominalPace,
			cachedTokens: 0,
			copiedTokens: 0,
		};
		return { engine, ...tokens, work, reason };
	}

	private byPrompt(
		req: PlacementRequest,
		engines: readonly Engine[],
		open: readonly Engine[],
		now: number,
	): Placement | Refusal {
		const costs = this.costs.of(req.service);
		const kept = this.keptOf(req, open);
		const isLong = isLongPrompt(req.promptTokens, req.tightestPauseMs, costs);
		const division = this.divisionOf(req.service, divided(engines, req), now);
		const side = isLong ? division.longPool : division.shortPool;
		const shared = req.segments.slice(0, -1);
		const sharedTokens = tokensOf(shared);
		const key = shared.at(-1)?.id ?? req.segments[0]?.id ?? '';
		const meetingMs = readingMs(costs, sharedTokens) * meetingShare;
		const weighing = { req, kept, sharedTokens, key, meetingMs, now };
		const best = this.bestOf(weighing, open, side, isLong);
		const awaited = { queueMs: this.queueLeftMs(best), ownMs: best.ownReadingMs };
		if (
			req.isLeastUrgentTier &&
			shouldRefuse(awaited, req.targetMs, this.busyShare(isLong, division.longCapacity))
		) {
			const refusal = `the prompt would wait ${Math.round(awaited.queueMs)} ms for others`;
			return { refusal, retryAfterS: refusalRetryAfterS };
		}
		const { engine, uncachedTokens: uncached, waitMs } = best;
		const size = { promptTokens: uncached, answerTokens: req.answerTokens };
		const workMs = isLong ? longPromptWorkMs : shortPromptWorkMs;
		this.fleet.recordArrival(workMs(costs, size, engine.registration.slots), isLong);
		return {
			engine,
			promptTokens: uncached,
			readingMs: readingMs(best.costs, uncached),
			waitMs,
			readMsPerToken: best.costs.readMsPerToken,
			pace: this.costs.paces.pace(req.service, engine.ref, now),
			cachedTokens: best.cachedTokens,
			copiedTokens: best.copiedTokens,
			copyFrom: best.copiedTokens > 0 ? kept.copyFrom : undefined,
			work: best.work,
			reason: `${isLong ? 'long' : 'short'} prompt, wait ${Math.round(waitMs)} ms`,
		};
	}

	/** The cheapest engine of the request's side, or of all where that one is much cheaper. */
	private bestOf(
		weighing: ScoringContext,
		open: readonly Engine[],
		side: ReadonlySet<string>,
		isLong: boolean,
	): Candidate {
		const crossMs = weighing.req.targetMs * (isLong ? longCrossShare : crossShare);
		const own = open.filter((engine) => side.has(engine.id));
		const ownBest = cheapest(this.weighed(weighing, own, homesFor(weighing, own)));
		if (ownBest && ownBest.waitMs < crossMs) {
			return ownBest;
		}
		const others = open.filter((engine) => !side.has(engine.id));
		const weighed = this.weighed(weighing, others, []);
		// Engines of long prompts are overloaded in a burst of them, while those of short ones have time.
		const isBearable = ({ queueMs, ownReadingMs: ownMs, costs }: Candidate) => {
			return queueMs + ownMs <= maxReadingMs(weighing.req.tightestPauseMs, costs);
		};
		const otherBest = cheapest(isLong && ownBest ? weighed.filter(isBearable) : weighed);
		if (!ownBest || !otherBest) {
			return (ownBest ?? otherBest) as Candidate;
		}
		return otherBest.waitMs + crossMs < ownBest.waitMs ? otherBest : ownBest;
	}

	/** A few at random, all that keep much of what is shared, and those where such prompts meet. */
	private weighed(
		weighing: ScoringContext,
		engines: readonly Engine[],
		homes: readonly Engine[],
	): Candidate[] {
		const { cachedPrefixes: kept, sharedTokens } = weighing;
		const much = sharedTokens * muchKept;
		const keeps = (engine: Engine) => {
			const { cached } = kept.byEngine.get(engine.ref) ?? nothingKept;
			return (much > 0 && cached >= much) || homes.includes(engine);
		};
		const sample = sampleEngines(engines, keeps, this.random);
		return sample.map((engine) => this.weigh(weighing, engine, homes.indexOf(engine)));
	}

	/** What is left of a queue now: news are half as old as they can be in the mean, and engines read on meanwhile. */
	private queueLeftMs({ queueMs }: Candidate): number {
		return Math.max(0, queueMs - this.fleet.maxGossipAgeMs * meanNewsAge);
	}

	/** How busy long prompts keep the engines that read them: 1 is all of the time; 0 for a short prompt. */
	private busyShare(isLong: boolean, longCapacity: number): number {
		return isLong ? this.fleet.demand().long / longCapacity : 0;
	}

	private keptOf(req: PlacementRequest, open: readonly Engine[]): CachedPrefixes {
		const by = this.fleet.cachedTokensByEngine(req.segments.slice(0, -1));
		const copyableOf = (engine: Engine) => (by.get(engine.ref) ?? nothingKept).copyable;
		const copyable = Math.max(...open.map(copyableOf));
		// Any of them, since copies from one engine wait for each other.
		const sources = open.filter((engine) => copyableOf(engine) === copyable);
		const copyFrom = sources[Math.floor(this.random.next() * sources.length)];
		return { byEngine: by, copyableTokens: copyable, copyFrom };
	}

	/** @param homeRank place among the engines where its shared parts meet; negative for others */
	private weigh(weighing: ScoringContext, engine: Engine, homeRank: number): Candidate {
		const { req, cachedPrefixes: kept, sharedTokens, affinityKey: key, now } = weighing;
		const costs = this.costs.ofEngine(req.service, engine.ref, now);
		const work = this.fleet.workAt(engine.incarnationKey);
		const { cached } = kept.byEngine.get(engine.ref) ?? nothingKept;
		const missing = kept.copyableTokens - cached;
		const copied = missing >= leastCopiedTokens ? missing : 0;
		const uncached = Math.max(0, req.promptTokens - cached - copied);
		const { slotOccupancyMs: heldMs } = costs;
		const { slots } = engine.registration;
		const slotMs = slotWaitMs({
			...work,
			slots,
			slotOccupancyMs: heldMs,
			gossipAgeMs: this.fleet.maxGossipAgeMs,
		});
		const queueMs = work.promptTokens * costs.readMsPerToken + slotMs;
		const ownMs = readingMs(costs, uncached) + copyingMs(costs, copied);
		const waitMs = costs.firstEventOverheadMs + queueMs + ownMs;
		const unread = sharedTokens - cached - copied;
		const reread = (unread * rereadWeight + copied * copyWeight) * costs.readMsPerToken;
		const met = homeRank < 0 ? 0 : weighing.affinityBonusMs / (homeRank + 1);
		const pauses = pausePenaltyMs(costs, req.targetPauseMs, req.targetMs);
		const cost = waitMs + work.running * runningMs + reread + pauses - met;
		return {
			engine,
			work,
			costs,
			queueMs,
			ownReadingMs: ownMs,
			waitMs,
			costSteps: Math.round(cost / this.costStepMs),
			uncachedTokens: uncached,
			cachedTokens: cached,
			copiedTokens: copied,
			tieBreakScore: this.scoreOf(engine, sharedTokens, key),
		};
	}

	/**
	 * Decides between equal costs. Requests that share much meet by hashing. Others go where a connection is open, and of
	 * those anywhere: all that share a common greeting would go to one engine.
	 */
	private scoreOf(engine: Engine, sharedTokens: number, key: string): number {
		if (sharedTokens > meetingTokens) {
			return rendezvous.scoreOf(key, engine.id);
		}
		const isConnected = this.hasFree(engine.registration.address);
		return this.random.next() + (isConnected ? connectedScore : 0);
	}

	private get costStepMs(): number {
		return Math.max(leastCostStepMs, this.fleet.maxGossipAgeMs * costStepOfNewsAge);
	}

	private divisionOf(service: string, engines: readonly Engine[], now: number): PromptPools {
		let division = this.divisions.get(service);
		if (!division) {
			division = new EnginePartition();
			this.divisions.set(service, division);
		}
		const { paces: speeds } = this.costs;
		const capacityOf = ({ ref }: Engine) => 1 / speeds.steadyPace(service, ref, now).reading;
		return division.partition(engines, this.fleet.demand(), capacityOf);
	}
}

/**
 * Where a prompt meets others that share parts with it. Few engines are all weighed, and what each keeps is heard in time; and
 * what is known to be kept is found where that is.
 */
function homesFor(weighing: ScoringContext, engines: readonly Engine[]): readonly Engine[] {
	const { cachedPrefixes: kept, sharedTokens, affinityKey: key } = weighing;
	const mayMiss = engines.length > sampleSize && sharedTokens > meetingTokens;
	const isKnown = kept.copyableTokens >= sharedTokens * muchKept;
	return mayMiss && !isKnown ? affinityEnginesOf(key, engines) : [];
}

/**
 * Engines that are divided between long and short prompts. One that takes few requests, whatever they are, would leave its side short;
 * it is used beside both.
 */
function divided(engines: readonly Engine[], req: PlacementRequest): readonly Engine[] {
	const free = engines.filter((engine) => !req.isLimited(engine));
	return free.length > 0 ? free : engines;
}

function cheapest(candidates: readonly Candidate[]): Candidate | undefined {
	let best: Candidate | undefined;
	for (const candidate of candidates) {
		const equal = best !== undefined && candidate.costSteps === best.costSteps;
		if (
			!best ||
			candidate.costSteps < best.costSteps ||
			(equal && candidate.tieBreakScore > best.tieBreakScore)
		) {
			best = candidate;
		}
	}
	return best;
}

function tokensOf(parts: readonly PromptSegment[]): number {
	return parts.reduce((sum, part) => sum + part.tokens, 0);
}
