/**
 * Hybrid logical clock: orders the events of several daemons so that causes precede their effects.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { HybridTime } from './types.js';

export class HybridClock {
	private last: HybridTime = { wall: 0, counter: 0 };

	constructor(private readonly clock: Clock) {}

	/** Advances the clock for a local event or an outgoing message. */
	now(): HybridTime {
		const wall = this.clock.wall();
		this.last =
			wall > this.last.wall
				? { wall, counter: 0 }
				: { wall: this.last.wall, counter: this.last.counter + 1 };
		return this.last;
	}

	/** Advances the clock to the time of an incoming message. */
	merge(remote: HybridTime): void {
		if (compareHybridTimes(remote, this.last) > 0) {
			this.last = remote;
		}
	}
}

/** Returns a negative number if `a` is before `b`. */
export function compareHybridTimes(a: HybridTime, b: HybridTime): number {
	return a.wall - b.wall || a.counter - b.counter;
}
