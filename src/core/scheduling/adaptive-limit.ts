/**
 * Learns how many requests an endpoint may run at once from what entries see: time between
 * tokens against its target, and errors. Load reports play no part, since they lag.
 * @module
 */

import type { EndpointObservations } from './types.js';

/** Time between two decisions, in milliseconds. */
const windowMs = 500;
/** Strain (time between tokens over the strictest target) above which slots are taken away. */
const highStrain = 1.0;
/** Strain below which slots are added, while all are in use. */
const lowStrain = 0.92;
/** Largest share taken away at once. */
const maxCut = 0.4;
/** A strict class that was not seen for so long no longer decides, in milliseconds. */
const targetKeptMs = 3000;
/** Failures in a row that close an endpoint. */
const closingFailures = 3;
/** Bounds of the time that an endpoint stays closed, in milliseconds. */
const minClosedMs = 500;
const maxClosedMs = 5000;

export interface AdaptiveLimitOptions {
	initial: number;
	max: number;
	/** Without it the limit stays, errors apart. */
	isAdaptive: boolean;
}

/** Decides on one endpoint's limit. */
export class AdaptiveLimit {
	private value: number;
	private gapSum = 0;
	/** Strictest target of late, and when it was seen last, in milliseconds. */
	private targetMs = Number.POSITIVE_INFINITY;
	private targetSeenAt = 0;
	private samples = 0;
	private failures = 0;
	private windowEnd = 0;
	private closedUntil = 0;
	private closedMs = minClosedMs;
	private probing = false;

	constructor(private opts: AdaptiveLimitOptions) {
		this.value = opts.initial;
	}

	/** Takes in a changed configuration; what was learned stays, within the new bounds. */
	configure(opts: AdaptiveLimitOptions): void {
		this.opts = opts;
		this.value = opts.isAdaptive ? Math.min(this.value, opts.max) : opts.initial;
	}

	/** Requests that may run at once; 0 while the endpoint is closed, 1 while it is tried again. */
	limit(now: number): number {
		if (now < this.closedUntil) {
			return 0;
		}
		return this.probing ? 1 : Math.floor(this.value);
	}

	/** Takes over what the owner before had learned. */
	inherit(limit: number): void {
		if (limit > 0 && this.opts.isAdaptive) {
			this.value = Math.min(limit, this.opts.max);
		}
	}

	/** Takes in what one entry saw. */
	observe(observed: EndpointObservations, now: number): void {
		const { interTokenMs: gapMs, interTokenTargetMs: targetMs, completions, failures } = observed;
		if (gapMs > 0) {
			this.gapSum += gapMs;
			this.samples++;
			this.noteTarget(targetMs, now);
		}
		if (completions > 0) {
			this.failures = 0;
			this.probing = false;
			this.closedMs = minClosedMs;
		}
		this.failures += failures;
		if (failures > 0 && (this.failures >= closingFailures || this.probing)) {
			this.close(now);
		}
	}

	/** Decides at the end of each window; true when the limit changed. */
	update(used: number, now: number): boolean {
		if (now < this.windowEnd || !this.opts.isAdaptive || this.probing) {
			return false;
		}
		this.windowEnd = now + windowMs;
		if (this.samples === 0) {
			return false;
		}
		const before = Math.floor(this.value);
		this.adjust(this.gapSum / this.samples / this.targetMs, used);
		this.gapSum = 0;
		this.samples = 0;
		return Math.floor(this.value) !== before;
	}

	/** All requests of a batch have the same pace, so the strictest of them decides for all. */
	private noteTarget(targetMs: number, now: number): void {
		const stale = now - this.targetSeenAt > targetKeptMs;
		if (targetMs <= this.targetMs || stale) {
			this.targetMs = targetMs;
			this.targetSeenAt = now;
		}
	}

	private adjust(strain: number, used: number): void {
		if (strain > highStrain) {
			const share = Math.min((strain - 1) / 2 + 0.02, maxCut);
			this.value = Math.max(Math.min(this.value, used) * (1 - share), 1);
		} else if (strain < lowStrain && used >= Math.floor(this.value)) {
			const step = Math.max(1, this.value * 0.05);
			this.value = Math.min(this.value + step, this.opts.max);
		}
	}

	private close(now: number): void {
		this.closedUntil = now + this.closedMs;
		this.closedMs = Math.min(this.closedMs * 2, maxClosedMs);
		this.probing = true;
		this.failures = 0;
	}
}
