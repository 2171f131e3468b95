/**
 * Tells the holder of the duty what this VM counted: now and then while a window runs, so that little is lost with a VM,
 * and as soon as it is over; again until the holder says that it has all of it.
 * @module
 */
import type { UsageAck, UsageCounts } from './types.js';
import type { UsageCounter, WindowUsage } from './usage-counter.js';

/** Between two looks at what was counted, in milliseconds: a window's end is told a fifth of a second late at the most. */
const lookMs = 200;
/** Between two messages of a window that runs, in milliseconds; a VM that dies takes so much of its counts along. */
const runningMs = 500;
/** Between two messages of a window that is over, until it is taken, in milliseconds; ten times the way there and back. */
const againMs = 150;
/** Longest such pause: the holder may be gone, or cut off. */
const mostAgainMs = 1200;
/** Customers of one message: 25 bytes each fit a datagram beside its head. */
const customersEach = 48;

export interface UsageSenderOptions {
	vm: string;
	/** Tells this process from an earlier one of the same VM. */
	incarnation: number;
	/** Where this VM hears answers, as IP:PORT. */
	address: string;
	counter: UsageCounter;
	/** Monotonic milliseconds. */
	now: () => number;
	/** Unix milliseconds that all VMs agree on. */
	time: () => number;
	send: (to: string, usage: UsageCounts) => void;
}

interface Told {
	at: number;
	/** Requests that the holder was told of. */
	total: number;
	isFinal: boolean;
	againMs: number;
	isTaken: boolean;
}

export class UsageSender {
	/** What the holder was told, by window. */
	private readonly told = new Map<number, Told>();
	private holder?: string;
	private lookAt = 0;

	constructor(private readonly opts: UsageSenderOptions) {}

	/**
	 * Sends what is due; called several times a second.
	 * @param holder address of the VM that holds the duty; undefined while none is known
	 */
	update(holder: string | undefined): void {
		if (holder !== this.holder) {
			this.holder = holder;
			this.told.clear();
			this.lookAt = 0;
		}
		const now = this.opts.now();
		if (now < this.lookAt) {
			return;
		}
		this.lookAt = now + lookMs;
		const windows = this.opts.counter.read();
		this.forgetOthers(windows);
		if (holder !== undefined) {
			for (const window of windows.filter((one) => this.isDue(one))) {
				this.tell(holder, window);
			}
		}
	}

	/** The holder has taken in what it was told. */
	handleAck({ incarnation, window, total }: UsageAck): void {
		const told = this.told.get(window);
		if (incarnation === this.opts.incarnation && told?.isFinal && told.total === total) {
			told.isTaken = true;
		}
	}

	private isDue({ window, total, isFinal }: WindowUsage): boolean {
		const told = this.told.get(window);
		if (!told || (isFinal && !told.isFinal) || (isFinal && told.total !== total)) {
			return true;
		}
		const pauseMs = isFinal ? told.againMs : runningMs;
		const hasNews = isFinal ? !told.isTaken : told.total !== total;
		return hasNews && this.opts.now() - told.at >= pauseMs;
	}

	private tell(to: string, { window, total, isFinal, counts }: WindowUsage): void {
		const before = this.told.get(window);
		const isRepeat = before?.isFinal === true && before.total === total;
		const pauseMs = isRepeat ? Math.min(before.againMs * 2, mostAgainMs) : againMs;
		const at = this.opts.now();
		this.told.set(window, { at, total, isFinal, againMs: pauseMs, isTaken: false });
		const { vm, incarnation, address } = this.opts;
		const head = { vm, incarnation, address, window, total, isFinal };
		let from = 0;
		do {
			const part = counts.slice(from, from + customersEach);
			this.opts.send(to, { ...head, sentAt: this.opts.time(), counts: part });
			from += customersEach;
		} while (from < counts.length);
	}

	private forgetOthers(windows: readonly WindowUsage[]): void {
		const kept = new Set(windows.map(({ window }) => window));
		for (const window of this.told.keys()) {
			if (!kept.has(window)) {
				this.told.delete(window);
			}
		}
	}
}
