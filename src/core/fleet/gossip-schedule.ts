/**
 * When news of one kind are due: soon after a change, again a few times after it, and now and then without one.
 * @module
 */

export interface GossipIntervals {
	/** Least time between two news, in milliseconds. */
	minIntervalMs: number;
	/** Greatest time between two news, in milliseconds. */
	maxIntervalMs: number;
}

export class GossipSchedule {
	private sent = Number.NEGATIVE_INFINITY;
	private isChanged = false;
	/** News since the last change that told nothing new. */
	private repeats = 0;

	/** Monotonic milliseconds of the last news. */
	get lastSentAt(): number {
		return this.sent;
	}

	/** Something changed that the next news should tell. */
	markChanged(): void {
		this.isChanged = true;
	}

	/** Monotonic milliseconds at which the next news should go. */
	dueAt({ minIntervalMs: spacingMs, maxIntervalMs: quietMs }: GossipIntervals): number {
		// The pause doubles with each repeat: a change whose datagram was lost is told again soon, a quiet fleet costs little.
		const pauseMs = this.isChanged ? spacingMs : spacingMs * 2 ** (this.repeats + 1);
		return this.sent + Math.max(spacingMs, Math.min(pauseMs, quietMs));
	}

	/** News go now. */
	markSent(now: number): void {
		this.sent = now;
		this.repeats = this.isChanged ? 0 : this.repeats + 1;
		this.isChanged = false;
	}
}
