/**
 * Stand-in of the platform's store: items with revisions, watches, conditional writes and leases over
 * HTTP. Faults are switched on from the test.
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

type Json = Record<string, unknown>;

/** What the store held at some moment. */
export interface StoreSnapshot {
	items: Map<string, Item>;
	/** Time to live by lease, in milliseconds. */
	leases: Map<number, number>;
	revision: number;
}

export class PlatformStoreStandIn {
	private readonly items = new Map<string, Item>();
	private readonly leases = new Map<number, Lease>();
	private history: Change[] = [];
	private oldest = 0;
	private revision = 1;
	private nextLease = 1000;
	/** Rises each time that it comes back from a copy. */
	private era = 1;
	private readonly waiting = new Set<() => void>();
	/** Every call is answered with this status. */
	failureStatus?: number;
	/** Items under this prefix are not told. */
	withheldPrefix?: string;
	/** Writes are done and not answered. */
	losesReplies = false;
	/** VMs, by their address, whose calls are refused. */
	private readonly turnedAway = new Set<string>();
	/** One server for each address that callers tell apart by. */
	private readonly servers: http.Server[] = [];
	private port = 0;
	private readonly ranges = new Map<string, number>();
	private readonly staleRanges = new Map<string, boolean>();
	/** Calls by path, without the query. */
	readonly calls = new Map<string, number>();

	async start(): Promise<void> {
		await this.listen('127.0.0.1');
	}

	/** Listens at the VM's own address, so that its calls are told from those of others. */
	async addressFor(vm: string): Promise<string> {
		const isOpen = this.servers.some((server) => (server.address() as AddressInfo).address === vm);
		if (!isOpen) {
			await this.listen(vm);
		}
		return `${vm}:${this.port}`;
	}

	/** Keys under a prefix. */
	keys(prefix: string): string[] {
		return [...this.items.keys()].filter((key) => key.startsWith(prefix));
	}

	/** How often all items under a prefix were asked for. */
	countRangeReads(prefix: string): number {
		return this.ranges.get(prefix) ?? 0;
	}

	/** Refuses the VM's calls from now on, those that wait among them. */
	refuseVm(vm: string): void {
		this.turnedAway.add(vm);
		this.wake();
	}

	/** Serves the VM again. */
	readmitVm(vm: string): void {
		this.turnedAway.delete(vm);
	}

	private async listen(host: string): Promise<void> {
		const server = http.createServer((req, res) => void this.handle(req, res));
		await new Promise<void>((done) => server.listen(this.port, host, done));
		this.port = (server.address() as AddressInfo).port;
		this.servers.push(server);
	}

	stop(): void {
		for (const { timer } of this.leases.values()) {
			clearTimeout(timer);
		}
		for (const server of this.servers) {
			server.close();
			server.closeAllConnections();
		}
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
		this.changed({ 'private-key': key, revision: this.revision, item });
	}

	remove(key: string): void {
		if (this.items.delete(key)) {
			this.revision++;
			this.changed({ 'private-key': key, revision: this.revision, deleted: true });
		}
	}

	createSnapshot(): StoreSnapshot {
		const leases = new Map([...this.leases].map(([id, { ttlMs }]) => [id, ttlMs]));
		return { items: new Map(this.items), leases, revision: this.revision };
	}

	/** Comes back from an older copy: what was written since is gone, and its revisions are given out again. */
	restore({ items, leases, revision }: StoreSnapshot): void {
		for (const { timer } of this.leases.values()) {
			clearTimeout(timer);
		}
		this.leases.clear();
		for (const [id, ttlMs] of leases) {
			this.leases.set(id, { ttlMs, timer: setTimeout(() => this.endLease(id), ttlMs) });
		}
		this.items.clear();
		for (const [key, item] of items) {
			this.items.set(key, item);
		}
		this.revision = revision;
		this.era++;
		this.compact();
		for (const server of this.servers) {
			server.closeAllConnections();
		}
	}

	/** Forgets the history and cuts all watches. */
	compact(): void {
		this.history = [];
		this.oldest = this.revision;
		this.wake();
	}

	private changed(change: Change): void {
		this.history.push(change);
		this.wake();
	}

	private wake(): void {
		for (const wake of [...this.waiting]) {
			wake();
		}
	}

	private async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const url = new URL(req.url ?? '/', 'http://store');
		res.setHeader('store-era', this.era);
		this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
		const body = await readJson(req);
		const caller = req.socket.localAddress ?? '';
		if (this.refuses(caller)) {
			reply(res, this.failureStatus ?? 503, {});
			return;
		}
		const [, call = '', id = ''] = url.pathname.split('/');
		if (call === 'kv-range' && url.searchParams.get('path-prefix') === this.withheldPrefix) {
			reply(res, 503, {});
		} else if (call === 'kv-range') {
			reply(res, 200, this.range(url.searchParams));
		} else if (call === 'kv-key') {
			const item = this.items.get(url.searchParams.get('private-key') ?? '');
			reply(res, item ? 200 : 404, { ...item });
		} else if (call === 'kv-watch') {
			await this.watch(url.searchParams, res, caller);
		} else if (call === 'kv-txn') {
			this.write(body, res);
			if (this.losesReplies) {
				req.socket.resetAndDestroy();
			}
		} else if (call === 'kv-lease') {
			reply(res, 200, this.grant(Number(body['ttl-ms'])));
		} else if (call === 'kv-keep') {
			reply(res, this.renew(Number(id)) ? 200 : 404, {});
		} else if (call === 'kv-lease-end') {
			this.endLease(Number(id));
			reply(res, 200, {});
		} else {
			reply(res, 404, {});
		}
	}

	private range(query: URLSearchParams): Json {
		const prefix = query.get('path-prefix') ?? '';
		const after = query.get('since-revision') ?? '';
		this.ranges.set(prefix, this.countRangeReads(prefix) + 1);
		this.staleRanges.set(prefix, query.get('stale-ok') === '1');
		const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after);
		const page = keys.sort().slice(0, 5);
		const entries = page.map((key) => this.items.get(key));
		return { entries, 'has-more': keys.length > page.length, timestamp: this.revision };
	}

	private refuses(caller: string): boolean {
		return this.failureStatus !== undefined || this.turnedAway.has(caller);
	}

	private async watch(
		query: URLSearchParams,
		res: http.ServerResponse,
		caller: string,
	): Promise<void> {
		const prefix = query.get('path-prefix') ?? '';
		const since = Number(query.get('since-revision'));
		const until = Date.now() + Number(query.get('wait-ms'));
		for (;;) {
			if (this.refuses(caller)) {
				reply(res, this.failureStatus ?? 503, {});
				return;
			}
			if (since < this.oldest || since > this.revision) {
				reply(res, 410, {});
				return;
			}
			const events = this.history
				.filter((change) => change.revision > since && change['private-key'].startsWith(prefix))
				.map(({ item, ...gone }) => item ?? gone);
			if (events.length > 0 || Date.now() >= until || res.destroyed) {
				reply(res, 200, { events, timestamp: this.revision });
				return;
			}
			await this.nextChange(until - Date.now());
		}
	}

	private nextChange(waitMs: number): Promise<void> {
		return new Promise((done) => {
			const wake = () => {
				clearTimeout(timer);
				this.waiting.delete(wake);
				done();
			};
			const timer = setTimeout(wake, waitMs);
			this.waiting.add(wake);
		});
	}

	private write(body: Json, res: http.ServerResponse): void {
		const expected = (body['expected-revision'] ?? []) as Json[];
		const current = expected.map((row) => this.items.get(String(row['private-key'])));
		if (expected.some(({ revision }, at) => (current[at]?.revision ?? 0) !== revision)) {
			reply(res, 412, { entries: current.filter(Boolean) });
			return;
		}
		const rows = (body.write ?? []) as Json[];
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

	/** Ends all leases now. */
	expireLeases(): void {
		for (const id of [...this.leases.keys()]) {
			this.endLease(id);
		}
	}

	/** Whether the last range of a prefix allowed for old entries. */
	allowedStaleEntries(prefix: string): boolean {
		return this.staleRanges.get(prefix) === true;
	}

	private grant(ttlMs: number): Json {
		const id = this.nextLease++;
		this.leases.set(id, { ttlMs, timer: setTimeout(() => this.endLease(id), ttlMs) });
		return { 'lease-id': id, 'ttl-ms': ttlMs };
	}

	private renew(id: number): boolean {
		const lease = this.leases.get(id);
		if (!lease) {
			return false;
		}
		clearTimeout(lease.timer);
		lease.timer = setTimeout(() => this.endLease(id), lease.ttlMs);
		return true;
	}

	private endLease(id: number): void {
		clearTimeout(this.leases.get(id)?.timer);
		this.leases.delete(id);
		for (const item of [...this.items.values()]) {
			if (item['lease-id'] === id) {
				this.remove(item['private-key']);
			}
		}
	}
}

async function readJson(req: http.IncomingMessage): Promise<Json> {
	const chunks: Buffer[] = [];
	for await (const chunk of req) {
		chunks.push(chunk as Buffer);
	}
	const text = Buffer.concat(chunks).toString();
	return text === '' ? {} : (JSON.parse(text) as Json);
}

function reply(res: http.ServerResponse, status: number, body: Json): void {
	res.writeHead(status, { 'content-type': 'application/json' });
	res.end(JSON.stringify(body));
}
