/**
 * Stand-in for the platform's key-value store over HTTP: items with revisions, watches,
 * conditional writes and leases. Tests inject faults through its members.
 * @module
 */
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';

interface Item {
	'private-key': string;
	value: string;
	revision: number;
	created: number;
	'lease-id': number;
}

interface Change {
	'private-key': string;
	revision: number;
	deleted?: true;
	item?: Item;
}

interface Lease {
	ttlMs: number;
	timer: NodeJS.Timeout;
}

/** A watch whose answer may be lost: its connection then says nothing more. */
interface Watch {
	caller: string;
	isLost: boolean;
}

type JsonObject = Record<string, unknown>;

/** Keys in the answer to one range read; few, so that tests read several pages. */
export const keysPerPage = 5;

/** State of the store at one moment. */
export interface StoreSnapshot {
	items: Map<string, Item>;
	/** Time to live in milliseconds, by lease id. */
	leases: Map<number, number>;
	revision: number;
}

export class PlatformStoreStandIn {
	private readonly items = new Map<string, Item>();
	private readonly leases = new Map<number, Lease>();
	private history: Change[] = [];
	private compactedRevision = 0;
	private revision = 1;
	private nextLeaseId = 1000;
	private readonly watches = new Set<Watch>();
	/** Watches that begin before this time get no answer, in Unix milliseconds. */
	private loseWatchesUntil = 0;
	/** Content for reads that allow stale answers. @default the current content */
	private staleSnapshot?: StoreSnapshot;
	/** Incremented each time that the store is restored from a snapshot. */
	private era = 1;
	private readonly watchWakers = new Set<() => void>();
	/** Status of all answers, if set. */
	failureStatus?: number;
	/** Range reads of this exact prefix fail with 503. */
	withheldPrefix?: string;
	/** Whether writes take effect and their connection is reset. */
	losesReplies = false;
	/** Addresses of the VMs whose calls are refused. */
	private readonly refusedVms = new Set<string>();
	private readonly server = http.createServer((req, res) => void this.handle(req, res));
	private port = 0;
	private readonly rangeReads = new Map<string, number>();
	/** Called with the prefix of each range read before it is answered. */
	onRangeRead: (prefix: string) => void = () => {};
	private readonly staleAllowedByPrefix = new Map<string, boolean>();
	/** Number of calls by path, without the query. */
	readonly calls = new Map<string, number>();

	/** Listens at all addresses at once: a port that is free at one address may be taken at another. */
	async start(): Promise<void> {
		await new Promise<void>((done) => this.server.listen(0, '0.0.0.0', done));
		this.port = (this.server.address() as AddressInfo).port;
	}

	/** Address of the store for a VM; the VM's own host, which identifies its calls. */
	addressFor(vm: string): string {
		return `${vm}:${this.port}`;
	}

	keys(prefix: string): string[] {
		return [...this.items.keys()].filter((key) => key.startsWith(prefix));
	}

	/** Number of range reads of a prefix; each page counts. */
	countRangeReads(prefix: string): number {
		return this.rangeReads.get(prefix) ?? 0;
	}

	/** Refuses all calls of the VM, including its pending watches. */
	refuseVm(vm: string): void {
		this.refusedVms.add(vm);
		this.wakeWatches();
	}

	/** Accepts calls of the VM again. */
	readmitVm(vm: string): void {
		this.refusedVms.delete(vm);
	}

	stop(): void {
		for (const { timer } of this.leases.values()) {
			clearTimeout(timer);
		}
		this.server.close();
		this.server.closeAllConnections();
	}

	put(key: string, value: unknown, lease = 0): void {
		this.revision++;
		const created = this.items.get(key)?.created ?? this.revision;
		const text = typeof value === 'string' ? value : JSON.stringify(value);
		const item: Item = {
			'private-key': key,
			value: Buffer.from(text).toString('base64'),
			revision: this.revision,
			created,
			'lease-id': lease,
		};
		this.items.set(key, item);
		this.recordChange({ 'private-key': key, revision: this.revision, item });
	}

	remove(key: string): void {
		if (this.items.delete(key)) {
			this.revision++;
			this.recordChange({ 'private-key': key, revision: this.revision, deleted: true });
		}
	}

	createSnapshot(): StoreSnapshot {
		const leases = new Map([...this.leases].map(([id, { ttlMs }]) => [id, ttlMs]));
		return { items: new Map(this.items), leases, revision: this.revision };
	}

	/** Restores an older snapshot. Later writes are lost, and their revisions are reused. */
	restore({ items, leases, revision }: StoreSnapshot): void {
		for (const { timer } of this.leases.values()) {
			clearTimeout(timer);
		}
		this.leases.clear();
		for (const [id, ttlMs] of leases) {
			this.leases.set(id, { ttlMs, timer: setTimeout(() => this.expireLease(id), ttlMs) });
		}
		this.items.clear();
		for (const [key, item] of items) {
			this.items.set(key, item);
		}
		this.revision = revision;
		this.era++;
		this.compact();
		this.server.closeAllConnections();
	}

	/** Drops the change history; watches from older revisions fail with 410. */
	compact(): void {
		this.history = [];
		this.compactedRevision = this.revision;
		this.wakeWatches();
	}

	/** Loses the answers to the watches that wait now. */
	loseWaitingWatches(isAffected: (vm: string) => boolean = () => true): void {
		for (const watch of this.watches) {
			watch.isLost ||= isAffected(watch.caller);
		}
	}

	/** Loses the answers to all watches that begin within this time. */
	loseNewWatches(ms: number): void {
		this.loseWatchesUntil = Date.now() + ms;
	}

	/** Answers reads that allow stale answers with the present content from now on. */
	holdStaleReads(): void {
		this.staleSnapshot = this.createSnapshot();
	}

	private recordChange(change: Change): void {
		this.history.push(change);
		this.wakeWatches();
	}

	private wakeWatches(): void {
		for (const wake of [...this.watchWakers]) {
			wake();
		}
	}

	private async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const url = new URL(req.url ?? '/', 'http://store');
		res.setHeader('store-era', this.era);
		this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
		const body = await readJson(req);
		const caller = req.socket.localAddress ?? '';
		if (this.isRefused(caller)) {
			reply(res, this.failureStatus ?? 503, {});
			return;
		}
		const [, call = '', id = ''] = url.pathname.split('/');
		if (call === 'kv-range' && url.searchParams.get('path-prefix') === this.withheldPrefix) {
			reply(res, 503, {});
		} else if (call === 'kv-range') {
			reply(res, 200, this.readRange(url.searchParams));
		} else if (call === 'kv-key') {
			const item = this.items.get(url.searchParams.get('private-key') ?? '');
			reply(res, item ? 200 : 404, { ...item });
		} else if (call === 'kv-watch') {
			const watch = { caller, isLost: Date.now() < this.loseWatchesUntil };
			this.watches.add(watch);
			await this.watch(url.searchParams, res, watch);
			this.watches.delete(watch);
		} else if (call === 'kv-txn') {
			this.commitTransaction(body, res);
			if (this.losesReplies) {
				req.socket.resetAndDestroy();
			}
		} else if (call === 'kv-lease') {
			reply(res, 200, this.grantLease(Number(body['ttl-ms'])));
		} else if (call === 'kv-keep') {
			reply(res, this.renewLease(Number(id)) ? 200 : 404, {});
		} else if (call === 'kv-lease-end') {
			this.expireLease(Number(id));
			reply(res, 200, {});
		} else {
			reply(res, 404, {});
		}
	}

	private readRange(query: URLSearchParams): JsonObject {
		const prefix = query.get('path-prefix') ?? '';
		const after = query.get('since-revision') ?? '';
		this.rangeReads.set(prefix, this.countRangeReads(prefix) + 1);
		this.staleAllowedByPrefix.set(prefix, query.get('stale-ok') === '1');
		this.onRangeRead(prefix);
		const stale = query.get('stale-ok') === '1' ? this.staleSnapshot : undefined;
		const { items, revision } = stale ?? { items: this.items, revision: this.revision };
		const keys = [...items.keys()].filter((key) => key.startsWith(prefix) && key > after);
		const pageKeys = keys.sort().slice(0, keysPerPage);
		const entries = pageKeys.map((key) => items.get(key));
		return { entries, 'has-more': keys.length > pageKeys.length, timestamp: revision };
	}

	private isRefused(caller: string): boolean {
		return this.failureStatus !== undefined || this.refusedVms.has(caller);
	}

	private async watch(
		query: URLSearchParams,
		res: http.ServerResponse,
		watch: Watch,
	): Promise<void> {
		const prefix = query.get('path-prefix') ?? '';
		const since = Number(query.get('since-revision'));
		const deadline = Date.now() + Number(query.get('wait-ms'));
		for (;;) {
			if (watch.isLost) {
				return;
			}
			if (this.isRefused(watch.caller)) {
				reply(res, this.failureStatus ?? 503, {});
				return;
			}
			if (since < this.compactedRevision || since > this.revision) {
				reply(res, 410, {});
				return;
			}
			const events = this.history
				.filter((change) => change.revision > since && change['private-key'].startsWith(prefix))
				.map(({ item, ...deletion }) => item ?? deletion);
			if (events.length > 0 || Date.now() >= deadline || res.destroyed) {
				reply(res, 200, { events, timestamp: this.revision });
				return;
			}
			await this.waitForChange(deadline - Date.now());
		}
	}

	private waitForChange(waitMs: number): Promise<void> {
		return new Promise((done) => {
			const wake = () => {
				clearTimeout(timer);
				this.watchWakers.delete(wake);
				done();
			};
			const timer = setTimeout(wake, waitMs);
			this.watchWakers.add(wake);
		});
	}

	private commitTransaction(body: JsonObject, res: http.ServerResponse): void {
		const expected = (body['expected-revision'] ?? []) as JsonObject[];
		const current = expected.map((row) => this.items.get(String(row['private-key'])));
		if (expected.some(({ revision }, index) => (current[index]?.revision ?? 0) !== revision)) {
			reply(res, 412, { entries: current.filter(Boolean) });
			return;
		}
		const rows = (body.write ?? []) as JsonObject[];
		for (const row of rows) {
			const lease = Number(row['lease-id'] ?? 0);
			if (lease !== 0 && !this.leases.has(lease)) {
				reply(res, 404, {});
				return;
			}
			const value = Buffer.from(String(row.value), 'base64').toString();
			this.put(String(row['private-key']), value, lease);
		}
		reply(res, 200, { revision: this.revision });
	}

	expireLeases(): void {
		for (const id of [...this.leases.keys()]) {
			this.expireLease(id);
		}
	}

	/** Whether the last range read of a prefix allowed stale entries. */
	allowedStaleEntries(prefix: string): boolean {
		return this.staleAllowedByPrefix.get(prefix) === true;
	}

	private grantLease(ttlMs: number): JsonObject {
		const id = this.nextLeaseId++;
		this.leases.set(id, { ttlMs, timer: setTimeout(() => this.expireLease(id), ttlMs) });
		return { 'lease-id': id, 'ttl-ms': ttlMs };
	}

	private renewLease(id: number): boolean {
		const lease = this.leases.get(id);
		if (!lease) {
			return false;
		}
		clearTimeout(lease.timer);
		lease.timer = setTimeout(() => this.expireLease(id), lease.ttlMs);
		return true;
	}

	private expireLease(id: number): void {
		clearTimeout(this.leases.get(id)?.timer);
		this.leases.delete(id);
		for (const item of [...this.items.values()]) {
			if (item['lease-id'] === id) {
				this.remove(item['private-key']);
			}
		}
	}
}

async function readJson(req: http.IncomingMessage): Promise<JsonObject> {
	const chunks: Buffer[] = [];
	for await (const chunk of req) {
		chunks.push(chunk as Buffer);
	}
	const text = Buffer.concat(chunks).toString();
	return text === '' ? {} : (JSON.parse(text) as JsonObject);
}

function reply(res: http.ServerResponse, status: number, body: JsonObject): void {
	res.writeHead(status, { 'content-type': 'application/json' });
	res.end(JSON.stringify(body));
}
