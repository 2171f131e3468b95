/**
 * Port to a revisioned key-value store with ranges, watches, conditional writes and leases.
 * @module
 */

export interface StoreItem {
	key: string;
	value: string;
	/** Revision of the last change of this key; includes the era (see `revisions.ts`), like all revisions of this port. */
	revision: number;
	/** Id of the lease that the key is bound to; 0 for none. */
	lease: number;
}

export interface StoreRange {
	items: StoreItem[];
	/** A watch from this revision reports every change after the range was read. */
	revision: number;
}

/** A key was written or removed. */
export type StoreEvent = { kind: 'put'; item: StoreItem } | { kind: 'gone'; key: string };

export interface StoreChanges {
	events: StoreEvent[];
	/** Revision from which the next watch continues. */
	revision: number;
}

/** The store was restored from an older copy, and later writes are lost. */
export interface EraChange {
	previousEra: number;
	era: number;
}

/** Reason for which a call to the store failed. */
export const storeFailures = {
	/** The store did not execute the call. */
	refused: 'refused',
	/** No answer; the call may have been executed, or may be executed later. */
	unknown: 'unknown',
	/** The history requested by a watch is no longer available or belongs to an earlier era. */
	compacted: 'compacted',
	leaseEnded: 'lease-ended',
} as const;
export type StoreFailure = (typeof storeFailures)[keyof typeof storeFailures];

export class StoreError extends Error {
	constructor(
		readonly failure: StoreFailure,
		message: string,
	) {
		super(message);
		this.name = 'StoreError';
	}
}

/** Atomic group of conditional writes. */
export interface Transaction {
	/** Required revisions; 0 for a key that must be absent. */
	expected: readonly { key: string; revision: number }[];
	/** A `lease` of 0 binds the key to none. */
	write: readonly { key: string; value: string; lease: number }[];
}

/** All methods reject with `StoreError`. */
export interface Store {
	/**
	 * Returns all items whose key starts with the prefix.
	 * @param mayBeStale allows a cheaper read that may be seconds old
	 * @param signal ends the read; a long range takes many calls
	 */
	range(prefix: string, mayBeStale?: boolean, signal?: AbortSignal): Promise<StoreRange>;
	/** Resolves when something under the prefix changes after `revision`, or without events when `waitMs` has passed. */
	watch(
		prefix: string,
		revision: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<StoreChanges>;
	/** Returns undefined when the key is absent. */
	get(key: string): Promise<StoreItem | undefined>;
	/** @returns the revision of the writes; undefined when a key does not have the expected revision */
	transact(transaction: Transaction): Promise<number | undefined>;
	/** Writes a key unconditionally and binds it to a lease; 0 for none. */
	put(key: string, value: string, leaseId: number): Promise<void>;
	/** @returns the id of the new lease */
	grantLease(ttlMs: number): Promise<number>;
	renewLease(id: number): Promise<void>;
	endLease(id: number): Promise<void>;
	/** Number of calls since the start. */
	readonly calls: number;
	/** Number of times the store was restored, according to its last answer; 0 before the first answer. */
	readonly era: number;
	/** When the store last answered a call without refusing it, in milliseconds since boot. */
	readonly lastAnsweredAt: number;
}
