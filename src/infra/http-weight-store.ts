/**
 * HTTP client for the platform's weight store; the wire format is described in docs/PROTOCOLS.md.
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

	/** Reports any error or unexpected status as `busy`. */
	async lookup(name: string): Promise<WeightLookupResult> {
		const url = `${this.opts.url}/weights/${encodeURIComponent(name)}`;
		try {
			const signal = AbortSignal.timeout(this.opts.timeoutMs);
			const res = await undici.request(url, { method: 'GET', signal });
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
