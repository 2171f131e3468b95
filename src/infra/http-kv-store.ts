/**
 * HTTP client for the key-value service; the wire format is described in docs/PROTOCOLS.md.
 * @module
 */
import * as undici from 'undici';
import type { KvEntry, KvStore, KvSwapResult } from '../core/definitions.js';
import { KvError } from '../core/definitions.js';

export interface HttpKvStoreOptions {
	url: string;
	timeoutMs: number;
}

interface KvResponse {
	status: number;
	body: Record<string, unknown>;
}

export class HttpKvStore implements KvStore {
	private readonly pool: undici.Pool;
	private sentCalls = 0;

	constructor(private readonly opts: HttpKvStoreOptions) {
		this.pool = new undici.Pool(new URL(opts.url).origin, { connections: 16 });
	}

	get callCount(): number {
		return this.sentCalls;
	}

	async get(key: string): Promise<KvEntry | undefined> {
		const response = await this.call('GET', `/kv/${encodeURIComponent(key)}`);
		return toEntry(response);
	}

	async compareAndSwap(
		key: string,
		rev: number,
		value: string,
		leaseId?: string,
	): Promise<KvSwapResult> {
		const lease = leaseId === undefined ? '' : `&lease=${leaseId}`;
		const path = `/kv/${encodeURIComponent(key)}?rev=${rev}${lease}`;
		const response = await this.call('PUT', path, value);
		if (response.status === 200) {
			return { swapped: true, rev: Number(response.body.rev) };
		}
		if (response.status === 409) {
			const current = response.body.rev ? (response.body as unknown as KvEntry) : undefined;
			return { swapped: false, current };
		}
		throw new KvError(`key-value service responded with status ${response.status}`);
	}

	async watch(key: string, rev: number, waitMs: number): Promise<KvEntry | undefined> {
		const path = `/kv/${encodeURIComponent(key)}?after=${rev}&wait_ms=${waitMs}`;
		const response = await this.call('GET', path, undefined, waitMs);
		return toEntry(response);
	}

	async grantLease(ttlMs: number): Promise<string> {
		const response = await this.call('POST', `/leases?ttl_ms=${ttlMs}`);
		if (response.status !== 200) {
			throw new KvError(`key-value service responded with status ${response.status}`);
		}
		return String(response.body.id);
	}

	async renewLease(id: string): Promise<boolean> {
		const response = await this.call('POST', `/leases/${id}/renew`);
		return response.status === 200;
	}

	async revokeLease(id: string): Promise<void> {
		await this.call('DELETE', `/leases/${id}`);
	}

	close(): Promise<void> {
		return this.pool.destroy();
	}

	private async call(
		method: undici.Dispatcher.HttpMethod,
		path: string,
		body?: string,
		extraMs = 0,
	): Promise<KvResponse> {
		this.sentCalls++;
		const timeoutMs = this.opts.timeoutMs + extraMs;
		try {
			const res = await this.pool.request({
				method,
				path,
				body,
				signal: AbortSignal.timeout(timeoutMs),
			});
			const json = (await res.body.json()) as Record<string, unknown>;
			if (res.statusCode >= 500 || res.statusCode === 429) {
				throw new KvError(`key-value service responded with status ${res.statusCode}`);
			}
			return { status: res.statusCode, body: json };
		} catch (err) {
			throw err instanceof KvError ? err : new KvError((err as Error).message);
		}
	}
}

/** The entry of a response; undefined when the key does not exist. */
function toEntry(response: KvResponse): KvEntry | undefined {
	if (response.status === 404) {
		return undefined;
	}
	return { value: String(response.body.value), rev: Number(response.body.rev) };
}
