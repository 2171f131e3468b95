/**
 * Stand-in for the platform over HTTP: a rate-limited key-value store with leases and watches, a
 * delayed VM list, a rate-limited weight store and injectable faults.
 * @module
 */
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';

interface Entry {
	value: string;
	rev: number;
	lease?: string;
}

/** Injected faults, set by POST /control. */
interface Faults {
	/** Resets all calls to the key-value store. */
	down: boolean;
	delayMs: number;
	/** Number of next writes that take effect without a reply. */
	loseReplies: number;
	vmListLagMs: number;
	/** Names in the weight store. */
	weights: string[];
	/** Maximum rate of the weight store; it answers 429 above it. */
	weightsPerSecond: number;
	/** Maximum rate of the key-value store; it answers 429 above it. */
	callsPerSecond: number;
}

interface Vm {
	id: string;
	address: string;
	callers_port: number;
	control_port: number;
	failure_domain: string;
	state: string;
}

export class Platform {
	readonly server: http.Server;
	/** Number of calls to the key-value store; a pending watch counts once. */
	calls = 0;
	writes = 0;
	private readonly faults: Faults = {
		down: false,
		delayMs: 0,
		loseReplies: 0,
		vmListLagMs: 0,
		weights: ['station-2'],
		weightsPerSecond: 10,
		callsPerSecond: 2000,
	};
	private readonly entries = new Map<string, Entry>();
	private readonly leases = new Map<string, NodeJS.Timeout>();
	private readonly watchers = new Set<() => void>();
	private rev = 0;
	private lastLeaseNumber = 0;
	private weightsAvailableAt = 0;
	private currentSecond = 0;
	private callsThisSecond = 0;
	private listedVms: Vm[] = [];
	private readonly vms = new Map<string, Vm>();

	constructor() {
		this.server = http.createServer((req, res) => void this.handle(req, res));
	}

	async listen(): Promise<number> {
		await new Promise<void>((done) => this.server.listen(0, '127.0.0.1', done));
		return (this.server.address() as AddressInfo).port;
	}

	private async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const url = new URL(req.url ?? '/', 'http://stand-in');
		const chunks: Buffer[] = [];
		for await (const chunk of req) {
			chunks.push(chunk as Buffer);
		}
		const body = Buffer.concat(chunks).toString('utf8');
		if (url.pathname === '/control') {
			Object.assign(this.faults, JSON.parse(body));
			sendJson(res, 200, this.faults);
		} else if (url.pathname === '/stats') {
			sendJson(res, 200, { calls: this.calls, writes: this.writes });
		} else if (url.pathname.startsWith('/weights/')) {
			this.handleWeights(res, url.pathname.slice('/weights/'.length));
		} else if (url.pathname === '/vms') {
			this.handleVmList(req, res, body);
		} else {
			await this.handleKeyValue(req, res, url, body);
		}
	}

	private handleWeights(res: http.ServerResponse, name: string): void {
		const now = performance.now();
		if (now < this.weightsAvailableAt) {
			sendJson(res, 429, {});
			return;
		}
		this.weightsAvailableAt = now + 1000 / this.faults.weightsPerSecond;
		sendJson(res, this.faults.weights.includes(name) ? 200 : 404, { name });
	}

	private handleVmList(req: http.IncomingMessage, res: http.ServerResponse, body: string): void {
		if (req.method === 'POST') {
			const vm = JSON.parse(body) as Vm;
			if (vm.state === 'gone') {
				this.vms.delete(vm.id);
			} else {
				this.vms.set(vm.id, vm);
			}
			const snapshot = [...this.vms.values()];
			const publish = () => {
				this.listedVms = snapshot;
			};
			setTimeout(publish, this.faults.vmListLagMs);
			sendJson(res, 200, {});
			return;
		}
		sendJson(res, 200, this.listedVms);
	}

	private async handleKeyValue(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		url: URL,
		body: string,
	): Promise<void> {
		if (this.faults.down) {
			res.destroy();
			return;
		}
		if (!this.isWithinRate()) {
			sendJson(res, 429, {});
			return;
		}
		this.calls++;
		this.writes += req.method === 'PUT' ? 1 : 0;
		await new Promise((done) => setTimeout(done, this.faults.delayMs));
		const path = url.pathname.split('/').slice(1).map(decodeURIComponent);
		if (path[0] === 'leases') {
			this.handleLease(req, res, url, path[1]);
		} else if (req.method === 'PUT') {
			this.compareAndSwap(res, path.slice(1).join('/'), url, body);
		} else {
			this.readOrWatch(res, path.slice(1).join('/'), url);
		}
	}

	private isWithinRate(): boolean {
		const second = Math.floor(performance.now() / 1000);
		if (second !== this.currentSecond) {
			this.currentSecond = second;
			this.callsThisSecond = 0;
		}
		this.callsThisSecond++;
		return this.callsThisSecond <= this.faults.callsPerSecond;
	}

	private readOrWatch(res: http.ServerResponse, key: string, url: URL): void {
		const after = Number(url.searchParams.get('after') ?? -1);
		const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
		const sendEntry = () => {
			this.watchers.delete(onChange);
			clearTimeout(timer);
			const entry = this.entries.get(key);
			sendJson(res, entry ? 200 : 404, entry ? { value: entry.value, rev: entry.rev } : {});
		};
		const onChange = () => {
			if ((this.entries.get(key)?.rev ?? 0) > after) {
				sendEntry();
			}
		};
		const timer = setTimeout(sendEntry, waitMs);
		this.watchers.add(onChange);
		onChange();
	}

	private compareAndSwap(res: http.ServerResponse, key: string, url: URL, value: string): void {
		const current = this.entries.get(key);
		if ((current?.rev ?? 0) !== Number(url.searchParams.get('rev'))) {
			sendJson(res, 409, current ? { value: current.value, rev: current.rev } : {});
			return;
		}
		const lease = url.searchParams.get('lease') ?? undefined;
		if (lease !== undefined && !this.leases.has(lease)) {
			sendJson(res, 410, {});
			return;
		}
		this.rev++;
		this.entries.set(key, { value, rev: this.rev, lease });
		this.notifyWatchers();
		if (this.faults.loseReplies > 0) {
			this.faults.loseReplies--;
			res.destroy();
			return;
		}
		sendJson(res, 200, { rev: this.rev });
	}

	private handleLease(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		url: URL,
		id?: string,
	): void {
		if (req.method === 'POST' && id === undefined) {
			this.lastLeaseNumber++;
			const newId = `lease-${this.lastLeaseNumber}`;
			this.startLease(newId, Number(url.searchParams.get('ttl_ms')));
			sendJson(res, 200, { id: newId });
			return;
		}
		const timer = this.leases.get(id ?? '');
		if (!timer) {
			sendJson(res, 404, {});
			return;
		}
		if (req.method === 'DELETE') {
			this.endLease(id ?? '');
		} else {
			timer.refresh();
		}
		sendJson(res, 200, {});
	}

	private startLease(id: string, ttlMs: number): void {
		const timer = setTimeout(() => this.endLease(id), ttlMs);
		this.leases.set(id, timer);
	}

	private endLease(id: string): void {
		clearTimeout(this.leases.get(id));
		this.leases.delete(id);
		for (const [key, entry] of this.entries) {
			if (entry.lease === id) {
				this.entries.delete(key);
			}
		}
		this.notifyWatchers();
	}

	private notifyWatchers(): void {
		for (const watcher of [...this.watchers]) {
			watcher();
		}
	}
}

function sendJson(res: http.ServerResponse, status: number, value: unknown): void {
	res.writeHead(status, { 'content-type': 'application/json' });
	res.end(JSON.stringify(value));
}
