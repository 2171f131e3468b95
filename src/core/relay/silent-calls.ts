/**
 * Calls that lost to a replacement while their engine was silent. The last one at an engine is kept until a byte arrives or the silence
 * is longer than those of sound engines: no other call would tell these apart.
 * @module
 */
import type { Attempt } from './attempt.js';

export class SilentCalls {
	private readonly timers = new Map<Attempt, NodeJS.Timeout>();

	/**
	 * @param now monotonic milliseconds
	 * @param onLongSilence called before a call is ended because its engine is silent for too long
	 */
	constructor(
		private readonly now: () => number,
		private readonly onLongSilence: (attempt: Attempt) => void,
	) {}

	has(attempt: Attempt): boolean {
		return this.timers.has(attempt);
	}

	/** @returns false if the call is of no use any more */
	tryKeep(attempt: Attempt): boolean {
		const { health, helper, engine, call } = attempt;
		const leftMs = health.soundSilenceLeftMs(this.now());
		const isDirect = helper === undefined && !engine.isForwarded;
		if (!isDirect || health.runningCount > 1 || leftMs === 0) {
			return false;
		}
		call?.resume();
		// Bytes that arrived meanwhile are read before the immediate.
		const timer = setTimeout(() => setImmediate(() => this.judge(attempt)), leftMs).unref();
		this.timers.set(attempt, timer);
		return true;
	}

	end(attempt: Attempt): void {
		clearTimeout(this.timers.get(attempt));
		this.timers.delete(attempt);
		attempt.call?.abort();
		attempt.markEnded();
	}

	private judge(attempt: Attempt): void {
		if (this.has(attempt)) {
			this.onLongSilence(attempt);
			this.end(attempt);
		}
	}
}
