/**
 * How much work a request is for a model engine, from its tokens alone.
 * @module
 */

/** A prompt of more tokens is long: read in chunks, it holds up a stream for several events. */
export const longPromptTokens = 4000;
/** Prompt tokens that an engine reads in a millisecond; both known sites say 62 to 66. */
export const promptTokensPerMs = 60;
/** Tokens that a well filled engine makes in a millisecond over all its streams; from their step times. */
const answerTokensPerMs = 12;
/** A stream gets a token in so many milliseconds; the known sites say 3.1 to 3.9 and a little more when full. */
const answerTokenMs = 4;
/** Each token of a long prompt is weighed against all before it, which slows reading; from the known sites. */
const longPromptWeight = 1.25;

/** Prompt tokens that an engine copies from another in a millisecond: 160 KiB each over 180 Gbit/s and more. */
const copiedTokensPerMs = 130;
/** Each copy takes so long to begin, in milliseconds; the known sites say 2.7 to 4. */
const copySetupMs = 4;

export interface RequestSize {
	/** Prompt tokens that the engine has to read. */
	promptTokens: number;
	answerTokens: number;
}

/** How long reading the prompt keeps an engine busy, in milliseconds. */
export function readingMs(promptTokens: number): number {
	const weight = promptTokens > longPromptTokens ? longPromptWeight : 1;
	return (promptTokens * weight) / promptTokensPerMs;
}

/** How long an engine takes to copy read tokens from another, in milliseconds. */
export function copyingMs(tokens: number): number {
	return tokens === 0 ? 0 : copySetupMs + tokens / copiedTokensPerMs;
}

/**
 * How long the request keeps a whole engine busy, in milliseconds: by the work that it is, or by its share
 * of the slots for as long as it runs. Engines with many slots run out of work first, those with few out
 * of slots.
 */
export function workMs(size: RequestSize, slots: number): number {
	const reading = readingMs(size.promptTokens);
	const byWork = reading + size.answerTokens / answerTokensPerMs;
	const bySlots = (reading + size.answerTokens * answerTokenMs) / slots;
	return Math.max(byWork, bySlots);
}
