/**
 * Room in the memory of engines, for prompts or answers so long that memory runs out while slots are free. An engine
 * without room preempts running requests and reads them again.
 * @module
 */
import type { KeptTokens } from '../fleet/prompt-cache-map.js';
import type { EngineWork } from '../fleet/types.js';
import { memoryBlockTokens } from '../fleet/work-sums.js';
import type { EngineModel } from '../routing/types.js';
import type { AnswerLengths } from './answer-lengths.js';
import type { CostFigures } from './work-estimate.js';

/**
 * Standard deviations that are allowed for: nine engines of ten that are filled to the last token hold the answers that
 * run there to their ends.
 */
const coveredDeviations = 1.28;

/** A request as far as its memory goes. */
export interface RequestTokens {
	promptTokens: number;
	/** As its caller expects. */
	answerTokens: number;
}

/** What the room for one request is worked out from, the same for all engines that it is weighed against. */
export interface RoomTerms {
	/** What is known of the service's engines. */
	model: EngineModel | undefined;
	req: RequestTokens;
	lengths: AnswerLengths;
	/** How long a request holds memory in the mean, in milliseconds; more than 0. */
	heldMs: number;
	/** Age of the news in the mean, in milliseconds. */
	newsAgeMs: number;
}

/** How one request fits into the memory of one engine. */
export interface MemoryFit {
	/** Tokens that it needs there, in whole blocks; 0 where the engine's memory is not known. */
	needTokens: number;
	/** Tokens that are left for it; negative where more is under way than fits. Undefined where memory is not known. */
	roomTokens?: number;
	/** Tokens that it lacks, beyond what news of this age may be wrong by. */
	shortTokens: number;
	/** Milliseconds until as many come free. */
	waitMs: number;
	/** Tokens that the engine reads again later if the request does not wait, but takes the place of others. */
	preemptedTokens: number;
}

/** How a request fits where engines' memory is not known. */
export const unboundedFit: MemoryFit = {
	needTokens: 0,
	shortTokens: 0,
	waitMs: 0,
	preemptedTokens: 0,
};

/** The memory of a service's engines as one request sees it. */
export class MemoryRoom {
	private readonly answerTokens: number;
	/** What the answer may take beyond that: one standard deviation, in tokens. */
	private readonly growthTokens: number;

	constructor(private readonly terms: RoomTerms) {
		const { req, lengths } = terms;
		const { mean, deviation } = lengths.spreadOf(req.answerTokens);
		this.answerTokens = req.answerTokens * mean;
		this.growthTokens = req.answerTokens * deviation;
	}

	/**
	 * @param slots requests that the engine runs at once
	 * @param kept what the engine keeps of the prompt, and others use there now
	 */
	fit(work: EngineWork, slots: number, { inUse }: Pick<KeptTokens, 'inUse'>): MemoryFit {
		const { model, req, heldMs } = this.terms;
		const memoryTokens = memoryOf(model);
		if (memoryTokens === undefined) {
			return unboundedFit;
		}
		const needTokens = toBlocks(req.promptTokens - inUse + this.answerTokens);
		const roomTokens = memoryTokens - work.memoryTokens - this.growthOf(work.running + 1);
		const lacking = needTokens - roomTokens - this.unheardTokens(work);
		// The first request of an engine fits: a larger one than its memory is refused before.
		const shortTokens = work.running === 0 ? 0 : Math.max(0, lacking);
		return {
			needTokens,
			roomTokens,
			shortTokens,
			waitMs: (shortTokens / memoryTokens) * heldMs,
			preemptedTokens: Math.max(
				Math.min(shortTokens, needTokens),
				work.running >= slots ? meanTokens(work) : 0,
			),
		};
	}

	/** Kept free for answers of so many requests that grow longer than expected. */
	private growthOf(requests: number): number {
		return coveredDeviations * Math.sqrt(requests) * this.growthTokens;
	}

	/**
	 * What the news may be wrong by: as many requests came since as left, give or take the root of both. VMs that all
	 * shun an engine for less meet on another.
	 */
	private unheardTokens(work: EngineWork): number {
		const { heldMs, newsAgeMs } = this.terms;
		const unheard = (work.running * newsAgeMs) / heldMs;
		return coveredDeviations * Math.sqrt(2 * unheard) * meanTokens(work);
	}
}

/**
 * For how long a request holds memory in the mean, in milliseconds: from before its first event to its last. Answers of one
 * event would be held for no time by the latter alone.
 */
export function memoryHeldMs({ firstMs, heldMs }: CostFigures): number {
	return firstMs + heldMs;
}

/** Whether no engine of the service can ever run the request. */
export function exceedsMemory({ promptTokens }: RequestTokens, model?: EngineModel): boolean {
	const memoryTokens = memoryOf(model);
	return memoryTokens !== undefined && promptTokens >= memoryTokens;
}

/** Tokens that an engine's memory holds; undefined where nobody says: a memory of nothing would refuse all. */
function memoryOf(model?: EngineModel): number | undefined {
	return model && model.memoryTokens > 0 ? model.memoryTokens : undefined;
}

function meanTokens({ running, memoryTokens }: EngineWork): number {
	return running > 0 ? memoryTokens / running : 0;
}

function toBlocks(tokens: number): number {
	return Math.ceil(tokens / memoryBlockTokens) * memoryBlockTokens;
}
