/**
 * Limits log lines per second for each combination of level and event, so that a frequent event
 * cannot crowd out the others. Suppressed lines are counted and reported as `log.thinned`; debug lines
 * are not limited.
 * @module
 */
import type { Clock, Fields, Log } from '../core/definitions.js';

/** Lines of one event and level that are logged per window. */
const maxLinesPerWindow = 80;
const windowMs = 1000;

interface RateWindow {
	startedAt: number;
	lines: number;
	suppressed: number;
}

export class RateLimitedLog implements Log {
	private readonly windows = new Map<string, RateWindow>();
	/** Lines suppressed since the process started. */
	suppressedTotal = 0;

	constructor(
		private readonly inner: Log,
		private readonly clock: Clock,
	) {}

	debug(event: string, fields: Fields = {}): void {
		this.inner.debug(event, fields);
	}

	info(event: string, fields: Fields = {}): void {
		if (this.admit('info', event)) {
			this.inner.info(event, fields);
		}
	}

	warn(event: string, fields: Fields = {}): void {
		if (this.admit('warn', event)) {
			this.inner.warn(event, fields);
		}
	}

	error(event: string, fields: Fields = {}): void {
		if (this.admit('error', event)) {
			this.inner.error(event, fields);
		}
	}

	/** Counts a line against the window of its level and event; returns whether it is logged. */
	private admit(level: string, event: string): boolean {
		const now = this.clock.monotonic();
		const key = `${level} ${event}`;
		const window = this.windows.get(key);
		if (!window || now - window.startedAt >= windowMs) {
			this.windows.set(key, { startedAt: now, lines: 1, suppressed: 0 });
			if (window && window.suppressed > 0) {
				this.inner.warn('log.thinned', { of: event, lines: window.suppressed });
			}
			return true;
		}
		if (window.lines < maxLinesPerWindow) {
			window.lines++;
			return true;
		}
		window.suppressed++;
		this.suppressedTotal++;
		return false;
	}
}
