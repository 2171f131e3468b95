/**
 * HTTP client of the platform's key-value store.
 * @module
 */
import * as undici from 'undici';
import type { Clock } from '../core/definitions.js';
import type { HostPort } from '../core/relay/settings.js';
import type {
	EraChange,
	Store,
	StoreChanges,
	StoreItem,
	StoreRange,
	Transaction,
} from '../core/store/definitions.js';
import { StoreError, storeFailures } from '../core/store/definitions.js';
import { eraOf, revisionIn, storedRevision } from '../core/store/revisions.js';
import type { Page, UnreadableListener } from './store-wire.js';
import {
	decodeChanges,
	decodeEra,
	decodeItem,
	decodeLease,
	decodePage,
	decodeRevision,
	toRecord,
} from './store-wire.js';
import { headerNames } from './wire-names.js';

/** Timeout of calls other than watches. */
const callTimeoutMs = 1000;
/** Time that a watch may take beyond the requested wait, if that makes it longer than other calls. */
const watchSlackMs = 400;
/** Shorter than the first TCP retransmission, so a lost packet fails the call early. */
const connectTimeoutMs = 300;
/** Each watch holds one connection; other calls share the rest. */
const connections = 6;

/** Expected revision of a key that must not exist. */
const absentRevision = 0;

interface Reply {
	status: number;
	body: unknown;
	/** Era of the store at the time of the answer. */
	era: number;
}

interface CallOptions {
	body?: object;
	timeoutMs?: number;
	signal?: AbortSignal;
}

export class PlatformStore implements Store {
	private readonly pool: undici.Pool;
	private callCount = 0;
	private answeredAt = Number.NEGATIVE_INFINITY;
	private lastEra?: number;

	/**
	 * @param onRestored called on the first answer of a new era, before that answer is returned
	 * @param onUnreadable called with each entry that is passed over
	 */
	constructor(
		address: HostPort,
		private readonly clock: Clock,
		private readonly onRestored: (restored: EraChange) => void = () => {},
		private readonly onUnreadable: UnreadableListener = () => {},
	) {
		this.pool = new undici.Pool(`http://${address.host}:${address.port}`, {
			connections,
			pipelining: 1,
			connect: { timeout: connectTimeoutMs },
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	}

	get calls(): number {
		return this.callCount;
	}

	get lastAnsweredAt(): number {
		return this.answeredAt;
	}

	get era(): number {
		return this.lastEra ?? 0;
	}

	async range(prefix: string, mayBeStale = false, signal?: AbortSignal): Promise<StoreRange> {
		const items: StoreItem[] = [];
		let revision: number | undefined;
		let after = '';
		for (;;) {
			const page = await this.readPage(prefix, after, mayBeStale, signal);
			// Pages are not read as one snapshot: a watch from the first page's revision covers changes in between.
			revision ??= page.revision;
			if (eraOf(page.revision) !== eraOf(revision)) {
				throw new StoreError(
					storeFailures.unknown,
					'the store was restored from a backup during a paged read',
				);
			}
			items.push(...page.items);
			if (page.nextAfter === undefined) {
				return { items, revision };
			}
			if (page.nextAfter === after) {
				throw new StoreError(storeFailures.unknown, 'the store repeats a page');
			}
			after = page.nextAfter;
		}
	}

	async watch(
		prefix: string,
		revision: number,
		waitMs: number,
		signal: AbortSignal,
	): Promise<StoreChanges> {
		this.expectEra(revision, this.era);
		const query = new URLSearchParams({
			'path-prefix': prefix,
			'since-revision': String(storedRevision(revision)),
			'wait-ms': String(waitMs),
		});
		const reply = await this.call('GET', `/kv-watch?${query}`, {
			timeoutMs: Math.max(callTimeoutMs, waitMs + watchSlackMs),
			signal,
		});
		if (reply.status === 410) {
			throw new StoreError(storeFailures.compacted, `no history since revision ${revision}`);
		}
		const { body, era } = expectOk(reply);
		// After a restore the store may reuse the revision and answer with changes of another history.
		this.expectEra(revision, era);
		return decodeChanges(body, era, this.onUnreadable);
	}

	async get(key: string): Promise<StoreItem | undefined> {
		const query = new URLSearchParams({ 'private-key': key });
		const reply = await this.call('GET', `/kv-key?${query}`);
		if (reply.status === 404) {
			return undefined;
		}
		const { body, era } = expectOk(reply);
		const item = decodeItem(body, era);
		if (!item) {
			throw new StoreError(storeFailures.unknown, 'the store answered without an entry');
		}
		return item;
	}

	async transact({ expected, write }: Transaction): Promise<number | undefined> {
		const isFromCurrentEra = ({ revision }: { revision: number }) =>
			revision === absentRevision || eraOf(revision) === this.era;
		if (!expected.every(isFromCurrentEra)) {
			return undefined;
		}
		const body = {
			'expected-revision': expected.map(({ key, revision }) => ({
				'private-key': key,
				revision: storedRevision(revision),
			})),
			write: write.map(({ key, value, lease }) => ({
				'private-key': key,
				value: Buffer.from(value).toString('base64'),
				'lease-id': lease,
			})),
			remove: [],
		};
		const reply = await this.call('POST', '/kv-txn', { body });
		if (reply.status === 404) {
			throw new StoreError(storeFailures.leaseEnded, 'the lease has ended');
		}
		if (reply.status === 412) {
			return undefined;
		}
		const { body: committed, era } = expectOk(reply);
		return revisionIn(era, decodeRevision(toRecord(committed).revision));
	}

	async put(key: string, value: string, lease: number): Promise<void> {
		await this.transact({ expected: [], write: [{ key, value, lease }] });
	}

	async grantLease(ttlMs: number): Promise<number> {
		const body = { 'ttl-ms': Math.round(ttlMs) };
		const reply = await this.call('POST', '/kv-lease', { body });
		return decodeLease(expectOk(reply).body);
	}

	async renewLease(id: number): Promise<void> {
		const reply = await this.call('POST', `/kv-keep/${id}`);
		if (reply.status === 404) {
			throw new StoreError(storeFailures.leaseEnded, `lease ${id} has ended`);
		}
		expectOk(reply);
	}

	async endLease(id: number): Promise<void> {
		await this.call('DELETE', `/kv-lease-end/${id}`);
	}

	close(): Promise<void> {
		return this.pool.destroy();
	}

	/** @param after last key of the previous page; empty for the first page */
	private async readPage(
		prefix: string,
		after: string,
		mayBeStale: boolean,
		signal: AbortSignal | undefined,
	): Promise<Page> {
		const query = new URLSearchParams({ 'path-prefix': prefix });
		if (mayBeStale) {
			query.set('stale-ok', '1');
		}
		if (after !== '') {
			// In range reads this parameter takes the last key of the previous page.
			query.set('since-revision', after);
		}
		const { body, era } = expectOk(await this.call('GET', `/kv-range?${query}`, { signal }));
		return decodePage(body, era, this.onUnreadable);
	}

	/** @throws StoreError when the revision is not from the given era */
	private expectEra(revision: number, era: number): void {
		if (eraOf(revision) !== era) {
			throw new StoreError(
				storeFailures.compacted,
				`the revision is from era ${eraOf(revision)}, the store is in era ${era}`,
			);
		}
	}

	/**
	 * Updates the newest known era. It only increases, since answers on different connections may arrive out of order.
	 * @param answerEra undefined when the answer carries no era
	 * @returns the era of the answer, or the newest known one
	 */
	private updateEra(answerEra: number | undefined): number {
		const previousEra = this.lastEra;
		if (answerEra === undefined) {
			return this.era;
		}
		if (previousEra === undefined || answerEra > previousEra) {
			this.lastEra = answerEra;
		}
		if (previousEra !== undefined && answerEra > previousEra) {
			this.onRestored({ previousEra, era: answerEra });
		}
		return answerEra;
	}

	private async call(
		method: undici.Dispatcher.HttpMethod,
		path: string,
		opts: CallOptions = {},
	): Promise<Reply> {
		this.callCount++;
		const timeout = AbortSignal.timeout(opts.timeoutMs ?? callTimeoutMs);
		const signal = opts.signal ? AbortSignal.any([timeout, opts.signal]) : timeout;
		try {
			const res = await this.pool.request({
				method,
				path,
				signal,
				headers: opts.body && { 'content-type': 'application/json' },
				body: opts.body && JSON.stringify(opts.body),
			});
			const era = this.updateEra(decodeEra(res.headers[headerNames.storeEra]));
			const text = await res.body.text();
			if (res.statusCode < 429) {
				this.answeredAt = this.clock.sinceBoot();
			}
			return { status: res.statusCode, body: text === '' ? {} : JSON.parse(text), era };
		} catch (err) {
			throw new StoreError(storeFailures.unknown, (err as Error).message);
		}
	}
}

/** @throws StoreError when the store refused the call */
function expectOk(reply: Reply): Reply {
	if (reply.status !== 200) {
		throw new StoreError(storeFailures.refused, `the store answered with status ${reply.status}`);
	}
	return reply;
}
