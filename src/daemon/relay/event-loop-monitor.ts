/**
 * Measures the delay of the event loop and detects suspensions of the VM.
 * @module
 */
import type { Clock, Log } from '../../core/definitions.js';

/** Interval between calls of `tick`. */
export const tickIntervalMs = 100;
/** Delays from this on are logged. */
const stallMs = 1000;

export interface EventLoopMonitorOptions {
	clock: Clock & { readonly suspendedMs: number };
	log: Log;
	/** Called on each tick with the delay of the event loop. */
	onDelay: (ms: number) => void;
	/** Called after the VM was suspended and runs again. */
	onSuspended: () => void;
}

export class EventLoopMonitor {
	private lastTickAt: number;
	private lastDelayMs = 0;
	private suspendedMs = 0;

	constructor(private readonly opts: EventLoopMonitorOptions) {
		this.lastTickAt = opts.clock.sinceBoot();
	}

	/** Delay of the event loop in milliseconds: that of the last tick, or of the next one if it is overdue. */
	get delayMs(): number {
		const sinceTickMs = this.opts.clock.sinceBoot() - this.lastTickAt;
		return Math.max(0, sinceTickMs - tickIntervalMs, this.lastDelayMs);
	}

	/** Starts the measurement; ticks are expected from now on. */
	start(): void {
		this.lastTickAt = this.opts.clock.sinceBoot();
	}

	tick(): void {
		const now = this.opts.clock.sinceBoot();
		this.lastDelayMs = Math.max(0, now - this.lastTickAt - tickIntervalMs);
		this.lastTickAt = now;
		this.opts.onDelay(this.lastDelayMs);
		const newlySuspendedMs = this.detectSuspension();
		const stalledMs = this.lastDelayMs - newlySuspendedMs;
		if (stalledMs >= stallMs) {
			this.opts.log.warn('vm.stalled', { ms: Math.round(stalledMs) });
		}
	}

	/** @returns the time for which the VM was suspended since the last tick */
	private detectSuspension(): number {
		const { clock, log, onSuspended } = this.opts;
		const newlySuspendedMs = clock.suspendedMs - this.suspendedMs;
		if (newlySuspendedMs > 0) {
			this.suspendedMs = clock.suspendedMs;
			log.warn('vm.suspended', { ms: Math.round(newlySuspendedMs) });
			onSuspended();
		}
		return Math.max(0, newlySuspendedMs);
	}
}
