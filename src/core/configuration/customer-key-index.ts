/**
 * Finds the customer of a bearer key among many. A few bits of the key's SHA-256 choose the hashes
 * to look at; those are compared in constant time. The bits tell nothing that helps to guess a key.
 * @module
 */
import * as crypto from 'node:crypto';
import type { Customer } from './schema.js';

/** Hex digits of a hash that choose its bucket. */
const bucketDigits = 4;
const hashPrefix = 'sha256:';

interface Known {
	hash: Buffer;
	customer: Customer;
}

export class CustomerKeyIndex {
	private readonly buckets = new Map<string, Known[]>();

	constructor(customers: readonly Customer[]) {
		for (const customer of customers) {
			for (const hash of customer.key_hashes) {
				this.add(hash, customer);
			}
		}
	}

	/** Customer of a hashed key; every hash of its bucket is compared. */
	find(hash: string): Customer | undefined {
		const asked = Buffer.from(hash);
		let found: Customer | undefined;
		for (const known of this.buckets.get(bucketOf(hash)) ?? []) {
			const same = known.hash.length === asked.length && crypto.timingSafeEqual(known.hash, asked);
			found = same ? known.customer : found;
		}
		return found;
	}

	private add(hash: string, customer: Customer): void {
		const bucket = this.buckets.get(bucketOf(hash)) ?? [];
		bucket.push({ hash: Buffer.from(hash), customer });
		this.buckets.set(bucketOf(hash), bucket);
	}
}

function bucketOf(hash: string): string {
	return hash.slice(hashPrefix.length, hashPrefix.length + bucketDigits);
}
