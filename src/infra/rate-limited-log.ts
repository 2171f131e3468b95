/**
 * Bounds the lines of a log a second, each event by itself, so that one kind cannot push out the
 * others. Warnings and errors have shares of their own. What was left out is counted and said.
 * @module
 */
import type { Clock, Fields, Log } from '../core/definitions.js';

/** Lines of one event and level that pass in a second; four times the busiest known VM's requests. */
const linesPerSecond = 80;
const windowMs = 1000;

interface Window {
	startedAt: number;
	lines: number;
	leftOut: number;
}

export class RateLimitedLog implements Log {
	private readonly windows = new Map<string, Window>();
	/** Lines left out since the start. */
	suppressedTotal = 0;

	constructor(
		private readonly inner: Log,
		private readonly clock: Clock,
	) {}

	debug(event: string, fields: Fields = {}): void {
		this.inner.debug(event, fields);
	}

	info(event: string, fields: Fields = {}): void {
		if (this.passes('info', event)) {
			this.inner.info(event, fields);
		}
	}

	warn(event: string, fields: Fields = {}): void {
		if (this.passes('warn', event)) {
			this.inner.warn(event, fields);
		}
	}

	error(event: string, fields: Fields = {}): void {
		if (this.passes('error', event)) {
			this.inner.error(event, fields);
		}
	}

	private passes(level: string, event: string): boolean {
		const now = this.clock.monotonic();
		const name = `${level} ${event}`;
		const window = this.windows.get(name);
		if (!window || now - window.startedAt >= windowMs) {
			this.windows.set(name, { startedAt: now, lines: 1, leftOut: 0 });
			if (window && window.leftOut > 0) {
				this.inner.warn('log.thinned', { of: event, lines: window.leftOut });
			}
			return true;
		}
		if (window.lines < linesPerSecond) {
			window.lines++;
			return true;
		}
		window.leftOut++;
		this.suppressedTotal++;
		return false;
	}
}
