/**
 * Adapter of the platform's weight store; its wire format is in docs/PROTOCOLS.md.
 * @module
 */
import * as undici from 'undici';
import type { WeightLookupResult, WeightStore } from '../core/definitions.js';
import { weightLookupResults } from '../core/definitions.js';

export interface HttpWeightStoreOptions {
	url: string;
	timeoutMs: number;
}

export class HttpWeightStore implements WeightStore {
	constructor(private readonly opts: HttpWeightStoreOptions) {}

	async lookup(name: string): Promise<WeightLookupResult> {
		const path = `${this.opts.url}/weights/${encodeURIComponent(name)}`;
		try {
			const signal = AbortSignal.timeout(this.opts.timeoutMs);
			const res = await undici.request(path, { method: 'GET', signal });
			await res.body.dump();
			if (res.statusCode === 404) {
				return weightLookupResults.absent;
			}
			return res.statusCode === 200 ? weightLookupResults.present : weightLookupResults.busy;
		} catch {
			return weightLookupResults.busy;
		}
	}
}
