/**
 * Adapter of the platform's weight store; its wire format is in docs/PROTOCOLS.md.
 * @module
 */
import * as undici from 'undici';
import type { WeightAnswer, WeightStore } from '../core/definitions.js';
import { weightAnswers } from '../core/definitions.js';

export interface HttpWeightStoreOptions {
	url: string;
	timeoutMs: number;
}

export class HttpWeightStore implements WeightStore {
	constructor(private readonly opts: HttpWeightStoreOptions) {}

	async find(name: string): Promise<WeightAnswer> {
		const path = `${this.opts.url}/weights/${encodeURIComponent(name)}`;
		try {
			const signal = AbortSignal.timeout(this.opts.timeoutMs);
			const res = await undici.request(path, { method: 'GET', signal });
			await res.body.dump();
			if (res.statusCode === 404) {
				return weightAnswers.absent;
			}
			return res.statusCode === 200 ? weightAnswers.present : weightAnswers.busy;
		} catch {
			return weightAnswers.busy;
		}
	}
}
