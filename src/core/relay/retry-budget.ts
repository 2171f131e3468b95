/**
 * Limits retries. The fleet shares one budget per service; a VM may use the part that its own requests earn and its share of the fixed part.
 * @module
 */
import type { RetrySettings } from './settings.js';

/** Buckets of a window. */
const bucketCount = 20;
/** Share of the budget that is used; the rest covers windows that are not aligned between VMs. */
const usedShare = 0.8;

interface Bucket {
	/** Number of the bucket, counted from time 0 of the clock. */
	index: number;
	requests: number;
	retries: number;
}

export class RetryBudget {
	private readonly bucketsByService = new Map<string, Bucket[]>();

	/** @param fleetSize number of VMs that share the budget, including this one; undefined while unknown */
	constructor(
		private settings: RetrySettings,
		private readonly fleetSize: () => number | undefined,
	) {}

	configure(settings: RetrySettings): void {
		this.settings = settings;
	}

	/** Counts a caller's request for the service. */
	recordRequest(service: string, now: number): void {
		this.bucket(service, now).requests++;
	}

	/** Consumes one retry. @returns false if none is available */
	tryConsume(service: string, now: number): boolean {
		if (this.getAvailable(service, now) < 1) {
			return false;
		}
		this.bucket(service, now).retries++;
		return true;
	}

	/** Number of retries that this VM may send now. */
	getAvailable(service: string, now: number): number {
		const window = this.window(service, now);
		const requests = window.reduce((sum, bucket) => sum + bucket.requests, 0);
		const retries = window.reduce((sum, bucket) => sum + bucket.retries, 0);
		const size = this.fleetSize();
		const fixed = size === undefined ? 0 : this.settings.extra / Math.max(1, size);
		return usedShare * (this.settings.ratio * requests + fixed) - retries;
	}

	private window(service: string, now: number): Bucket[] {
		const oldest = this.indexOf(now) - bucketCount;
		const kept = (this.bucketsByService.get(service) ?? []).filter(
			(bucket) => bucket.index > oldest,
		);
		this.bucketsByService.set(service, kept);
		return kept;
	}

	private bucket(service: string, now: number): Bucket {
		const list = this.bucketsByService.get(service) ?? [];
		this.bucketsByService.set(service, list);
		const index = this.indexOf(now);
		const last = list.at(-1);
		if (last?.index === index) {
			return last;
		}
		const fresh = { index, requests: 0, retries: 0 };
		list.push(fresh);
		if (list.length > 2 * bucketCount) {
			list.splice(0, list.length - 2 * bucketCount);
		}
		return fresh;
	}

	private indexOf(now: number): number {
		return Math.floor((now * bucketCount) / this.settings.windowMs);
	}
}
