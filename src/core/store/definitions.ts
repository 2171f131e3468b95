/**
 * Port to a revisioned store with ranges, watches, conditional writes and leases.
 * @module
 */

export interface StoreItem {
	key: string;
	/** Text of the value. */
	value: string;
	/** Revision of the last change of this key, in its era (`revisions.ts`), as all revisions of the port. */
	revision: number;
	/** Lease that the key is bound to; 0 for none. */
	lease: number;
}

export interface StoreRange {
	items: StoreItem[];
	/** A watch from this revision misses nothing that the range does not show. */
	revision: number;
}

/** A key was written, or it is gone. */
export type StoreEvent = { kind: 'put'; item: StoreItem } | { kind: 'gone'; key: string };

export interface StoreChanges {
	events: StoreEvent[];
	/** Where the next watch goes on. */
	revision: number;
}

/** The store came back from an older copy: what was written since that copy is gone. */
export interface EraChange {
	/** Of the answers before, and of this one. */
	previousEra: number;
	era: number;
}

/** Why a call to the store brought no result. */
export const storeFailures = {
	/** The store says that it did nothing. */
	refused: 'refused',
	/** No answer; the call may have been done, or may be done later. */
	unknown: 'unknown',
	/** The history that a watch asked for is no longer kept, or is of an earlier era. */
	compacted: 'compacted',
	/** The lease has ended. */
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

/** Writes that are all done, or none of them. */
export interface Transaction {
	/** Revisions that the keys must have; 0 for a key that must be absent. */
	expected: readonly { key: string; revision: number }[];
	/** @param lease 0 for none */
	write: readonly { key: string; value: string; lease: number }[];
}

/** Every method rejects with `StoreError`. */
export interface Store {
	/**
	 * All items whose key starts with the prefix.
	 * @param mayBeStale a cheaper read that may be seconds old
	 */
	range(prefix: string, mayBeStale?: boolean): Promise<StoreRange>;
	/**
	 * Resolves once something under the prefix changed after `revision`, or with no events after
	 * the wait.
	 */
	watch(
		prefix: string,
		revision: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<StoreChanges>;
	/** One item; undefined when the key is absent. */
	get(key: string): Promise<StoreItem | undefined>;
	/** @returns the revision of the writes; undefined when a key has another revision than expected */
	transact(transaction: Transaction): Promise<number | undefined>;
	/** Writes a key, whatever it holds, bound to a lease. */
	put(key: string, value: string, leaseId: number): Promise<void>;
	/** Returns the id of a new lease. */
	grantLease(ttlMs: number): Promise<number>;
	renewLease(id: number): Promise<void>;
	endLease(id: number): Promise<void>;
	/** Calls made since the start. */
	readonly calls: number;
	/** Counts how often the store came back from an older copy, as its last answer told; 0 before the first. */
	readonly era: number;
	/** When the store last answered a call and did not refuse it, in milliseconds since boot. */
	readonly lastAnsweredAt: number;
}
