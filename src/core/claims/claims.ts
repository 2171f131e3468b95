/**
 * Permanent claims for requests with an idempotency key: a request is claimed by compare-and-swap
 * before dispatch, so that it runs at most once. Claims never pass to another attempt.
 * @module
 */
import type { KvStore } from '../definitions.js';
import { KvError } from '../definitions.js';

export const claimResults = {
	/** This attempt owns the claim and may dispatch. */
	taken: 'taken',
	/** Another attempt holds the claim. */
	held: 'held',
	/** Whether the claim was written is unknown; this attempt must not dispatch. */
	unavailable: 'unavailable',
} as const;

/** Stored value of a claim. */
export interface ClaimRecord {
	/** Attempt that holds the claim. */
	attempt: string;
	vm: string;
}

export type ClaimResult =
	| { result: typeof claimResults.taken }
	| { result: typeof claimResults.held; holder: ClaimRecord }
	| { result: typeof claimResults.unavailable };

export interface ClaimStore {
	claim(customer: string, key: string, record: ClaimRecord): Promise<ClaimResult>;
}

/** Maximum number of reads after a write without a reply. */
const maxReadBackAttempts = 3;

/** Stores claims in the key-value store. */
export class KvClaimStore implements ClaimStore {
	constructor(private readonly kv: KvStore) {}

	async claim(customer: string, key: string, record: ClaimRecord): Promise<ClaimResult> {
		const path = claimKey(customer, key);
		try {
			const swap = await this.kv.compareAndSwap(path, 0, JSON.stringify(record));
			if (swap.swapped) {
				return { result: claimResults.taken };
			}
			return interpretRecord(swap.current?.value, record);
		} catch (err) {
			if (!(err instanceof KvError)) {
				throw err;
			}
			return this.readBack(path, record);
		}
	}

	/** Reads the claim after an error, since the write may have taken effect. */
	private async readBack(path: string, record: ClaimRecord): Promise<ClaimResult> {
		for (let attempt = 0; attempt < maxReadBackAttempts; attempt++) {
			try {
				const entry = await this.kv.get(path);
				return interpretRecord(entry?.value, record);
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
 * Compares the stored claim with this attempt's record. A missing claim is "unavailable", since the
 * write may still take effect.
 */
function interpretRecord(value: string | undefined, record: ClaimRecord): ClaimResult {
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
