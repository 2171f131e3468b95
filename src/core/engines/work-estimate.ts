/**
 * How much work a request is for a model engine, from its tokens and what tokens cost on the engines of its
 * service.
 * @module
 */
import type { Pace } from './engine-pace.js';

/** What work costs on the engines of one service; see `cost-model` for where the figures come from. */
export interface CostEstimates {
	/** Milliseconds to read one prompt token, with the steps of other requests between. */
	readMsPerToken: number;
	/** Milliseconds from sending a request to its first event beyond the reading. */
	firstEventOverheadMs: number;
	/** Milliseconds to copy one token that another engine has read. */
	copyMsPerToken: number;
	/** Milliseconds before a copy begins. */
	copySetupMs: number;
	/** Milliseconds between two events of a stream beside which no prompt is read. */
	eventIntervalMs: number;
	/** Milliseconds of a stream for each token that is expected of its answer. */
	answerMsPerToken: number;
	/** Milliseconds for which a request holds its slot, from the first event to the last, in the mean. */
	slotOccupancyMs: number;
}

/** Figures of an engine that takes so many times as long as its service's figures say; copies are bound by networks. */
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
 * Each token of a prompt is weighed against all before it: a prompt of so many tokens takes twice as long as the
 * same tokens in short ones. A property of the usual architectures at 70 billion parameters, not of a machine.
 */
const doublingTokens = 85_000;

export interface RequestSize {
	/** Prompt tokens that the engine has to read. */
	promptTokens: number;
	answerTokens: number;
}

/** Tokens of short prompts that take as long to read as this prompt. */
export function effectiveTokens(promptTokens: number): number {
	return promptTokens * (1 + promptTokens / doublingTokens);
}

/** How long reading the prompt keeps an engine busy, in milliseconds. */
export function readingMs(costs: CostEstimates, promptTokens: number): number {
	return effectiveTokens(promptTokens) * costs.readMsPerToken;
}

/** How long an engine takes to copy read tokens from another, in milliseconds. */
export function copyingMs(costs: CostEstimates, tokens: number): number {
	return tokens === 0 ? 0 : costs.copySetupMs + tokens * costs.copyMsPerToken;
}

/**
 * How long a long prompt keeps a whole engine busy, in milliseconds: by reading, or by its slot where those are few.
 * While an engine reads, its steps make tokens beside; the cost of reading has those steps in it.
 */
export function longPromptWorkMs(costs: CostEstimates, size: RequestSize, slots: number): number {
	const reading = readingMs(costs, size.promptTokens);
	return Math.max(reading, (reading + answeringMs(costs, size)) / slots);
}

/** How long a short one does: where little is read, an answer takes its share of steps that are made for it. */
export function shortPromptWorkMs(costs: CostEstimates, size: RequestSize, slots: number): number {
	return readingMs(costs, size.promptTokens) + answeringMs(costs, size) / slots;
}

function answeringMs(costs: CostEstimates, size: RequestSize): number {
	return size.answerTokens * costs.answerMsPerToken;
}
