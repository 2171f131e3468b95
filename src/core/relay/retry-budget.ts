/**
 * Bounds the requests that are sent a second time. The fleet shares one budget for each service; a
 * VM may use what its own requests earn and its share of the fixed part.
 * @module
 */
import type { RetrySettings } from './settings.js';

/** A window is counted in so many buckets. */
const buckets = 20;
/** Part of the budget that is used; the rest covers windows that the VMs cut differently. */
const usedShare = 0.8;

interface Bucket {
	/** Number of the bucket since the start of the clock. */
	index: number;
	requests: number;
	retries: number;
}

export class RetryBudget {
	private readonly ofService = new Map<string, Bucket[]>();

	/** @param fleetSize VMs that share the budget, this one included; undefined while not known */
	constructor(
		private settings: RetrySettings,
		private readonly fleetSize: () => number | undefined,
	) {}

	configure(settings: RetrySettings): void {
		this.settings = settings;
	}

	/** A caller's request for the service came in. */
	recordRequest(service: string, now: number): void {
		this.bucket(service, now).requests++;
	}

	/** Takes one retry if the budget has it. */
	tryConsume(service: string, now: number): boolean {
		if (this.available(service, now) < 1) {
			return false;
		}
		this.bucket(service, now).retries++;
		return true;
	}

	/** Retries that this VM may still send now. */
	available(service: string, now: number): number {
		const window = this.window(service, now);
		const requests = window.reduce((sum, bucket) => sum + bucket.requests, 0);
		const retries = window.reduce((sum, bucket) => sum + bucket.retries, 0);
		const size = this.fleetSize();
		const fixed = size === undefined ? 0 : this.settings.extra / Math.max(1, size);
		return usedShare * (this.settings.ratio * requests + fixed) - retries;
	}

	private window(service: string, now: number): Bucket[] {
		const oldest = this.indexOf(now) - buckets;
		const kept = (this.ofService.get(service) ?? []).filter((bucket) => bucket.index > oldest);
		this.ofService.set(service, kept);
		return kept;
	}

	private bucket(service: string, now: number): Bucket {
		const list = this.ofService.get(service) ?? [];
		this.ofService.set(service, list);
		const index = this.indexOf(now);
		const last = list.at(-1);
		if (last?.index === index) {
			return last;
		}
		const fresh = { index, requests: 0, retries: 0 };
		list.push(fresh);
		if (list.length > 2 * buckets) {
			list.splice(0, list.length - 2 * buckets);
		}
		return fresh;
	}

	private indexOf(now: number): number {
		return Math.floor((now * buckets) / this.settings.windowMs);
	}
}
