/**
 * One engine as this VM knows it: its registration, its health.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import * as rendezvous from '../membership/rendezvous.js';
import { EngineHealth } from './engine-health.js';
import { EngineNotices } from './engine-notices.js';
import type { EngineRegistration } from './types.js';

export class Engine {
	/**
	 * Names this start alone. One that began again under the same id knows nothing of before: news that were on their way
	 * about the start before must not count for it.
	 */
	readonly incarnationKey: string;
	/** 32 bits that stand for it in messages and maps. */
	readonly ref: EngineRef;
	readonly health = new EngineHealth();
	/** It left or began again: what it had is no longer counted. */
	isRemoved = false;
	/** Missing in the store since its return; usable until then, in monotonic milliseconds. */
	missingUntil?: number;
	/**
	 * Its registration was seen to end, and stands again in a store that came back from an older copy: not used until then, in
	 * monotonic milliseconds.
	 */
	unconfirmedUntil?: number;

	/** @param notices what this start has said in its answers so far */
	constructor(
		public registration: EngineRegistration,
		readonly notices = new EngineNotices(),
	) {
		this.incarnationKey = incarnationKeyOf(registration);
		this.ref = rendezvous.hashText(this.incarnationKey);
	}

	get id(): string {
		return this.registration.id;
	}

	/** Whether a registration speaks for this start, rather than for a later one. */
	isSameIncarnation({ bornAt, service, address }: EngineRegistration): boolean {
		const { registration: entry } = this;
		return bornAt === entry.bornAt && service === entry.service && address === entry.address;
	}

	/** It takes nothing new and ends soon, by its registration or by its own answers. */
	get isDraining(): boolean {
		return this.registration.draining || this.notices.isDraining;
	}

	/** Whether it may be given new work at all, now or after some rest. */
	isEligible(now: number): boolean {
		const present = this.missingUntil === undefined || now < this.missingUntil;
		const isDoubted = this.unconfirmedUntil !== undefined && now < this.unconfirmedUntil;
		return present && !isDoubted && !this.isDraining;
	}
}

/** Names one start of an engine. */
export function incarnationKeyOf({ id, bornAt }: EngineRegistration): string {
	return bornAt === undefined ? id : `${id} ${bornAt}`;
}
