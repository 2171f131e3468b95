/**
 * Computes how many engines a service needs from the current and recent demand.
 * The estimates keep headroom for bursts that are shorter than the boot time of an engine.
 * @module
 */

/** Utilization at the peak demand; the rest absorbs growth while more engines boot. */
const targetUtilization = 0.45;
/** Half-life of the remembered peak demand, since bursts tend to recur. */
const peakHalfLifeMs = 60_000;
/** Utilization up to which engines keep up with the demand. */
const maxUtilization = 0.8;
/** Time for which a demand peak counts towards the required engines; close to the boot time. */
const requiredWindowMs = 6000;
/** Time under load during which the initial number of engines is a lower bound. */
const warmUpMs = 10_000;
/** Headroom factor on the initial number during the warm-up: a burst in the first seconds comes before further engines have booted. */
const initialHeadroom = 1.4;
/** Demand below this, in busy engines, counts as none. */
const minDemand = 0.05;

/** Engines needed for one service over all failure domains. */
export interface EngineNeed {
	/** With headroom for bursts; served by spot engines. */
	wanted: number;
	/** For the current demand; of either kind. */
	required: number;
}

export interface EngineSizing {
	/** Records the current demand, in busy engines; called several times a second. */
	observe(busyEngines: number, now: number): void;
	/** @returns undefined while no demand is known */
	estimateNeed(now: number): EngineNeed | undefined;
}

/** Values of the engine sizing setting. */
export const sizingStrategies = {
	/** By the recent peak demand. */
	peak: 'peak',
	/** As many spot engines as may be ordered. */
	max: 'most',
} as const;
export type SizingStrategy = (typeof sizingStrategies)[keyof typeof sizingStrategies];

/** Sizes by the recent peak demand, with headroom for a burst. */
export class PeakSizing implements EngineSizing {
	private peak = 0;
	private peakAt = 0;
	/** Peak demand of the last seconds, and its time. */
	private recentPeak = 0;
	private recentPeakAt = 0;
	private loadedSince?: number;

	/** @param initialEngines number of engines present before any demand was observed */
	constructor(private readonly initialEngines: () => number) {}

	observe(busyEngines: number, now: number): void {
		this.peak = Math.max(this.decayedPeak(now), busyEngines);
		this.peakAt = now;
		if (busyEngines >= this.currentRecentPeak(now)) {
			this.recentPeak = busyEngines;
			this.recentPeakAt = now;
		}
		if (busyEngines > minDemand) {
			this.loadedSince ??= now;
		}
	}

	estimateNeed(now: number): EngineNeed | undefined {
		const isWarm = this.loadedSince !== undefined && now - this.loadedSince >= warmUpMs;
		const initial = isWarm ? 0 : this.initialEngines();
		const wanted = Math.ceil(
			Math.max(this.decayedPeak(now) / targetUtilization, initial * initialHeadroom),
		);
		const required = Math.ceil(Math.max(this.currentRecentPeak(now) / maxUtilization, initial));
		return wanted > 0 ? { wanted, required: Math.min(required, wanted) } : undefined;
	}

	private decayedPeak(now: number): number {
		return this.peak * 0.5 ** (Math.max(0, now - this.peakAt) / peakHalfLifeMs);
	}

	private currentRecentPeak(now: number): number {
		return now - this.recentPeakAt < requiredWindowMs ? this.recentPeak : 0;
	}
}

/** Always wants the maximum number of spot engines; the required number follows the demand. */
export class MaxSizing implements EngineSizing {
	private readonly demandSizing: PeakSizing;

	constructor(
		initialEngines: () => number,
		private readonly maxEngines: number,
	) {
		this.demandSizing = new PeakSizing(initialEngines);
	}

	observe(busyEngines: number, now: number): void {
		this.demandSizing.observe(busyEngines, now);
	}

	estimateNeed(now: number): EngineNeed | undefined {
		const need = this.demandSizing.estimateNeed(now);
		return need && { ...need, wanted: this.maxEngines };
	}
}
