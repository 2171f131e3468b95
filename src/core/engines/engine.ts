/**
 * One incarnation of an engine as this VM knows it: its registration, health and notices.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import * as rendezvous from '../membership/rendezvous.js';
import { EngineHealth } from './engine-health.js';
import { EngineNotices } from './engine-notices.js';
import type { EngineRegistration } from './types.js';

export class Engine {
	/**
	 * Identifies this incarnation. An engine that restarted under the same id has lost its state, so late gossip about the
	 * previous incarnation must not apply to it.
	 */
	readonly incarnationKey: string;
	/** 32-bit hash of the incarnation key, used in messages and maps. */
	readonly ref: EngineRef;
	/** Health over this VM's own link to the engine. */
	readonly directHealth = new EngineHealth();
	/** Health as seen through other VMs. */
	readonly forwardedHealth = new EngineHealth();
	/** Whether requests reach it only through other VMs. */
	isForwarded = false;
	/** Set once the engine left or restarted; its work no longer counts. */
	isRemoved = false;
	/** Its registration has been missing since the store was restored; usable until this time, in monotonic milliseconds. */
	missingUntil?: number;
	/**
	 * Its registration had ended and reappeared in a store restored from an older copy; not used until this time, in
	 * monotonic milliseconds, unless confirmed.
	 */
	unconfirmedUntil?: number;

	/** @param notices previous notices of the same incarnation */
	constructor(
		public registration: EngineRegistration,
		readonly notices = new EngineNotices(),
	) {
		this.incarnationKey = incarnationKeyOf(registration);
		this.ref = rendezvous.hashText(this.incarnationKey);
	}

	/** Health over the link in use. */
	get health(): EngineHealth {
		return this.isForwarded ? this.forwardedHealth : this.directHealth;
	}

	get id(): string {
		return this.registration.id;
	}

	/** Whether a registration belongs to this incarnation rather than to another one. */
	isSameIncarnation({ bornAt, service, address }: EngineRegistration): boolean {
		const { registration: own } = this;
		return bornAt === own.bornAt && service === own.service && address === own.address;
	}

	/** Whether it accepts no new work, by its registration or by its notices. */
	get isDraining(): boolean {
		return this.registration.draining || this.notices.isDraining;
	}

	/** Whether it may be given new work, now or after its back-off. */
	isEligible(now: number): boolean {
		const isPresent = this.missingUntil === undefined || now < this.missingUntil;
		const isUnconfirmed = this.unconfirmedUntil !== undefined && now < this.unconfirmedUntil;
		return isPresent && !isUnconfirmed && !this.isDraining;
	}
}

/** Key that identifies one incarnation of an engine. */
export function incarnationKeyOf({ id, bornAt }: EngineRegistration): string {
	return bornAt === undefined ? id : `${id} ${bornAt}`;
}
