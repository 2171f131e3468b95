/**
 * What one start of an engine says of itself in the heads of its answers. It is the engine's own and newest word: its
 * registration in the store may be seconds behind, or missing, while the engine goes on answering.
 * @module
 */

/** What the head of one answer says of its engine. */
export interface EngineNotice {
	/** It serves what it has and ends soon. */
	isDraining: boolean;
	/** It wants no request from this VM for so many seconds; undefined when it did not say so. */
	backOffS?: number;
	/** Requests a second that it takes from all VMs together; undefined when it named no limit. */
	limitPerS?: number;
}

export class EngineNotices {
	private leaving = false;
	/** In milliseconds since boot, which run on while the VM is suspended. */
	private restUntil = Number.NEGATIVE_INFINITY;
	/** Named last, so that a change is told; what the VMs go by is known to the fleet. */
	private limitPerS?: number;

	/** An engine never takes back that it leaves; only a later start of it is ready again. */
	get isDraining(): boolean {
		return this.leaving;
	}

	/**
	 * @param now milliseconds since boot
	 * @returns whether it tells anything new
	 */
	apply(
		{ isDraining: leaving, backOffS: restS = 0, limitPerS }: EngineNotice,
		now: number,
	): boolean {
		const restUntil = now + restS * 1000;
		const isLeavingNew = leaving && !this.leaving;
		const isRestNew = restS > 0 && restUntil > this.restUntil;
		const isNew = isLeavingNew || isRestNew || limitPerS !== this.limitPerS;
		this.limitPerS = limitPerS;
		this.leaving ||= leaving;
		if (restS > 0) {
			this.restUntil = Math.max(this.restUntil, restUntil);
		}
		return isNew;
	}

	/** For how long it still wants no request, in milliseconds; 0 when it takes some. */
	backOffLeftMs(now: number): number {
		return Math.max(0, this.restUntil - now);
	}
}
