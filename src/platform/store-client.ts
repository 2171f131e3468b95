/**
 * Client of the platform's store.
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
import type { WireChanges, WireItem, WireRange } from './store-wire.js';
import { decodeEra, toEvent, toItem } from './store-wire.js';
import { headerNames } from './wire-names.js';

/** An ordinary call; the store answers in 4 ms when well, up to 300 ms when slow. */
const callTimeoutMs = 1000;
/** Beyond the wait of a watch until its connection is given up. */
const watchSlackMs = 1000;
/** A connection to a store that is there comes up in a few milliseconds; a lost packet is sent again after a second. */
const connectTimeoutMs = 300;
/** Watches hold a connection each, other calls share the rest. */
const connections = 6;

/** Revision that a key must have which must not be there. */
const absent = 0;

interface Reply {
	status: number;
	body: unknown;
	/** The store's era when it answered. */
	era: number;
}

interface OkReply<T> {
	body: T;
	era: number;
}

interface CallOptions {
	body?: object;
	timeoutMs?: number;
	signal?: AbortSignal;
}

export class PlatformStore implements Store {
	private readonly pool: undici.Pool;
	private made = 0;
	private answered = Number.NEGATIVE_INFINITY;
	private lastEra?: number;

	/** @param onRestored told before the caller of the first answer of a new era goes on */
	constructor(
		address: HostPort,
		private readonly clock: Clock,
		private readonly onRestored: (restored: EraChange) => void = () => {},
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
		return this.made;
	}

	get lastAnsweredAt(): number {
		return this.answered;
	}

	get era(): number {
		return this.lastEra ?? 0;
	}

	async range(prefix: string, mayBeStale = false): Promise<StoreRange> {
		const items: StoreItem[] = [];
		let revision: number | undefined;
		let after = '';
		for (;;) {
			const { body: page, era } = await this.readPage(prefix, after, mayBeStale);
			// The pages are no snapshot: a watch from the first page's revision misses nothing.
			revision ??= revisionIn(era, page.timestamp);
			if (era !== eraOf(revision)) {
				throw new StoreError(storeFailures.unknown, 'the store was restored between two pages');
			}
			items.push(...page.entries.map((entry) => toItem(entry, era)));
			const last = page.entries.at(-1);
			if (!page['has-more'] || !last) {
				return { items, revision };
			}
			after = last['private-key'];
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
			timeoutMs: waitMs + watchSlackMs,
			signal,
		});
		if (reply.status === 410) {
			throw new StoreError(storeFailures.compacted, `no history since revision ${revision}`);
		}
		const { body, era } = expectOk<WireChanges>(reply);
		// The revision may have been given out again meanwhile: the store answers, with changes of another history.
		this.expectEra(revision, era);
		const events = body.events.map((event) => toEvent(event, era));
		return { events, revision: revisionIn(era, body.timestamp) };
	}

	async get(key: string): Promise<StoreItem | undefined> {
		const query = new URLSearchParams({ 'private-key': key });
		const reply = await this.call('GET', `/kv-key?${query}`);
		if (reply.status === 404) {
			return undefined;
		}
		const { body, era } = expectOk<WireItem>(reply);
		return toItem(body, era);
	}

	async transact({ expected, write }: Transaction): Promise<number | undefined> {
		const isOfThisEra = ({ revision }: { revision: number }) =>
			revision === absent || eraOf(revision) === this.era;
		if (!expected.every(isOfThisEra)) {
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
		const { body: done, era } = expectOk<{ revision: number }>(reply);
		return revisionIn(era, done.revision);
	}

	async put(key: string, value: string, lease: number): Promise<void> {
		await this.transact({ expected: [], write: [{ key, value, lease }] });
	}

	async grantLease(ttlMs: number): Promise<number> {
		const body = { 'ttl-ms': Math.round(ttlMs) };
		const reply = await this.call('POST', '/kv-lease', { body });
		return expectOk<{ 'lease-id': number }>(reply).body['lease-id'];
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

	/** @param after key behind which the page starts; empty for the first page */
	private async readPage(
		prefix: string,
		after: string,
		mayBeStale: boolean,
	): Promise<OkReply<WireRange>> {
		const query = new URLSearchParams({ 'path-prefix': prefix });
		if (mayBeStale) {
			query.set('stale-ok', '1');
		}
		if (after !== '') {
			// Named like a revision, it takes the key to go on behind.
			query.set('since-revision', after);
		}
		return expectOk<WireRange>(await this.call('GET', `/kv-range?${query}`));
	}

	/** @throws StoreError when a watch from the revision is of an earlier era than the store's */
	private expectEra(revision: number, era: number): void {
		if (eraOf(revision) !== era) {
			throw new StoreError(
				storeFailures.compacted,
				`revision of era ${eraOf(revision)}, now ${era}`,
			);
		}
	}

	/**
	 * Answers on different connections may overtake one another: the era only rises.
	 * @param told undefined when the answer does not say
	 * @returns the era of the answer
	 */
	private noteEra(told: number | undefined): number {
		const eraBefore = this.lastEra;
		if (told === undefined) {
			return this.era;
		}
		if (eraBefore === undefined || told > eraBefore) {
			this.lastEra = told;
		}
		if (eraBefore !== undefined && told > eraBefore) {
			this.onRestored({ previousEra: eraBefore, era: told });
		}
		return told;
	}

	private async call(
		method: undici.Dispatcher.HttpMethod,
		path: string,
		opts: CallOptions = {},
	): Promise<Reply> {
		this.made++;
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
			const era = this.noteEra(decodeEra(res.headers[headerNames.storeEra]));
			const text = await res.body.text();
			if (res.statusCode < 429) {
				this.answered = this.clock.sinceBoot();
			}
			return { status: res.statusCode, body: text === '' ? {} : JSON.parse(text), era };
		} catch (err) {
			throw new StoreError(storeFailures.unknown, (err as Error).message);
		}
	}
}

/** @throws StoreError when the store did nothing */
function expectOk<T>(reply: Reply): OkReply<T> {
	if (reply.status !== 200) {
		throw new StoreError(storeFailures.refused, `the store answered ${reply.status}`);
	}
	return { body: reply.body as T, era: reply.era };
}
