/**
 * Sends the counts of this VM to the duty holder: periodically while a window is open, and once it has ended until the holder
 * acknowledges all of it.
 * @module
 */
import type { UsageAck, UsageCounts } from './types.js';
import type { UsageCounter, WindowUsage } from './usage-counter.js';

/** Interval between checks for windows to send; bounds the delay after the end of a window. */
const checkIntervalMs = 200;
/** Interval between messages about an open window; bounds the counts lost when a VM dies. */
const openWindowIntervalMs = 500;
/** First interval between messages about an ended window; doubles until it is acknowledged. */
const minResendMs = 150;
const maxResendMs = 1200;
/** Keeps a message within one datagram. */
const maxCustomersPerMessage = 48;

export interface UsageSenderOptions {
	vm: string;
	/** Distinguishes processes of the same VM. */
	incarnation: number;
	/** Address for acknowledgements, as IP:PORT. */
	address: string;
	counter: UsageCounter;
	/** Monotonic milliseconds. */
	now: () => number;
	/** Unix milliseconds of the fleet clock. */
	time: () => number;
	send: (to: string, usage: UsageCounts) => void;
}

interface SentState {
	sentAt: number;
	/** Requests that were sent to the holder. */
	total: number;
	isFinal: boolean;
	resendMs: number;
	isAcknowledged: boolean;
}

export class UsageSender {
	/** What was sent to the current holder, by window. */
	private readonly sent = new Map<number, SentState>();
	private holder?: string;
	private nextCheckAt = 0;

	constructor(private readonly opts: UsageSenderOptions) {}

	/**
	 * Sends what is due; called several times a second.
	 * @param holder address of the duty holder; undefined while none is known
	 */
	update(holder: string | undefined): void {
		if (holder !== this.holder) {
			this.holder = holder;
			this.sent.clear();
			this.nextCheckAt = 0;
		}
		const now = this.opts.now();
		if (now < this.nextCheckAt) {
			return;
		}
		this.nextCheckAt = now + checkIntervalMs;
		const windows = this.opts.counter.read();
		this.dropExpired(windows);
		if (holder !== undefined) {
			for (const window of windows.filter((one) => this.isDue(one))) {
				this.sendWindow(holder, window);
			}
		}
	}

	/** Processes an acknowledgement of the holder. */
	handleAck({ incarnation, window, total }: UsageAck): void {
		const state = this.sent.get(window);
		if (incarnation === this.opts.incarnation && state?.isFinal && state.total === total) {
			state.isAcknowledged = true;
		}
	}

	private isDue({ window, total, isFinal }: WindowUsage): boolean {
		const state = this.sent.get(window);
		if (!state || (isFinal && !state.isFinal) || (isFinal && state.total !== total)) {
			return true;
		}
		const intervalMs = isFinal ? state.resendMs : openWindowIntervalMs;
		const hasChanges = isFinal ? !state.isAcknowledged : state.total !== total;
		return hasChanges && this.opts.now() - state.sentAt >= intervalMs;
	}

	private sendWindow(to: string, { window, total, isFinal, counts }: WindowUsage): void {
		const before = this.sent.get(window);
		const isRepeat = before?.isFinal === true && before.total === total;
		const intervalMs = isRepeat ? Math.min(before.resendMs * 2, maxResendMs) : minResendMs;
		const sentAt = this.opts.now();
		this.sent.set(window, { sentAt, total, isFinal, resendMs: intervalMs, isAcknowledged: false });
		const { vm, incarnation, address } = this.opts;
		const common = { vm, incarnation, address, window, total, isFinal };
		let from = 0;
		do {
			const part = counts.slice(from, from + maxCustomersPerMessage);
			this.opts.send(to, { ...common, sentAt: this.opts.time(), counts: part });
			from += maxCustomersPerMessage;
		} while (from < counts.length);
	}

	private dropExpired(windows: readonly WindowUsage[]): void {
		const kept = new Set(windows.map(({ window }) => window));
		for (const window of this.sent.keys()) {
			if (!kept.has(window)) {
				this.sent.delete(window);
			}
		}
	}
}
