/**
 * Estimates the work of a request from its token counts and the cost estimates of its service.
 * @module
 */
import type { Pace } from './engine-pace.js';

/** Cost of work on the engines of one service, as estimated by `CostModel`. */
export interface CostEstimates {
	/** Milliseconds to read one prompt token, including interleaved steps of other requests. */
	readMsPerToken: number;
	/** Milliseconds from sending a request to its first event, apart from waiting and reading. */
	firstEventOverheadMs: number;
	/** Milliseconds to copy the cached state of one token from another engine. */
	copyMsPerToken: number;
	/** Setup time of a copy in milliseconds. */
	copySetupMs: number;
	/** Milliseconds between two events of a stream that no prompt disturbs. */
	eventIntervalMs: number;
	/** Milliseconds of streaming for each expected token of an answer. */
	answerMsPerToken: number;
	/** Mean time for which a request holds its slot, from its first event to its last, in milliseconds. */
	slotOccupancyMs: number;
}

/** Scales the estimates of a service by the pace of an engine; copies depend on the network and are not scaled. */
export function scaleByPace(costs: CostEstimates, { reading, steps }: Pace): CostEstimates {
	return {
		...costs,
		readMsPerToken: costs.readMsPerToken * reading,
		firstEventOverheadMs: costs.firstEventOverheadMs * reading,
		eventIntervalMs: costs.eventIntervalMs * steps,
		answerMsPerToken: costs.answerMsPerToken * steps,
		slotOccupancyMs: costs.slotOccupancyMs * steps,
	};
}

/**
 * Prompt length in tokens at which attention, whose cost is quadratic, doubles the reading time. Depends on the model
 * architecture.
 */
const doublingTokens = 85_000;

export interface RequestSize {
	/** Prompt tokens that the engine has to read, without cached or copied ones. */
	promptTokens: number;
	answerTokens: number;
}

/** Number of tokens in short prompts that take as long to read as this prompt. */
export function effectiveTokens(promptTokens: number): number {
	return promptTokens * (1 + promptTokens / doublingTokens);
}

/** Time for which reading the prompt keeps an engine busy, in milliseconds. */
export function readingMs(costs: CostEstimates, promptTokens: number): number {
	return effectiveTokens(promptTokens) * costs.readMsPerToken;
}

/** Time to copy cached tokens from another engine, in milliseconds. */
export function copyingMs(costs: CostEstimates, tokens: number): number {
	return tokens === 0 ? 0 : costs.copySetupMs + tokens * costs.copyMsPerToken;
}

/**
 * Engine time that a long prompt uses, in milliseconds: limited by reading, or by its slot on engines with few slots. The cost
 * of reading already includes interleaved steps.
 */
export function longPromptWorkMs(costs: CostEstimates, size: RequestSize, slots: number): number {
	const reading = readingMs(costs, size.promptTokens);
	return Math.max(reading, (reading + answeringMs(costs, size)) / slots);
}

/** Engine time that a short prompt uses, in milliseconds: its reading, and its share of the steps. */
export function shortPromptWorkMs(costs: CostEstimates, size: RequestSize, slots: number): number {
	return readingMs(costs, size.promptTokens) + answeringMs(costs, size) / slots;
}

function answeringMs(costs: CostEstimates, size: RequestSize): number {
	return size.answerTokens * costs.answerMsPerToken;
}
