/**
 * Merges the usage counts of all VMs, on the VM that holds the duty. Counts never decrease, so the highest value of each is kept
 * and messages may arrive late, repeatedly or out of order.
 * @module
 */
import type { CustomerCount, UsageAck, UsageCounts } from './types.js';
import { sum } from './usage-counter.js';

/** Minimum number of VMs for the median clock offset. */
const minClocks = 3;

/** Counts of one process for one window. */
interface ProcessUsage {
	counts: Map<string, number>;
	total: number;
	isFinal: boolean;
}

export class UsageCollector {
	/** By window, then by VM and incarnation. */
	private readonly windows = new Map<number, Map<string, ProcessUsage>>();
	/** Latest incarnation of each VM. */
	private readonly incarnations = new Map<string, number>();
	/** When each VM last reported, in Unix milliseconds. */
	private readonly receivedAt = new Map<string, number>();
	/** How far the clock of each VM is ahead, in milliseconds. */
	private readonly clockOffsets = new Map<string, number>();

	/** @param time Unix milliseconds of the fleet clock */
	constructor(private readonly time: () => number) {}

	/**
	 * Merges the counts of a VM.
	 * @returns the acknowledgement for the VM
	 */
	merge(usage: UsageCounts): UsageAck {
		this.incarnations.set(usage.vm, usage.incarnation);
		this.receivedAt.set(usage.vm, this.time());
		this.clockOffsets.set(usage.vm, usage.sentAt - this.time());
		const processUsage = this.usageOf(usage);
		processUsage.total = Math.max(processUsage.total, usage.total);
		processUsage.isFinal ||= usage.isFinal;
		for (const { customer, started } of usage.counts) {
			processUsage.counts.set(customer, Math.max(started, processUsage.counts.get(customer) ?? 0));
		}
		const { incarnation, window } = usage;
		return { incarnation, window, total: sum(processUsage.counts.values()) };
	}

	/**
	 * Median of how far the clocks of the VMs are ahead, in milliseconds.
	 * @param vms size of the fleet
	 * @returns undefined while fewer than half of the VMs have reported
	 */
	getMedianClockOffsetMs(vms: number): number | undefined {
		const sorted = [...this.clockOffsets.values()].sort((a, b) => a - b);
		const isEnough = sorted.length >= minClocks && sorted.length * 2 >= vms;
		return isEnough ? sorted[Math.floor(sorted.length / 2)] : undefined;
	}

	/** Discards the offsets measured before the clock was adjusted. */
	resetClockOffsets(): void {
		this.clockOffsets.clear();
	}

	/** Windows with any counts, oldest first. */
	get knownWindows(): number[] {
		return [...this.windows.keys()].sort((a, b) => a - b);
	}

	/**
	 * Whether all counts of these VMs have arrived. A restarted VM sends nothing more about windows before its restart.
	 * @param silentMs VMs that have not reported for this long are ignored
	 */
	isComplete(window: number, vms: readonly string[], silentMs: number): boolean {
		const windowUsage = this.windows.get(window);
		const silentSince = this.time() - silentMs;
		return vms.every((vm) => {
			if ((this.receivedAt.get(vm) ?? 0) < silentSince) {
				return true;
			}
			const incarnation = this.incarnations.get(vm);
			const processUsage = windowUsage?.get(`${vm} ${incarnation}`);
			if (!processUsage) {
				return incarnation !== undefined && this.startedAfter(window, `${vm} ${incarnation}`);
			}
			return processUsage.isFinal && sum(processUsage.counts.values()) >= processUsage.total;
		});
	}

	private startedAfter(window: number, processKey: string): boolean {
		return [...this.windows].some(
			([later, processUsage]) => later > window && processUsage.has(processKey),
		);
	}

	/** Totals of a window by customer, sorted by name. */
	countsOf(window: number): CustomerCount[] {
		const sums = new Map<string, number>();
		for (const { counts } of this.windows.get(window)?.values() ?? []) {
			for (const [customer, started] of counts) {
				sums.set(customer, (sums.get(customer) ?? 0) + started);
			}
		}
		return [...sums]
			.map(([customer, started]) => ({ customer, started }))
			.sort((a, b) => (a.customer < b.customer ? -1 : 1));
	}

	/** Drops windows before this one. */
	dropBefore(window: number): void {
		for (const known of this.windows.keys()) {
			if (known < window) {
				this.windows.delete(known);
			}
		}
	}

	private usageOf({ vm, incarnation, window }: UsageCounts): ProcessUsage {
		const windowUsage = this.windows.get(window) ?? new Map<string, ProcessUsage>();
		this.windows.set(window, windowUsage);
		const processKey = `${vm} ${incarnation}`;
		const processUsage = windowUsage.get(processKey) ?? {
			counts: new Map<string, number>(),
			total: 0,
			isFinal: false,
		};
		windowUsage.set(processKey, processUsage);
		return processUsage;
	}
}
