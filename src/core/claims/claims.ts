/**
 * Permanent claims: a keyed request that must run at most once is claimed by compare-and-swap
 * before it is dispatched. A claim is never taken over.
 * @module
 */
import type { KvStore } from '../definitions.js';
import { KvError } from '../definitions.js';

/** Outcomes of an attempt to claim. */
export const claimResults = {
	/** This attempt may dispatch. */
	taken: 'taken',
	/** Another attempt holds the claim. */
	held: 'held',
	/** It is not known whether the claim was written; this attempt must not dispatch. */
	unavailable: 'unavailable',
} as const;

/** Who holds a claim. */
export interface ClaimRecord {
	/** Attempt that wrote it. */
	attempt: string;
	vm: string;
}

export type ClaimResult =
	| { result: typeof claimResults.taken }
	| { result: typeof claimResults.held; holder: ClaimRecord }
	| { result: typeof claimResults.unavailable };

/** Takes claims. */
export interface ClaimStore {
	claim(customer: string, key: string, record: ClaimRecord): Promise<ClaimResult>;
}

/** Times a lost reply is read back. */
const readBackTries = 3;

/** One write a claim. */
export class KvClaimStore implements ClaimStore {
	constructor(private readonly kv: KvStore) {}

	async claim(customer: string, key: string, record: ClaimRecord): Promise<ClaimResult> {
		const path = claimKey(customer, key);
		try {
			const swap = await this.kv.swap(path, 0, JSON.stringify(record));
			if (swap.swapped) {
				return { result: claimResults.taken };
			}
			return settle(swap.current?.value, record);
		} catch (err) {
			if (!(err instanceof KvError)) {
				throw err;
			}
			return this.readBack(path, record);
		}
	}

	/** The write may have taken effect though its reply was lost. */
	private async readBack(path: string, record: ClaimRecord): Promise<ClaimResult> {
		for (let attempt = 0; attempt < readBackTries; attempt++) {
			try {
				const entry = await this.kv.get(path);
				return settle(entry?.value, record);
			} catch (err) {
				if (!(err instanceof KvError)) {
					throw err;
				}
			}
		}
		return { result: claimResults.unavailable };
	}
}

/**
 * An absent claim after a lost write is "unavailable": the write may still be on its way, so it
 * is neither taken nor free.
 */
function settle(value: string | undefined, record: ClaimRecord): ClaimResult {
	if (value === undefined) {
		return { result: claimResults.unavailable };
	}
	const holder = JSON.parse(value) as ClaimRecord;
	return holder.attempt === record.attempt
		? { result: claimResults.taken }
		: { result: claimResults.held, holder };
}

function claimKey(customer: string, key: string): string {
	return `slategauge/claims/${customer}/${key}`;
}
