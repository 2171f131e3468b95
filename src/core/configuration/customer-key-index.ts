/**
 * Finds the customer of a bearer key. The first hex digits of the key's SHA-256 select a bucket, whose
 * hashes are compared in constant time.
 * @module
 */
import * as crypto from 'node:crypto';
import type { Customer } from './schema.js';

/** Leading hex digits of a hash that select its bucket. */
const bucketDigits = 4;
const hashPrefix = 'sha256:';

interface IndexedKey {
	hash: Buffer;
	customer: Customer;
}

export class CustomerKeyIndex {
	private readonly buckets = new Map<string, IndexedKey[]>();

	constructor(customers: readonly Customer[]) {
		for (const customer of customers) {
			for (const hash of customer.key_hashes) {
				this.add(hash, customer);
			}
		}
	}

	/** Finds the customer of a hashed key. Compares every hash of the bucket, so that timing reveals no match. */
	find(hash: string): Customer | undefined {
		const wanted = Buffer.from(hash);
		let found: Customer | undefined;
		for (const candidate of this.buckets.get(bucketKey(hash)) ?? []) {
			const isEqual =
				candidate.hash.length === wanted.length && crypto.timingSafeEqual(candidate.hash, wanted);
			found = isEqual ? candidate.customer : found;
		}
		return found;
	}

	private add(hash: string, customer: Customer): void {
		const bucket = this.buckets.get(bucketKey(hash)) ?? [];
		bucket.push({ hash: Buffer.from(hash), customer });
		this.buckets.set(bucketKey(hash), bucket);
	}
}

function bucketKey(hash: string): string {
	return hash.slice(hashPrefix.length, hashPrefix.length + bucketDigits);
}
