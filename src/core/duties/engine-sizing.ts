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
