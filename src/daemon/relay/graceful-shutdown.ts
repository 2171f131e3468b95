/**
 * When a daemon that was told to stop takes requests for the last time, and when it cuts what has not ended.
 * @module
 */
import type { Clock } from '../../core/definitions.js';
import type { Route } from '../../core/routing/types.js';

/**
 * Streams are still taken for so long after the stop signal: the balancer asks each second, needs
 * two misses, and callers go on using kept connections. Later ones might not end before the kill.
 */
export const streamAcceptanceMs = 2900;
/** What has not ended so long before the kill is cut, in milliseconds. */
const cutBeforeKillMs = 300;

export class GracefulShutdown {
	/** When the stop signal came, in monotonic milliseconds. */
	private since?: number;

	/** @param stopMs from the stop signal to the kill, in milliseconds */
	constructor(
		private readonly clock: Clock,
		private readonly stopMs: () => number,
	) {}

	get isStopping(): boolean {
		return this.since !== undefined;
	}

	/** Milliseconds since the stop signal. */
	get elapsedMs(): number {
		return this.clock.monotonic() - (this.since ?? this.clock.monotonic());
	}

	/** Whether what has not ended is cut now. */
	get isDeadlineReached(): boolean {
		return this.since !== undefined && this.clock.monotonic() >= this.cutAt(this.since);
	}

	begin(): void {
		this.since = this.clock.monotonic();
	}

	/** Why a request of the route is not taken: what may not end before the kill is not begun. */
	refusal(route: Route): string | undefined {
		if (this.since === undefined) {
			return undefined;
		}
		const latest = route.isStreamed
			? this.since + streamAcceptanceMs
			: this.cutAt(this.since) - route.timeoutMs;
		return this.clock.monotonic() > latest ? 'the daemon stops' : undefined;
	}

	private cutAt(since: number): number {
		return since + this.stopMs() - cutBeforeKillMs;
	}
}
