/**
 * Puts together what all VMs counted, at the VM that holds the duty. Counts only rise, so whatever comes late, twice or in
 * another order does no harm: the highest of each is kept.
 * @module
 */
import type { CustomerCount, UsageAck, UsageCounts } from './types.js';
import { sum } from './usage-counter.js';

/** Clocks of so many VMs at least are needed to know which time it is. */
const leastClocks = 3;

/** What one process counted of one window. */
interface Counted {
	counts: Map<string, number>;
	total: number;
	isFinal: boolean;
}

export class UsageCollector {
	/** By window, then by VM and process. */
	private readonly windows = new Map<number, Map<string, Counted>>();
	/** The newest process of each VM, and when it was heard last, in Unix milliseconds. */
	private readonly lives = new Map<string, number>();
	private readonly heardAt = new Map<string, number>();
	/** How much later each VM thinks it is, in milliseconds. */
	private readonly clockDifferences = new Map<string, number>();

	/** @param time Unix milliseconds that all VMs agree on */
	constructor(private readonly time: () => number) {}

	/**
	 * Takes in what a VM counted.
	 * @returns what the VM may be told of it
	 */
	merge(usage: UsageCounts): UsageAck {
		this.lives.set(usage.vm, usage.incarnation);
		this.heardAt.set(usage.vm, this.time());
		this.clockDifferences.set(usage.vm, usage.sentAt - this.time());
		const counted = this.countedOf(usage);
		counted.total = Math.max(counted.total, usage.total);
		counted.isFinal ||= usage.isFinal;
		for (const { customer, started } of usage.counts) {
			counted.counts.set(customer, Math.max(started, counted.counts.get(customer) ?? 0));
		}
		const { incarnation: life, window } = usage;
		return { incarnation: life, window, total: sum(counted.counts.values()) };
	}

	/**
	 * How much later the VMs think it is in the median, in milliseconds.
	 * @param vms in the fleet
	 * @returns undefined while fewer than half of them were heard
	 */
	medianClockOffsetMs(vms: number): number | undefined {
		const sorted = [...this.clockDifferences.values()].sort((a, b) => a - b);
		const isEnough = sorted.length >= leastClocks && sorted.length * 2 >= vms;
		return isEnough ? sorted[Math.floor(sorted.length / 2)] : undefined;
	}

	/** The clock was set: differences from before say nothing any more. */
	resetClockOffsets(): void {
		this.clockDifferences.clear();
	}

	/** Windows of which anything is known, the oldest first. */
	get knownWindows(): number[] {
		return [...this.windows.keys()].sort((a, b) => a - b);
	}

	/**
	 * Whether these VMs have told all that they counted. One that began again tells nothing more of its life before, and
	 * nothing of windows before that; one that is cut off may still come.
	 * @param silentMs a VM that was not heard for so long is not waited for
	 */
	isComplete(window: number, vms: readonly string[], silentMs: number): boolean {
		const ofWindow = this.windows.get(window);
		const silentSince = this.time() - silentMs;
		return vms.every((vm) => {
			if ((this.heardAt.get(vm) ?? 0) < silentSince) {
				return true;
			}
			const life = this.lives.get(vm);
			const counted = ofWindow?.get(`${vm} ${life}`);
			if (!counted) {
				return life !== undefined && this.beganAfter(window, `${vm} ${life}`);
			}
			return counted.isFinal && sum(counted.counts.values()) >= counted.total;
		});
	}

	private beganAfter(window: number, name: string): boolean {
		return [...this.windows].some(([later, counted]) => later > window && counted.has(name));
	}

	/** Sums of a window by customer, in the order of their names. */
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

	/** Forgets windows before this one. */
	dropBefore(window: number): void {
		for (const known of this.windows.keys()) {
			if (known < window) {
				this.windows.delete(known);
			}
		}
	}

	private countedOf({ vm, incarnation: life, window }: UsageCounts): Counted {
		const ofWindow = this.windows.get(window) ?? new Map<string, Counted>();
		this.windows.set(window, ofWindow);
		const name = `${vm} ${life}`;
		const counted = ofWindow.get(name) ?? {
			counts: new Map<string, number>(),
			total: 0,
			isFinal: false,
		};
		ofWindow.set(name, counted);
		return counted;
	}
}
