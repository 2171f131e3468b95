/**
 * Adapter of the key-value service; its wire format is in docs/PROTOCOLS.md.
 * @module
 */
import * as undici from 'undici';
import type { KvEntry, KvStore, KvSwapResult } from '../core/definitions.js';
import { KvError } from '../core/definitions.js';

export interface HttpKvStoreOptions {
	url: string;
	timeoutMs: number;
}

interface Reply {
	status: number;
	body: Record<string, unknown>;
}

export class HttpKvStore implements KvStore {
	private readonly pool: undici.Pool;
	private made = 0;

	constructor(private readonly opts: HttpKvStoreOptions) {
		this.pool = new undici.Pool(new URL(opts.url).origin, { connections: 16 });
	}

	get callCount(): number {
		return this.made;
	}

	async get(key: string): Promise<KvEntry | undefined> {
		const reply = await this.call('GET', `/kv/${encodeURIComponent(key)}`);
		return entryOf(reply);
	}

	async compareAndSwap(
		key: string,
		rev: number,
		value: string,
		leaseId?: string,
	): Promise<KvSwapResult> {
		const lease = leaseId === undefined ? '' : `&lease=${leaseId}`;
		const path = `/kv/${encodeURIComponent(key)}?rev=${rev}${lease}`;
		const reply = await this.call('PUT', path, value);
		if (reply.status === 200) {
			return { swapped: true, rev: Number(reply.body.rev) };
		}
		if (reply.status === 409) {
			const current = reply.body.rev ? (reply.body as unknown as KvEntry) : undefined;
			return { swapped: false, current };
		}
		throw new KvError(`key-value service answered ${reply.status}`);
	}

	async watch(key: string, rev: number, waitMs: number): Promise<KvEntry | undefined> {
		const path = `/kv/${encodeURIComponent(key)}?after=${rev}&wait_ms=${waitMs}`;
		const reply = await this.call('GET', path, undefined, waitMs);
		return entryOf(reply);
	}

	async grantLease(ttlMs: number): Promise<string> {
		const reply = await this.call('POST', `/leases?ttl_ms=${ttlMs}`);
		if (reply.status !== 200) {
			throw new KvError(`key-value service answered ${reply.status}`);
		}
		return String(reply.body.id);
	}

	async renewLease(id: string): Promise<boolean> {
		const reply = await this.call('POST', `/leases/${id}/renew`);
		return reply.status === 200;
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
	): Promise<Reply> {
		this.made++;
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
				throw new KvError(`key-value service answered ${res.statusCode}`);
			}
			return { status: res.statusCode, body: json };
		} catch (err) {
			throw err instanceof KvError ? err : new KvError((err as Error).message);
		}
	}
}

function entryOf(reply: Reply): KvEntry | undefined {
	if (reply.status === 404) {
		return undefined;
	}
	return { value: String(reply.body.value), rev: Number(reply.body.rev) };
}
