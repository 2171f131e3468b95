/**
 * How far answers go beyond what their callers expect. Estimates of callers are right in the median; what answers take of an
 * engine's memory follows from their mean, and how much has to be kept for them from how far they scatter.
 * @module
 */
import { QuantileEstimate } from './estimators.js';

/** Estimates of answers by size: each class ends at so many tokens, the last one has no end. */
const classEnds = [32, 128, 512];
/** Answers before anything was seen: estimates that are off by a factor of 1.6 either way, for two answers of three. */
const priorMean = 1.13;
const priorDeviation = 0.6;
/** Events of an answer for each token that was expected, before anything was seen. */
const priorEventsPerToken = 0.2;
/** The prior mean counts as so many answers; after some times as many an old answer counts a third. */
const priorAnswers = 10;
const keepAnswers = 100;
/** A settled median follows a lasting change within some 30 answers. */
const quantileStep = 0.05;
const settledAnswers = 30;

/** How far the answers of one size go, as multiples of what was expected. */
export interface AnswerSpread {
	mean: number;
	/** Standard deviation. */
	deviation: number;
}

/**
 * Events for each expected token. Tokens an event need not be known: the median answer has as many tokens as were
 * expected, so the median ratio stands for one token a token.
 */
class SizeClass {
	private readonly median = new QuantileEstimate(
		priorEventsPerToken,
		0.5,
		quantileStep,
		settledAnswers,
	);
	private mean = priorEventsPerToken * priorMean;
	private meanSquare = priorEventsPerToken ** 2 * (priorMean ** 2 + priorDeviation ** 2);
	private answers = priorAnswers;

	add(eventsPerToken: number): void {
		this.median.add(eventsPerToken);
		this.answers = Math.min(this.answers + 1, keepAnswers);
		this.mean += (eventsPerToken - this.mean) / this.answers;
		this.meanSquare += (eventsPerToken ** 2 - this.meanSquare) / this.answers;
	}

	spread(): AnswerSpread {
		const variance = Math.max(0, this.meanSquare - this.mean ** 2);
		return {
			mean: Math.max(1, this.mean / this.median.value),
			deviation: Math.sqrt(variance) / this.median.value,
		};
	}
}

export class AnswerLengths {
	private readonly classes = Array.from({ length: classEnds.length + 1 }, () => new SizeClass());

	/** An answer came whole. */
	seen(events: number, expectedTokens: number): void {
		if (expectedTokens > 0) {
			this.classOf(expectedTokens).add(events / expectedTokens);
		}
	}

	/** How far answers go of which so many tokens are expected. */
	spreadOf(expectedTokens: number): AnswerSpread {
		return this.classOf(expectedTokens).spread();
	}

	private classOf(tokens: number): SizeClass {
		const at = classEnds.findIndex((end) => tokens < end);
		return this.classes[at === -1 ? classEnds.length : at] as SizeClass;
	}
}
