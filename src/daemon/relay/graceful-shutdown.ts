/**
 * Schedule of a graceful shutdown: until when the daemon accepts requests, and when it aborts those still open.
 * @module
 */
import type { Clock } from '../../core/definitions.js';
import type { Route } from '../../core/routing/types.js';

/**
 * Time after the stop signal in which streams are still accepted: the load balancer notices the stop only after two failed
 * health checks, and callers keep using open connections. Later streams might not end before the kill.
 */
export const streamAcceptanceMs = 2900;
/** Open requests are aborted this long before the kill. */
const abortBeforeKillMs = 300;

export class GracefulShutdown {
	/** Time of the stop signal, in monotonic milliseconds; undefined before it. */
	private startedAt?: number;

	/** @param stopMs time from the stop signal to the kill, in milliseconds */
	constructor(
		private readonly clock: Clock,
		private readonly stopMs: () => number,
	) {}

	get isStopping(): boolean {
		return this.startedAt !== undefined;
	}

	/** Milliseconds since the stop signal; 0 before it. */
	get elapsedMs(): number {
		return this.clock.monotonic() - (this.startedAt ?? this.clock.monotonic());
	}

	/** Whether open requests have to be aborted now. */
	get isDeadlineReached(): boolean {
		return this.startedAt !== undefined && this.clock.monotonic() >= this.abortAt(this.startedAt);
	}

	begin(): void {
		this.startedAt = this.clock.monotonic();
	}

	/** Returns why a request of the route is refused, as it might not end before the kill; undefined if it is accepted. */
	getRefusal(route: Route): string | undefined {
		if (this.startedAt === undefined) {
			return undefined;
		}
		const acceptedUntil = route.isStreamed
			? this.startedAt + streamAcceptanceMs
			: this.abortAt(this.startedAt) - route.timeoutMs;
		return this.clock.monotonic() > acceptedUntil ? 'the daemon stops' : undefined;
	}

	private abortAt(startedAt: number): number {
		return startedAt + this.stopMs() - abortBeforeKillMs;
	}
}
