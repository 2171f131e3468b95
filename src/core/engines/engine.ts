/**
 * One engine as this VM knows it: its registration, its health.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import * as rendezvous from '../membership/rendezvous.js';
import { EngineHealth } from './engine-health.js';
import { EngineNotices } from './engine-notices.js';
import type { EngineEntry } from './types.js';

export class Engine {
	/**
	 * Names this start alone. One that began again under the same id knows nothing of before: news that were on their way
	 * about the start before must not count for it.
	 */
	readonly key: string;
	/** 32 bits that stand for it in messages and maps. */
	readonly ref: EngineRef;
	readonly health = new EngineHealth();
	/** It left or began again: what it had is no longer counted. */
	isGone = false;
	/** Missing in the store since its return; usable until then, in monotonic milliseconds. */
	missingUntil?: number;
	/**
	 * Its registration was seen to end, and stands again in a store that came back from an older copy: not used until then, in
	 * monotonic milliseconds.
	 */
	doubtedUntil?: number;

	/** @param notices what this start has said in its answers so far */
	constructor(
		public entry: EngineEntry,
		readonly notices = new EngineNotices(),
	) {
		this.key = startKey(entry);
		this.ref = rendezvous.hashText(this.key);
	}

	get id(): string {
		return this.entry.id;
	}

	/** Whether a registration speaks for this start, rather than for a later one. */
	isStartOf({ bornAt, service, address }: EngineEntry): boolean {
		const { entry } = this;
		return bornAt === entry.bornAt && service === entry.service && address === entry.address;
	}

	/** It takes nothing new and ends soon, by its registration or by its own answers. */
	get isLeaving(): boolean {
		return this.entry.draining || this.notices.isLeaving;
	}

	/** Whether it may be given new work at all, now or after some rest. */
	isOffered(now: number): boolean {
		const present = this.missingUntil === undefined || now < this.missingUntil;
		const isDoubted = this.doubtedUntil !== undefined && now < this.doubtedUntil;
		return present && !isDoubted && !this.isLeaving;
	}
}

/** Names one start of an engine. */
export function startKey({ id, bornAt }: EngineEntry): string {
	return bornAt === undefined ? id : `${id} ${bornAt}`;
}
