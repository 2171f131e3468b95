/**
 * State that one incarnation of an engine announces in the headers of its answers. It takes precedence over the engine's
 * registration in the store, which may be stale or missing.
 * @module
 */

/** Engine state announced in the headers of one answer. */
export interface EngineNotice {
	/** The engine finishes its requests and then stops. */
	isDraining: boolean;
	/** Seconds for which the engine wants no request from this VM; undefined when not announced. */
	backOffS?: number;
	/** Requests a second that the engine accepts from all VMs together; undefined when it announced no limit. */
	limitPerS?: number;
}

export class EngineNotices {
	private draining = false;
	/** In milliseconds since boot, which keep counting while the VM is suspended. */
	private backOffUntil = Number.NEGATIVE_INFINITY;
	/** Last announced limit, kept to detect changes; `LimitLedger` holds the limit in force. */
	private limitPerS?: number;

	/** Never reset: only a later incarnation accepts work again. */
	get isDraining(): boolean {
		return this.draining;
	}

	/**
	 * @param now milliseconds since boot
	 * @returns whether the notice changes anything
	 */
	apply({ isDraining, backOffS = 0, limitPerS }: EngineNotice, now: number): boolean {
		const backOffUntil = now + backOffS * 1000;
		const isDrainingNew = isDraining && !this.draining;
		const isBackOffNew = backOffS > 0 && backOffUntil > this.backOffUntil;
		const isNew = isDrainingNew || isBackOffNew || limitPerS !== this.limitPerS;
		this.limitPerS = limitPerS;
		this.draining ||= isDraining;
		if (backOffS > 0) {
			this.backOffUntil = Math.max(this.backOffUntil, backOffUntil);
		}
		return isNew;
	}

	/** Milliseconds until the engine accepts requests again; 0 when it accepts them now. */
	getBackOffLeftMs(now: number): number {
		return Math.max(0, this.backOffUntil - now);
	}
}
