/**
 * Adaptive concurrency limit of one endpoint with a circuit breaker. Uses observed inter-token latency and failures; load
 * reports arrive too late.
 * @module
 */

import type { EndpointObservations } from './types.js';

/** Minimum time between two adjustments. */
const adjustmentWindowMs = 500;
/** Ratio of inter-token latency to its strictest target above which the limit decreases. */
const decreaseThreshold = 1.0;
/** Ratio below which the limit increases if all slots are in use. */
const increaseThreshold = 0.92;
/** Maximum share of the limit removed by one adjustment. */
const maxDecreaseShare = 0.4;
/** Time without a sample after which the strictest target expires. */
const targetExpiryMs = 3000;
/** Consecutive failures that open the circuit breaker. */
const failuresToOpen = 3;
/** Bounds of the time that the circuit breaker stays open. */
const minOpenMs = 500;
const maxOpenMs = 5000;

export interface AdaptiveLimitOptions {
	initial: number;
	max: number;
	/** Whether latency adjusts the limit; the circuit breaker works either way. */
	isAdaptive: boolean;
}

export class AdaptiveLimit {
	private value: number;
	private interTokenSumMs = 0;
	private strictestTargetMs = Number.POSITIVE_INFINITY;
	private targetSeenAt = 0;
	private samples = 0;
	private consecutiveFailures = 0;
	private windowEndsAt = 0;
	private openUntil = 0;
	private openMs = minOpenMs;
	private isHalfOpen = false;

	constructor(private opts: AdaptiveLimitOptions) {
		this.value = opts.initial;
	}

	/** Applies a changed configuration; an adaptive limit keeps its value within the new maximum. */
	configure(opts: AdaptiveLimitOptions): void {
		this.opts = opts;
		this.value = opts.isAdaptive ? Math.min(this.value, opts.max) : opts.initial;
	}

	/** Maximum concurrent requests; 0 while the circuit breaker is open, 1 while it is half-open. */
	getLimit(now: number): number {
		if (now < this.openUntil) {
			return 0;
		}
		return this.isHalfOpen ? 1 : Math.floor(this.value);
	}

	/** Continues with the limit of the previous owner. */
	inherit(limit: number): void {
		if (limit > 0 && this.opts.isAdaptive) {
			this.value = Math.min(limit, this.opts.max);
		}
	}

	/** Records the observations of one slot holder. */
	observe(observations: EndpointObservations, now: number): void {
		const { interTokenMs, interTokenTargetMs, completions, failures } = observations;
		if (interTokenMs > 0) {
			this.interTokenSumMs += interTokenMs;
			this.samples++;
			this.recordTarget(interTokenTargetMs, now);
		}
		if (completions > 0) {
			this.consecutiveFailures = 0;
			this.isHalfOpen = false;
			this.openMs = minOpenMs;
		}
		this.consecutiveFailures += failures;
		if (failures > 0 && (this.consecutiveFailures >= failuresToOpen || this.isHalfOpen)) {
			this.openCircuit(now);
		}
	}

	/** Adjusts the limit once per window; returns whether it changed. */
	update(usedSlots: number, now: number): boolean {
		if (now < this.windowEndsAt || !this.opts.isAdaptive || this.isHalfOpen) {
			return false;
		}
		this.windowEndsAt = now + adjustmentWindowMs;
		if (this.samples === 0) {
			return false;
		}
		const before = Math.floor(this.value);
		this.adjust(this.interTokenSumMs / this.samples / this.strictestTargetMs, usedSlots);
		this.interTokenSumMs = 0;
		this.samples = 0;
		return Math.floor(this.value) !== before;
	}

	/** All requests of a batch get tokens at the same rate, so the strictest target applies to all. */
	private recordTarget(targetMs: number, now: number): void {
		const isExpired = now - this.targetSeenAt > targetExpiryMs;
		if (targetMs <= this.strictestTargetMs || isExpired) {
			this.strictestTargetMs = targetMs;
			this.targetSeenAt = now;
		}
	}

	private adjust(latencyRatio: number, usedSlots: number): void {
		if (latencyRatio > decreaseThreshold) {
			const share = Math.min((latencyRatio - 1) / 2 + 0.02, maxDecreaseShare);
			this.value = Math.max(Math.min(this.value, usedSlots) * (1 - share), 1);
		} else if (latencyRatio < increaseThreshold && usedSlots >= Math.floor(this.value)) {
			const step = Math.max(1, this.value * 0.05);
			this.value = Math.min(this.value + step, this.opts.max);
		}
	}

	private openCircuit(now: number): void {
		this.openUntil = now + this.openMs;
		this.openMs = Math.min(this.openMs * 2, maxOpenMs);
		this.isHalfOpen = true;
		this.consecutiveFailures = 0;
	}
}
