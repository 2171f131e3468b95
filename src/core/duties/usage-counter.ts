/**
 * Requests that began to run, as this VM saw them, by window and customer. Kept until the holder of the duty has reported
 * them: one that takes over hears all of it again.
 * @module
 */
import type { CustomerCount } from './types.js';

export interface WindowUsage {
	window: number;
	total: number;
	/** The window is over: nothing is added any more. */
	isFinal: boolean;
	counts: readonly CustomerCount[];
}

export interface UsageCounterOptions {
	/** Length of a window, in milliseconds. */
	windowMs: number;
	/** A window is dropped so long after its end, in milliseconds. */
	retentionMs: number;
	/** Unix milliseconds that all VMs agree on. */
	time: () => number;
}

export class UsageCounter {
	private readonly windows = new Map<number, Map<string, number>>();
	private readonly first: number;

	constructor(private readonly opts: UsageCounterOptions) {
		this.first = this.windowAt(opts.time());
	}

	/**
	 * A request of a customer began to run.
	 * @param agoMs how long ago
	 */
	recordStart(customer: string, agoMs = 0): void {
		const window = this.windowAt(this.opts.time() - agoMs);
		const counts = this.windows.get(window) ?? new Map<string, number>();
		this.windows.set(window, counts);
		counts.set(customer, (counts.get(customer) ?? 0) + 1);
	}

	/** Windows since the start that are kept, the oldest first. */
	read(): WindowUsage[] {
		const now = this.opts.time();
		this.dropOld(now);
		const current = this.windowAt(now);
		this.fillUpTo(current);
		const read = [...this.windows].map(([window, counts]) => ({
			window,
			total: sum(counts.values()),
			isFinal: window < current,
			counts: [...counts].map(([customer, started]) => ({ customer, started })),
		}));
		return read.sort((a, b) => a.window - b.window);
	}

	private dropOld(now: number): void {
		const { windowMs, retentionMs: keptMs } = this.opts;
		for (const window of this.windows.keys()) {
			if ((window + 1) * windowMs + keptMs < now) {
				this.windows.delete(window);
			}
		}
	}

	/** That nothing began in a window is told too: others cannot tell it from silence. */
	private fillUpTo(current: number): void {
		const kept = Math.ceil(this.opts.retentionMs / this.opts.windowMs);
		for (let window = Math.max(this.first, current - kept); window <= current; window++) {
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
