/**
 * How many engines of a service should be there, from the work that callers bring.
 *
 * The load that it answers: kinds of request that come three times as often within a second, for longer than an engine
 * takes to boot, beside hours in which half of the engines would do.
 * @module
 */

/** Engines are this busy at the most when demand stays as it is: the rest is for what comes while others boot. */
const mostBusy = 0.45;
/** Demand that was seen counts half after so long, in milliseconds: bursts come again within that time. */
const halfLifeMs = 30_000;
/** Before so much time under load the number that operators began with is kept to, in milliseconds. */
const learningMs = 10_000;
/** Less demand than this is none, in engines kept busy. */
const leastDemand = 0.05;

export interface EngineSizing {
	/** Engines kept busy by what callers bring now; called several times a second. */
	observe(busyEngines: number, now: number): void;
	/** @returns engines to have; undefined before anything is known */
	needed(now: number): number | undefined;
}

/** Ways to size; which one is a setting of ours. */
export const sizingWays = {
	/** By the greatest demand of late. */
	peak: 'peak',
	/** As many as may be ordered. */
	most: 'most',
} as const;
export type SizingWay = (typeof sizingWays)[keyof typeof sizingWays];

/** As many as may be ordered of the kind that may be taken away. */
export class MostSizing implements EngineSizing {
	constructor(private readonly most: () => number) {}

	observe(): void {
		// The number does not follow demand.
	}

	needed(): number {
		return this.most();
	}
}

/** As many as the greatest demand of late takes, with room for a burst. */
export class PeakSizing implements EngineSizing {
	private peak = 0;
	private at = 0;
	private loadedSince?: number;

	/** @param first engines that were there before any demand was seen */
	constructor(private readonly first: () => number) {}

	observe(busyEngines: number, now: number): void {
		this.decay(now);
		this.peak = Math.max(this.peak, busyEngines);
		if (busyEngines > leastDemand) {
			this.loadedSince ??= now;
		}
	}

	needed(now: number): number | undefined {
		this.decay(now);
		const byDemand = Math.ceil(this.peak / mostBusy);
		const isLearnt = this.loadedSince !== undefined && now - this.loadedSince >= learningMs;
		const least = isLearnt ? 0 : this.first();
		return Math.max(byDemand, least) || undefined;
	}

	private decay(now: number): void {
		this.peak *= 0.5 ** (Math.max(0, now - this.at) / halfLifeMs);
		this.at = now;
	}
}
