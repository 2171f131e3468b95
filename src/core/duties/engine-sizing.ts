/**
 * How many engines of a service there should be, from the work that callers bring.
 *
 * The load that it answers: kinds of request that come three times as often within a second, for longer than an engine
 * takes to boot, beside hours in which half of the engines would do.
 * @module
 */

/** Engines are this busy at the most when demand stays as it is: the rest is for what comes while others boot. */
const mostBusy = 0.45;
/** Demand that was seen counts half after so long, in milliseconds: bursts come again within that time. */
const halfLifeMs = 60_000;
/** Work is still done as it comes when engines are this busy. */
const fullyBusy = 0.8;
/** Demand counts for so long, in milliseconds, towards what is required: a dear engine boots for most of it. */
const requiredMs = 6000;
/** Before so much time under load the number that operators began with is kept to, in milliseconds. */
const learningMs = 10_000;
/**
 * Before, so many times that number is wanted: a burst in the first seconds met with 24 engines, and with 32 when they
 * were there before it, served 0.909 and 0.924 of its day's worth.
 */
const firstRoom = 1.4;
/** Less demand than this is none, in engines kept busy. */
const leastDemand = 0.05;

/** Engines of one service, wherever they are. */
export interface EngineNeed {
	/** To have room for bursts; of the cheap kind. */
	wanted: number;
	/** To do what callers bring now; of whatever kind. */
	required: number;
}

export interface EngineSizing {
	/** Engines kept busy by what callers bring now; called several times a second. */
	observe(busyEngines: number, now: number): void;
	/** @returns undefined before anything is known */
	estimateNeed(now: number): EngineNeed | undefined;
}

/** Ways to size; which one is a setting of ours. */
export const sizingStrategies = {
	/** By the greatest demand of late. */
	peak: 'peak',
	/** As many of the cheap kind as may be ordered. */
	most: 'most',
} as const;
export type SizingStrategy = (typeof sizingStrategies)[keyof typeof sizingStrategies];

/** As many as the greatest demand of late takes, with room for a burst. */
export class PeakSizing implements EngineSizing {
	private peak = 0;
	private peakAt = 0;
	/** Greatest demand of the last seconds, and when it was. */
	private recent = 0;
	private recentAt = 0;
	private loadedSince?: number;

	/** @param first engines that were there before any demand was seen */
	constructor(private readonly first: () => number) {}

	observe(busyEngines: number, now: number): void {
		this.peak = Math.max(this.peakNow(now), busyEngines);
		this.peakAt = now;
		if (busyEngines >= this.recentNow(now)) {
			this.recent = busyEngines;
			this.recentAt = now;
		}
		if (busyEngines > leastDemand) {
			this.loadedSince ??= now;
		}
	}

	estimateNeed(now: number): EngineNeed | undefined {
		const isLearnt = this.loadedSince !== undefined && now - this.loadedSince >= learningMs;
		const first = isLearnt ? 0 : this.first();
		const wanted = Math.ceil(Math.max(this.peakNow(now) / mostBusy, first * firstRoom));
		const required = Math.ceil(Math.max(this.recentNow(now) / fullyBusy, first));
		return wanted > 0 ? { wanted, required: Math.min(required, wanted) } : undefined;
	}

	private peakNow(now: number): number {
		return this.peak * 0.5 ** (Math.max(0, now - this.peakAt) / halfLifeMs);
	}

	private recentNow(now: number): number {
		return now - this.recentAt < requiredMs ? this.recent : 0;
	}
}

/** As many of the cheap kind as may be ordered; what is required follows demand. */
export class MaxSizing implements EngineSizing {
	private readonly byDemand: PeakSizing;

	constructor(
		first: () => number,
		private readonly most: number,
	) {
		this.byDemand = new PeakSizing(first);
	}

	observe(busyEngines: number, now: number): void {
		this.byDemand.observe(busyEngines, now);
	}

	estimateNeed(now: number): EngineNeed | undefined {
		const need = this.byDemand.estimateNeed(now);
		return need && { ...need, wanted: this.most };
	}
}
