/**
 * Measures the delay of the event loop and detects suspensions of the VM.
 * @module
 */
import type { Clock, Log } from '../../core/definitions.js';

/** Interval between calls of `tick`. */
export const tickIntervalMs = 100;

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
		this.detectSuspension();
	}

	private detectSuspension(): void {
		const { clock, log, onSuspended } = this.opts;
		const newlySuspendedMs = clock.suspendedMs - this.suspendedMs;
		if (newlySuspendedMs > 0) {
			this.suspendedMs = clock.suspendedMs;
			log.warn('vm.suspended', { ms: Math.round(newlySuspendedMs) });
			onSuspended();
		}
	}
}
