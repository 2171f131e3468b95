/**
 * How much work a request is for a model engine, from its tokens and what tokens cost on the engines of its
 * service.
 * @module
 */

/** What work costs on the engines of one service; see `cost-model` for where the figures come from. */
export interface CostFigures {
	/** Milliseconds to read one prompt token, with the steps of other requests between. */
	readMsPerToken: number;
	/** Milliseconds from sending a request to its first event beyond the reading. */
	firstMs: number;
	/** Milliseconds to copy one token that another engine has read. */
	copyMsPerToken: number;
	/** Milliseconds before a copy begins. */
	copySetupMs: number;
	/** Milliseconds between two events of a stream beside which no prompt is read. */
	eventMs: number;
	/** Milliseconds of a stream for each token that is expected of its answer. */
	answerMsPerToken: number;
	/** Milliseconds for which a request holds its slot, from the first event to the last, in the mean. */
	heldMs: number;
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
export function readingMs(costs: CostFigures, promptTokens: number): number {
	return effectiveTokens(promptTokens) * costs.readMsPerToken;
}

/** How long an engine takes to copy read tokens from another, in milliseconds. */
export function copyingMs(costs: CostFigures, tokens: number): number {
	return tokens === 0 ? 0 : costs.copySetupMs + tokens * costs.copyMsPerToken;
}

/**
 * How long the request keeps a whole engine busy, in milliseconds: reading takes the engine for itself, an
 * answer takes one of its slots.
 */
export function workMs(costs: CostFigures, size: RequestSize, slots: number): number {
	const answerMs = size.answerTokens * costs.answerMsPerToken;
	return readingMs(costs, size.promptTokens) + answerMs / slots;
}
