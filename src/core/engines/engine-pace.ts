/**
 * Pace of one engine: how much longer its work takes than its service's estimates say. Combines two moving averages of the
 * same observations: a slow one over half a minute, which is robust against noise, and a fast one over the last second, which
 * takes over while it deviates by more than noise. Meanwhile the slow average is frozen.
 * @module
 */
import type { PaceKind, PaceSum, PaceSums } from './pace-sums.js';
import { DecayingSums, decayMs, emptyPaceSums, minWeight, paceKinds } from './pace-sums.js';

/** Time constant of the slow average, in milliseconds. */
const slowDecayMs = 30_000;
/**
 * Weight of the expected pace in the slow average, in observations. Times to first events include queueing that gossip has not
 * reported yet, so they need more evidence.
 */
const slowPriors: Readonly<Record<PaceKind, number>> = { reading: 30, steps: 3 };
/** Limits how far the mean of new observations lies from the slow average, as a logarithm of the factor. */
const maxSlowDeviation = Math.log(1.5);
/** The fast average takes over when it deviates from the slow one by more than this, as a logarithm of the factor. */
const deviationThreshold = Math.log(2);
/**
 * Weight of the slow average in the fast one, in observations: more for first events, which are few and noisy. As observations
 * decay, an engine that gets no work returns to its slow average and is tried again.
 */
const fastPriors: Readonly<Record<PaceKind, number>> = { reading: 3, steps: 1 };
/** A deviation that lasts longer than this is permanent and updates the slow average, in milliseconds. */
const maxDeviationMs = 10_000;
/**
 * Without new observations for this time, the pace of a deviating engine returns to the slow average, with this time constant, in
 * milliseconds: the engine gets a few requests, which show whether it recovered.
 */
const staleMs = 500;
/**
 * A gap in the gossip about an engine does not count as a time without observations, unless it lasts longer than this, in
 * milliseconds: lost messages must not look like an idle engine.
 */
const maxGossipGapMs = 2000;
/** Age of gossip while no message is lost, which counts like any other time. */
const usualGossipAgeMs = 500;
/** Smallest relative gain in weight of the fast average that counts as new observations. */
const minGain = 0.05;
/** Bound of all paces, as a logarithm of the factor. */
const maxDeviation = Math.log(20);

/** Factors by which work takes longer than the service's estimates say: 2 is half as fast. */
export interface Pace {
	/** Reading of prompts, which is bound by compute. */
	reading: number;
	/** Steps that generate tokens, which are bound by memory bandwidth. */
	steps: number;
}

/** Pace of an engine without observations. */
export const nominalPace: Pace = { reading: 1, steps: 1 };

/** Logarithms of the mean paces of a service's engines; the pace of each engine is relative to these. */
export type PaceMeans = Readonly<Record<PaceKind, number>>;

export class EnginePace {
	/** Fast average: observations of all VMs. */
	readonly recent: DecayingSums;
	private readonly slow = emptyPaceSums();
	private at: number;
	private currentPace = nominalPace;
	private currentSteadyPace = nominalPace;
	/** Weight of the fast average at the last check, and the time of that check. */
	private checkedWeight = 0;
	private checkedAt: number;
	/** When new observations last arrived. */
	private gainedAt: number;
	/** Until when peers told their observations; undefined before gossip about the engine arrives. */
	private toldUntil?: number;
	/** Since when the fast average deviates. */
	private deviatingSince?: number;

	/** @param now monotonic milliseconds */
	constructor(now: number) {
		this.recent = new DecayingSums(now);
		this.at = now;
		this.gainedAt = now;
		this.checkedAt = now;
	}

	/** Moves what decayed from the fast average into the slow one. */
	advance(now: number, means: PaceMeans): void {
		const elapsedMs = Math.max(0, now - this.at);
		const moved = 1 - Math.exp(-elapsedMs / decayMs);
		const decay = Math.exp(-elapsedMs / slowDecayMs);
		const before = this.recent.read(this.at);
		const isFrozen = this.isFrozen(now);
		for (const kind of paceKinds) {
			if (isFrozen) {
				continue;
			}
			const clamped = this.clampSum(kind, before[kind], means);
			this.slow[kind].weight = this.slow[kind].weight * decay + before[kind].weight * moved;
			this.slow[kind].sum = this.slow[kind].sum * decay + clamped * moved;
		}
		this.at = Math.max(this.at, now);
		this.updateGain(now);
	}

	/**
	 * Records that gossip about this engine was added to the fast average.
	 * @param ageMs time since the gossip left the VMs that observed the engine
	 */
	recordReceived(now: number, ageMs: number): void {
		this.toldUntil = Math.max(now - ageMs, this.toldUntil ?? Number.NEGATIVE_INFINITY);
		this.updateGain(now);
	}

	/** Observations of both averages. */
	total(now: number, means: PaceMeans): PaceSums {
		const recent = this.recent.read(now);
		if (this.isFrozen(now)) {
			return this.slow;
		}
		const sum = (kind: PaceKind) => ({
			weight: this.slow[kind].weight + recent[kind].weight,
			sum: this.slow[kind].sum + this.clampSum(kind, recent[kind], means),
		});
		return { reading: sum('reading'), steps: sum('steps') };
	}

	/**
	 * Recomputes the paces.
	 * @param recentMeans means of the fast averages: a change that all engines share, such as an overload, is no deviation
	 */
	refresh(now: number, means: PaceMeans, recentMeans: PaceMeans): void {
		const total = this.total(now, means);
		const recent = this.recentAsTold(now);
		const steps = shrink(total.steps, means.steps, slowPriors.steps) - means.steps;
		// Without evidence about its reading, an engine is expected to read at the pace of its steps.
		const expectedReading = means.reading + steps;
		const reading = shrink(total.reading, expectedReading, slowPriors.reading) - means.reading;
		const stepsDeviation = deviationOf('steps', recent, recentMeans.steps + steps);
		const readingDeviation = deviationOf(
			'reading',
			recent,
			recentMeans.reading + reading + stepsDeviation,
		);
		const freshness = Math.exp(-Math.max(0, this.idleMs(now) - staleMs) / staleMs);
		const isDeviating = stepsDeviation !== 0 || readingDeviation !== 0;
		this.deviatingSince = isDeviating ? (this.deviatingSince ?? now) : undefined;
		this.currentSteadyPace = paceOf(reading, steps);
		this.currentPace = paceOf(
			reading + (stepsDeviation + readingDeviation) * freshness,
			steps + stepsDeviation * freshness,
		);
	}

	/** Pace by the slow average alone. */
	get steadyPace(): Pace {
		return this.currentSteadyPace;
	}

	/** Pace by both averages. */
	get pace(): Pace {
		return this.currentPace;
	}

	/** Whether the fast average deviates and decides. */
	get isDeviating(): boolean {
		return this.deviatingSince !== undefined;
	}

	/** Whether too little evidence is left to keep the engine. */
	isNegligible(now: number): boolean {
		const { reading, steps } = this.slow;
		return reading.weight + steps.weight < minWeight && this.recent.isNegligible(now);
	}

	/**
	 * Time for which peers' observations have been overdue; 0 once that lasts too long to be due to lost messages.
	 */
	private gossipGapMs(now: number): number {
		const gapMs = now - (this.toldUntil ?? now);
		return gapMs < maxGossipGapMs ? Math.max(0, gapMs - usualGossipAgeMs) : 0;
	}

	/** Time without new observations, as far as the gossip that arrived tells. */
	private idleMs(now: number): number {
		return now - this.gainedAt - this.gossipGapMs(now);
	}

	/** The fast average without what it decayed during a gap in the gossip. */
	private recentAsTold(now: number): PaceSums {
		const recent = this.recent.read(now);
		const factor = Math.exp(this.gossipGapMs(now) / decayMs);
		const scale = ({ weight, sum }: PaceSum) => ({ weight: weight * factor, sum: sum * factor });
		return { reading: scale(recent.reading), steps: scale(recent.steps) };
	}

	private updateGain(now: number): void {
		const { reading, steps } = this.recent.read(now);
		const weight = reading.weight + steps.weight;
		const decayed = this.checkedWeight * Math.exp(-Math.max(0, now - this.checkedAt) / decayMs);
		if (weight - decayed > weight * minGain) {
			this.gainedAt = now;
		}
		this.checkedWeight = weight;
		this.checkedAt = now;
	}

	/** Whether the slow average is frozen because the engine started to deviate recently. */
	private isFrozen(now: number): boolean {
		return this.deviatingSince !== undefined && now - this.deviatingSince < maxDeviationMs;
	}

	/** The sum, with its mean limited to a range around the slow average. */
	private clampSum(kind: PaceKind, { weight, sum }: PaceSum, means: PaceMeans): number {
		const level = shrink(this.slow[kind], means[kind], slowPriors[kind]);
		const min = (level - maxSlowDeviation) * weight;
		return Math.min(Math.max(sum, min), (level + maxSlowDeviation) * weight);
	}
}

/** Mean of a sum, shrunk toward the expected value by a prior of `count` observations. */
function shrink({ weight, sum }: PaceSum, expected: number, count: number): number {
	return (sum + expected * count) / (weight + count);
}

/** Deviation of the fast average from a level; 0 within noise. */
function deviationOf(kind: PaceKind, recent: Readonly<PaceSums>, level: number): number {
	const deviation = shrink(recent[kind], level, fastPriors[kind]) - level;
	return Math.abs(deviation) > deviationThreshold ? deviation : 0;
}

function paceOf(reading: number, steps: number): Pace {
	const factor = (level: number) =>
		Math.exp(Math.min(Math.max(level, -maxDeviation), maxDeviation));
	return { reading: factor(reading), steps: factor(steps) };
}
