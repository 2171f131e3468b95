/**
 * How late the event loop is, and whether the VM was suspended.
 * @module
 */
import type { Clock, Log } from '../../core/definitions.js';

/** Time between two looks, in milliseconds. */
export const tickIntervalMs = 100;

export interface EventLoopMonitorOptions {
	clock: Clock & { readonly suspendedMs: number };
	log: Log;
	onDelay: (ms: number) => void;
	onSuspended: () => void;
}

export class EventLoopMonitor {
	private tickedAt: number;
	private lastDelayMs = 0;
	private suspendedMs = 0;

	constructor(private readonly opts: EventLoopMonitorOptions) {
		this.tickedAt = opts.clock.sinceBoot();
	}

	/** How late the loop is, in milliseconds: the tick that is due, or the last one. */
	get delayMs(): number {
		const sinceMs = this.opts.clock.sinceBoot() - this.tickedAt;
		return Math.max(0, sinceMs - tickIntervalMs, this.lastDelayMs);
	}

	/** The ticks begin now. */
	start(): void {
		this.tickedAt = this.opts.clock.sinceBoot();
	}

	tick(): void {
		const now = this.opts.clock.sinceBoot();
		this.lastDelayMs = Math.max(0, now - this.tickedAt - tickIntervalMs);
		this.tickedAt = now;
		this.opts.onDelay(this.lastDelayMs);
		this.noteSuspension();
	}

	private noteSuspension(): void {
		const { clock, log, onSuspended } = this.opts;
		const newMs = clock.suspendedMs - this.suspendedMs;
		if (newMs > 0) {
			this.suspendedMs = clock.suspendedMs;
			log.warn('vm.suspended', { ms: Math.round(newMs) });
			onSuspended();
		}
	}
}
