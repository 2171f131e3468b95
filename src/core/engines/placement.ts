/**
 * Chooses the engine for a request from what the fleet knows: where its prompt was read, and what
 * waits there.
 * @module
 */
import type { Random } from '../definitions.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { KeptTokens } from '../fleet/prompt-cache-map.js';
import type { EngineRef, EngineWork } from '../fleet/types.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { PromptPart } from '../relay/definitions.js';
import type { EngineModel } from '../routing/types.js';
import { bearableMs, isLongPrompt } from './bearable-pause.js';
import type { CostModel } from './cost-model.js';
import type { Engine } from './engine.js';
import type { Division } from './engine-division.js';
import { EngineDivision } from './engine-division.js';
import { sampleEngines } from './engine-sample.js';
import { comeBackS, isOverloaded } from './overload.js';
import type { CostFigures } from './work-estimate.js';
import { copyingMs, longWorkMs, readingMs, shortWorkMs } from './work-estimate.js';

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

export interface PlacementRequest {
	service: string;
	parts: readonly PromptPart[];
	promptTokens: number;
	answerTokens: number;
	/** The first event should come within this time, in milliseconds. */
	targetMs: number;
	/** Shortest of the target pauses of the service's streams, in milliseconds; undefined when none has one. */
	tightestPauseMs?: number;
	/** Target pause of its own stream, in milliseconds. */
	pauseMs?: number;
	model?: EngineModel;
	/** No route of the service has a less urgent tier. */
	leastUrgent: boolean;
	/** Engines that already had this request. */
	tried: ReadonlySet<string>;
	/** Whether an engine can take it now, as far as the requests a second that the engine names are known. */
	admits: (engine: Engine) => boolean;
	/** Whether an engine names how many requests a second it takes. */
	isLimited: (engine: Engine) => boolean;
}

export interface Placement {
	engine: Engine;
	/** Prompt tokens that it will have to read, and how long that should take, in milliseconds. */
	promptTokens: number;
	readingMs: number;
	/** What decided: estimated time until the first event, and cost of reading a token, in milliseconds. */
	waitMs: number;
	readMsPerToken: number;
	/** Prompt tokens that it is believed to keep. */
	cachedTokens: number;
	/** Prompt tokens that it should copy from another engine, and that engine; none if there is no gain. */
	copiedTokens: number;
	copyFrom?: Engine;
	/** What the fleet had there when it was chosen. */
	work: EngineWork;
	/** Why this one, for the log. */
	reason: string;
}

export interface Refusal {
	refusal: string;
	retryAfterS: number;
}

const nothingKept: KeptTokens = { cached: 0, copyable: 0 };

interface Candidate {
	engine: Engine;
	work: EngineWork;
	/** Milliseconds until its prompt begins to be read, and for reading it. */
	queueMs: number;
	ownMs: number;
	/** Milliseconds until its first event. */
	waitMs: number;
	/** Wait and what it costs the others, in steps. */
	cost: number;
	uncached: number;
	cached: number;
	copied: number;
	/** Of equal costs the higher is taken. */
	score: number;
}

/** Which engines keep how much of the start of a prompt. */
interface Kept {
	by: ReadonlyMap<EngineRef, KeptTokens>;
	/** The engine from which most of it can be copied, and how much. */
	copyFrom?: Engine;
	copyable: number;
}

/** What is the same for all engines that one request is weighed against. */
interface Weighing {
	req: PlacementRequest;
	costs: CostFigures;
	kept: Kept;
}

export class EnginePlacement {
	private readonly divisions = new Map<string, EngineDivision>();

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
			return !req.tried.has(engine.id) && engine.health.admits(now) && req.admits(engine);
		});
		if (open.length === 0) {
			return { refusal: 'no engine of the service can be used', retryAfterS: comeBackS };
		}
		return req.parts.length === 0 ? this.leastRunning(open) : this.byPrompt(req, engines, open);
	}

	/** The one with the fewest of the fleet's requests; of several any. */
	private leastRunning(open: readonly Engine[]): Placement {
		const loads = open.map((engine) => this.fleet.workAt(engine.key).running / engine.entry.slots);
		const least = Math.min(...loads);
		const best = open.filter((_, at) => loads[at] === least);
		const engine = best[Math.floor(this.random.next() * best.length)] as Engine;
		const reason = `least running ${least.toFixed(2)}`;
		const work = this.fleet.workAt(engine.key);
		const tokens = {
			promptTokens: 0,
			readingMs: 0,
			waitMs: 0,
			readMsPerToken: 0,
			cachedTokens: 0,
			copiedTokens: 0,
		};
		return { engine, ...tokens, work, reason };
	}

	private byPrompt(
		req: PlacementRequest,
		engines: readonly Engine[],
		open: readonly Engine[],
	): Placement | Refusal {
		const costs = this.costs.of(req.service);
		const kept = this.keptOf(req, open);
		const isLong = isHeavy(req, costs);
		const division = this.divisionOf(req.service, divided(engines, req));
		const side = isLong ? division.long : division.short;
		const best = this.bestOf({ req, costs, kept }, open, side, isLong);
		const awaited = { queueMs: this.queueLeftMs(best), ownMs: best.ownMs };
		if (req.leastUrgent && isOverloaded(awaited, req.targetMs, this.busyShare(isLong, side.size))) {
			const refusal = `the prompt would wait ${Math.round(awaited.queueMs)} ms for others`;
			return { refusal, retryAfterS: comeBackS };
		}
		const { engine, uncached, waitMs } = best;
		const size = { promptTokens: uncached, answerTokens: req.answerTokens };
		const workMs = isLong ? longWorkMs : shortWorkMs;
		this.fleet.arrived(workMs(costs, size, engine.entry.slots), isLong);
		return {
			engine,
			promptTokens: uncached,
			readingMs: readingMs(costs, uncached),
			waitMs,
			readMsPerToken: costs.readMsPerToken,
			cachedTokens: best.cached,
			copiedTokens: best.copied,
			copyFrom: best.copied > 0 ? kept.copyFrom : undefined,
			work: best.work,
			reason: `${isLong ? 'long' : 'short'} prompt, wait ${Math.round(waitMs)} ms`,
		};
	}

	/** The cheapest engine of the request's side, or of all where that one is much cheaper. */
	private bestOf(
		weighing: Weighing,
		open: readonly Engine[],
		side: ReadonlySet<string>,
		isLong: boolean,
	): Candidate {
		const crossMs = weighing.req.targetMs * (isLong ? longCrossShare : crossShare);
		const own = this.sample(
			weighing,
			open.filter((engine) => side.has(engine.id)),
		);
		const ownBest = cheapest(own.map((engine) => this.weigh(weighing, engine)));
		if (ownBest && ownBest.waitMs < crossMs) {
			return ownBest;
		}
		const others = open.filter((engine) => !side.has(engine.id));
		const weighed = this.sample(weighing, others).map((engine) => this.weigh(weighing, engine));
		// Engines of long prompts are overloaded in a burst of them, while those of short ones have time.
		const mostMs =
			isLong && ownBest ? bearableMs(weighing.req.tightestPauseMs, weighing.costs) : Infinity;
		const otherBest = cheapest(weighed.filter(({ queueMs, ownMs }) => queueMs + ownMs <= mostMs));
		if (!ownBest || !otherBest) {
			return (ownBest ?? otherBest) as Candidate;
		}
		return otherBest.waitMs + crossMs < ownBest.waitMs ? otherBest : ownBest;
	}

	/** A few at random, and all that keep much of what is shared. */
	private sample({ req, kept }: Weighing, engines: readonly Engine[]): readonly Engine[] {
		const much = tokensOf(req.parts.slice(0, -1)) * muchKept;
		const keeps = ({ ref }: Engine) => much > 0 && (kept.by.get(ref) ?? nothingKept).cached >= much;
		return sampleEngines(engines, keeps, this.random);
	}

	/** What is left of a queue now: news are half as old as they can be in the mean, and engines read on meanwhile. */
	private queueLeftMs({ queueMs }: Candidate): number {
		return Math.max(0, queueMs - this.fleet.newsAgeMs * meanNewsAge);
	}

	/** How busy long prompts keep the engines that read them: 1 is all of the time; 0 for a short prompt. */
	private busyShare(isLong: boolean, longEngines: number): number {
		return isLong ? this.fleet.demand().long / longEngines : 0;
	}

	private keptOf(req: PlacementRequest, open: readonly Engine[]): Kept {
		const by = this.fleet.keptBy(req.parts.slice(0, -1));
		const copyableOf = (engine: Engine) => (by.get(engine.ref) ?? nothingKept).copyable;
		const copyable = Math.max(...open.map(copyableOf));
		// Any of them, since copies from one engine wait for each other.
		const sources = open.filter((engine) => copyableOf(engine) === copyable);
		const copyFrom = sources[Math.floor(this.random.next() * sources.length)];
		return { by, copyable, copyFrom };
	}

	private weigh({ req, costs, kept }: Weighing, engine: Engine): Candidate {
		const shared = req.parts.slice(0, -1);
		const key = shared.at(-1)?.id ?? req.parts[0]?.id ?? '';
		const work = this.fleet.workAt(engine.key);
		const { cached } = kept.by.get(engine.ref) ?? nothingKept;
		const missing = kept.copyable - cached;
		const copied = missing >= leastCopiedTokens ? missing : 0;
		const uncached = Math.max(0, req.promptTokens - cached - copied);
		const queued = Math.max(0, work.running + 1 - engine.entry.slots);
		const slotMs = (queued * costs.heldMs) / engine.entry.slots;
		const queueMs = work.promptTokens * costs.readMsPerToken + slotMs;
		const ownMs = readingMs(costs, uncached) + copyingMs(costs, copied);
		const waitMs = costs.firstMs + queueMs + ownMs;
		const unread = tokensOf(shared) - cached - copied;
		const reread = (unread * rereadWeight + copied * copyWeight) * costs.readMsPerToken;
		const cost = waitMs + work.running * runningMs + reread;
		return {
			engine,
			work,
			queueMs,
			ownMs,
			waitMs,
			cost: Math.round(cost / this.costStepMs),
			uncached,
			cached,
			copied,
			score: this.scoreOf(engine, shared, key),
		};
	}

	/**
	 * Decides between equal costs. Requests that share much meet by hashing. Others go where a connection is open, and of
	 * those anywhere: all that share a common greeting would go to one engine.
	 */
	private scoreOf(engine: Engine, shared: readonly PromptPart[], key: string): number {
		if (tokensOf(shared) > meetingTokens) {
			return rendezvous.scoreOf(key, engine.id);
		}
		const isConnected = this.hasFree(engine.entry.address);
		return this.random.next() + (isConnected ? connectedScore : 0);
	}

	private get costStepMs(): number {
		return Math.max(leastCostStepMs, this.fleet.newsAgeMs * costStepOfNewsAge);
	}

	private divisionOf(service: string, engines: readonly Engine[]): Division {
		let division = this.divisions.get(service);
		if (!division) {
			division = new EngineDivision();
			this.divisions.set(service, division);
		}
		return division.divide(engines, this.fleet.demand());
	}
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
		const equal = best !== undefined && candidate.cost === best.cost;
		if (!best || candidate.cost < best.cost || (equal && candidate.score > best.score)) {
			best = candidate;
		}
	}
	return best;
}

function isHeavy(req: PlacementRequest, costs: CostFigures): boolean {
	const { promptTokens, pauseMs, tightestPauseMs } = req;
	const isDelicate = pauseMs === undefined || pauseMs <= (tightestPauseMs ?? pauseMs);
	return !isDelicate || isLongPrompt(promptTokens, tightestPauseMs, costs);
}

function tokensOf(parts: readonly PromptPart[]): number {
	return parts.reduce((sum, part) => sum + part.tokens, 0);
}
