/**
 * The pace of one engine: how many times as long as its service's figures say work takes there. It is kept in two
 * memories of the same observations. The steady one weighs half a minute and is hardly moved by noise of a second; the
 * quick one weighs the last second, and decides where it differs from the steady one by more than such noise. For that time
 * the steady one takes in nothing.
 * @module
 */
import type { PaceKind, PaceSum, PaceSums } from './pace-sums.js';
import { DecayingSums, decayMs, emptyPaceSums, minWeight, paceKinds } from './pace-sums.js';

/** Time after which an observation counts a third in the steady memory, in milliseconds. */
const steadyMs = 30_000;
/**
 * What an engine is expected to be counts as so many observations of it. Waiting that no news told of is in the times to first events,
 * so that more of them are needed.
 */
const priorWeights: Readonly<Record<PaceKind, number>> = { reading: 30, steps: 3 };
/** What comes in at once moves the steady memory as if it were at most, and at least, so many times its figure. */
const steadyBound = Math.log(1.5);
/**
 * The quick memory decides from twice the steady pace on, either way: a prompt that was to be read in half of its target is late
 * then.
 */
const turnedFactor = Math.log(2);
/**
 * The steady pace counts as so many observations of the quick memory: more for the few and noisy first events. An engine that gets
 * no work is tried again as what was seen of it fades.
 */
const quickPriors: Readonly<Record<PaceKind, number>> = { reading: 3, steps: 1 };
/** For so long the steady memory takes nothing from an engine that turned; one that stays so has changed, in milliseconds. */
const lastingMs = 10_000;
/**
 * An engine that turned and of which nothing new was seen for so long is thought to return to its steady pace, and by a third of the way
 * again in each such time, in milliseconds: so it gets a few requests, which show whether it did.
 */
const staleMs = 500;
/** Observations that add less than this share to the quick memory are nothing new. */
const leastGain = 0.05;
/** A pace stays within this factor of the service's figures. */
const bound = Math.log(20);

/** Times of an engine over those that its service's figures say: 2 is half as fast. */
export interface Pace {
	reading: number;
	steps: number;
}

/** That of an engine of which nothing is known. */
export const nominalPace: Pace = { reading: 1, steps: 1 };

/** Logarithms of the mean paces of a service's engines, beside which the pace of each is told. */
export type PaceMeans = Readonly<Record<PaceKind, number>>;

export class EnginePace {
	/** What all VMs told lately and this one saw. */
	readonly recent: DecayingSums;
	private readonly steady = emptyPaceSums();
	private at: number;
	private settledPace = nominalPace;
	private settledSteady = nominalPace;
	/** Weight of the quick memory when it was last looked at, and when that was. */
	private seenWeight = 0;
	private seenAt: number;
	/** When the quick memory last gained anything. */
	private gainedAt: number;
	/** Since when the quick memory decides. */
	private turnedAt?: number;

	/** @param now monotonic milliseconds */
	constructor(now: number) {
		this.recent = new DecayingSums(now);
		this.at = now;
		this.gainedAt = now;
		this.seenAt = now;
	}

	/** Takes what fades from the quick memory over into the steady one. */
	advance(now: number, means: PaceMeans): void {
		const passedMs = Math.max(0, now - this.at);
		const moved = 1 - Math.exp(-passedMs / decayMs);
		const kept = Math.exp(-passedMs / steadyMs);
		const before = this.recent.read(this.at);
		const isPassing = this.isPassing(now);
		for (const kind of paceKinds) {
			if (isPassing) {
				continue;
			}
			const bounded = this.bounded(kind, before[kind], means);
			this.steady[kind].weight = this.steady[kind].weight * kept + before[kind].weight * moved;
			this.steady[kind].sum = this.steady[kind].sum * kept + bounded * moved;
		}
		this.at = Math.max(this.at, now);
		this.noteGain(now);
	}

	/** Observations of both memories. */
	total(now: number, means: PaceMeans): PaceSums {
		const recent = this.recent.read(now);
		if (this.isPassing(now)) {
			return this.steady;
		}
		const sum = (kind: PaceKind) => ({
			weight: this.steady[kind].weight + recent[kind].weight,
			sum: this.steady[kind].sum + this.bounded(kind, recent[kind], means),
		});
		return { reading: sum('reading'), steps: sum('steps') };
	}

	/**
	 * Works out the paces anew.
	 * @param recentMeans of the quick memories alone: what all engines do at once, such as in an overload, is no turn of one
	 */
	refresh(now: number, means: PaceMeans, recentMeans: PaceMeans): void {
		const total = this.total(now, means);
		const recent = this.recent.read(now);
		const steps = shrunk(total.steps, means.steps, priorWeights.steps) - means.steps;
		// An engine reads at the pace of its steps as far as its prompts do not say otherwise, and turns slow in both.
		const usual = means.reading + steps;
		const reading = shrunk(total.reading, usual, priorWeights.reading) - means.reading;
		const turnedSteps = turnOf('steps', recent, recentMeans.steps + steps);
		const turnedReading = turnOf('reading', recent, recentMeans.reading + reading + turnedSteps);
		const staying = Math.exp(-Math.max(0, now - this.gainedAt - staleMs) / staleMs);
		const hasTurned = turnedSteps !== 0 || turnedReading !== 0;
		this.turnedAt = hasTurned ? (this.turnedAt ?? now) : undefined;
		this.settledSteady = paceOf(reading, steps);
		this.settledPace = paceOf(
			reading + (turnedSteps + turnedReading) * staying,
			steps + turnedSteps * staying,
		);
	}

	/** Pace without what happened in the last second or two. */
	get steadyPace(): Pace {
		return this.settledSteady;
	}

	/** Pace by both memories. */
	get pace(): Pace {
		return this.settledPace;
	}

	/** Whether the quick memory decides. */
	get isDeviating(): boolean {
		return this.turnedAt !== undefined;
	}

	/** Whether both memories are empty. */
	isNegligible(now: number): boolean {
		const { reading, steps } = this.steady;
		return reading.weight + steps.weight < minWeight && this.recent.isNegligible(now);
	}

	private noteGain(now: number): void {
		const { reading, steps } = this.recent.read(now);
		const weight = reading.weight + steps.weight;
		const kept = this.seenWeight * Math.exp(-Math.max(0, now - this.seenAt) / decayMs);
		if (weight - kept > weight * leastGain) {
			this.gainedAt = now;
		}
		this.seenWeight = weight;
		this.seenAt = now;
	}

	/** It turned a moment ago: the steady memory keeps what it was before. */
	private isPassing(now: number): boolean {
		return this.turnedAt !== undefined && now - this.turnedAt < lastingMs;
	}

	/** A sum as if its mean were within bounds of the steady figure. */
	private bounded(kind: PaceKind, { weight, sum }: PaceSum, means: PaceMeans): number {
		const level = shrunk(this.steady[kind], means[kind], priorWeights[kind]);
		const least = (level - steadyBound) * weight;
		return Math.min(Math.max(sum, least), (level + steadyBound) * weight);
	}
}

/** Mean of a sum, drawn to what is expected while there is little evidence. */
function shrunk({ weight, sum }: PaceSum, expected: number, count: number): number {
	return (sum + expected * count) / (weight + count);
}

/** How far the quick memory moves a level; 0 where it differs by no more than noise. */
function turnOf(kind: PaceKind, recent: Readonly<PaceSums>, level: number): number {
	const moved = shrunk(recent[kind], level, quickPriors[kind]) - level;
	return Math.abs(moved) > turnedFactor ? moved : 0;
}

function paceOf(reading: number, steps: number): Pace {
	const factor = (level: number) => Math.exp(Math.min(Math.max(level, -bound), bound));
	return { reading: factor(reading), steps: factor(steps) };
}
