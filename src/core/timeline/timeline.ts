/**
 * Ring buffer of a daemon's events, and the merge of several daemons' events.
 * @module
 */
import type { HybridClock } from './hybrid-clock.js';
import { compareHybridTimes } from './hybrid-clock.js';
import type { EventFields, EventKind, TimelineEvent } from './types.js';

export interface TimelineOptions {
	vm: string;
	clock: HybridClock;
	/** Maximum number of events kept. @default 20000 */
	capacity?: number;
}

const defaultCapacity = 20_000;

export class Timeline {
	private readonly ring: TimelineEvent[] = [];
	private readonly capacity: number;
	private seq = 0;

	constructor(private readonly opts: TimelineOptions) {
		this.capacity = opts.capacity ?? defaultCapacity;
	}

	record(kind: EventKind, fields: EventFields = {}): void {
		this.seq++;
		const event = { vm: this.opts.vm, seq: this.seq, kind, time: this.opts.clock.now(), ...fields };
		this.ring[(this.seq - 1) % this.capacity] = event;
	}

	/** Events after `seq` that are still kept, oldest first. */
	getEventsSince(seq: number): TimelineEvent[] {
		const first = Math.max(seq + 1, this.seq - this.capacity + 1, 1);
		const events: TimelineEvent[] = [];
		for (let eventSeq = first; eventSeq <= this.seq; eventSeq++) {
			const event = this.ring[(eventSeq - 1) % this.capacity];
			if (event) {
				events.push(event);
			}
		}
		return events;
	}
}

/** Merges the events of several daemons in causal order. */
export function mergeTimelines(timelines: readonly (readonly TimelineEvent[])[]): TimelineEvent[] {
	const all = timelines.flat();
	return all.sort(
		(a, b) => compareHybridTimes(a.time, b.time) || a.vm.localeCompare(b.vm) || a.seq - b.seq,
	);
}
