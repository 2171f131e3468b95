/**
 * Counts the requests that start on this VM by window and customer. Counts are kept after they were reported, because a new duty
 * holder needs all of them again.
 * @module
 */
import type { CustomerCount } from './types.js';

export interface WindowUsage {
	window: number;
	total: number;
	/** The window has ended, so its counts do not change any more. */
	isFinal: boolean;
	counts: readonly CustomerCount[];
}

export interface UsageCounterOptions {
	windowMs: number;
	/** Time from the end of a window until it is dropped, in milliseconds. */
	retentionMs: number;
	/** Unix milliseconds of the fleet clock. */
	time: () => number;
}

export class UsageCounter {
	private readonly windows = new Map<number, Map<string, number>>();
	private readonly firstWindow: number;

	constructor(private readonly opts: UsageCounterOptions) {
		this.firstWindow = this.windowAt(opts.time());
	}

	/**
	 * Counts a request that started.
	 * @param agoMs time since it started, in milliseconds
	 */
	recordStart(customer: string, agoMs = 0): void {
		const window = this.windowAt(this.opts.time() - agoMs);
		const counts = this.windows.get(window) ?? new Map<string, number>();
		this.windows.set(window, counts);
		counts.set(customer, (counts.get(customer) ?? 0) + 1);
	}

	/** Retained windows since the start of the process, oldest first. */
	read(): WindowUsage[] {
		const now = this.opts.time();
		this.dropExpired(now);
		const current = this.windowAt(now);
		this.addEmptyWindows(current);
		const read = [...this.windows].map(([window, counts]) => ({
			window,
			total: sum(counts.values()),
			isFinal: window < current,
			counts: [...counts].map(([customer, started]) => ({ customer, started })),
		}));
		return read.sort((a, b) => a.window - b.window);
	}

	private dropExpired(now: number): void {
		const { windowMs, retentionMs } = this.opts;
		for (const window of this.windows.keys()) {
			if ((window + 1) * windowMs + retentionMs < now) {
				this.windows.delete(window);
			}
		}
	}

	/** Adds windows without requests, so that others can tell them from missing messages. */
	private addEmptyWindows(current: number): void {
		const retained = Math.ceil(this.opts.retentionMs / this.opts.windowMs);
		for (let window = Math.max(this.firstWindow, current - retained); window <= current; window++) {
			if (!this.windows.has(window)) {
				this.windows.set(window, new Map());
			}
		}
	}

	private windowAt(time: number): number {
		return Math.floor(time / this.opts.windowMs);
	}
}

export function sum(numbers: Iterable<number>): number {
	let total = 0;
	for (const one of numbers) {
		total += one;
	}
	return total;
}
