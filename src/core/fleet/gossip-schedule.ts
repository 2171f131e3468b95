/**
 * Schedules one kind of gossip: soon after a change, repeated at growing intervals, and periodically without a change.
 * @module
 */

export interface GossipIntervals {
	minIntervalMs: number;
	maxIntervalMs: number;
}

export class GossipSchedule {
	private sentAt = Number.NEGATIVE_INFINITY;
	private isChanged = false;
	/** Messages since the last change. */
	private repeats = 0;

	/** Time of the last message, in monotonic milliseconds. */
	get lastSentAt(): number {
		return this.sentAt;
	}

	/** Schedules a message after the minimum interval. */
	markChanged(): void {
		this.isChanged = true;
	}

	/** Time at which the next message is due, in monotonic milliseconds. */
	dueAt({ minIntervalMs, maxIntervalMs }: GossipIntervals): number {
		// The pause doubles with each repeat, so a lost message is repeated soon and an idle fleet sends little.
		const pauseMs = this.isChanged ? minIntervalMs : minIntervalMs * 2 ** (this.repeats + 1);
		return this.sentAt + Math.max(minIntervalMs, Math.min(pauseMs, maxIntervalMs));
	}

	/** Records that a message is sent now. */
	markSent(now: number): void {
		this.sentAt = now;
		this.repeats = this.isChanged ? 0 : this.repeats + 1;
		this.isChanged = false;
	}
}
