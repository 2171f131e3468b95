/**
 * Hybrid logical clock: orders events of several daemons so that a cause stands before its effect.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { HybridTime } from './types.js';

export class HybridClock {
	private last: HybridTime = { wall: 0, counter: 0 };

	constructor(private readonly clock: Clock) {}

	/** Time of a local event or of a message that is sent. */
	now(): HybridTime {
		const wall = this.clock.wall();
		this.last =
			wall > this.last.wall
				? { wall, counter: 0 }
				: { wall: this.last.wall, counter: this.last.counter + 1 };
		return this.last;
	}

	/** Takes in the time of a message that came. */
	merge(remote: HybridTime): void {
		if (compareHybridTimes(remote, this.last) > 0) {
			this.last = remote;
		}
	}
}

/** Negative when `a` is before `b`. */
export function compareHybridTimes(a: HybridTime, b: HybridTime): number {
	return a.wall - b.wall || a.counter - b.counter;
}
