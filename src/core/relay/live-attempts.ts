/**
 * The attempts of one request that are in progress: usually one, and several while an engine is silent and others may take its place.
 * @module
 */
import type { Attempt } from './attempt.js';

export class LiveAttempts {
	private readonly attempts = new Set<Attempt>();

	get isEmpty(): boolean {
		return this.attempts.size === 0;
	}

	/** Whether an engine has begun to answer with events. */
	get hasFirstEvent(): boolean {
		return [...this.attempts].some(({ sinceFirstEventMs }) => sinceFirstEventMs !== undefined);
	}

	has(attempt: Attempt): boolean {
		return this.attempts.has(attempt);
	}

	add(attempt: Attempt): void {
		this.attempts.add(attempt);
	}

	/** Whether all were sent and none gets any bytes from its engine. */
	areSilent(now: number): boolean {
		return [...this.attempts].every((attempt) => attempt.isSilent(now));
	}

	listOthers(attempt: Attempt): readonly Attempt[] {
		return [...this.attempts].filter((other) => other !== attempt);
	}

	list(): readonly Attempt[] {
		return [...this.attempts];
	}

	/** The call has ended. */
	end(attempt: Attempt): void {
		this.attempts.delete(attempt);
		attempt.markEnded();
	}

	/** Ends the call, so that the engine stops working on it. */
	abort(attempt: Attempt): void {
		attempt.call?.abort();
		this.end(attempt);
	}

	/** Reads on after the caller has caught up. */
	resume(): void {
		for (const { call } of this.attempts) {
			call?.resume();
		}
	}
}
