/**
 * Stand-in of the platform: key-value service with its rates, outages, slow and lost replies; VM
 * list with lag; weight store with its rate.
 * @module
 */
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';

interface Entry {
	value: string;
	rev: number;
	lease?: string;
}

/** Faults, set by POST /control. Milliseconds. */
interface Faults {
	down: boolean;
	delayMs: number;
	/** This many next writes take effect, and their reply is lost. */
	loseReplies: number;
	vmListLagMs: number;
	/** Weights that the store has, and its rate. */
	weights: string[];
	weightsPerSecond: number;
	/** Calls taken in a second; more are answered with 429. */
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
	/** Calls to the key-value service; a waiting watch is one. */
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
	private leaseSeq = 0;
	private weightsFreeAt = 0;
	private second = 0;
	private callsThisSecond = 0;
	private shownVms: Vm[] = [];
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
			send(res, 200, this.faults);
		} else if (url.pathname === '/stats') {
			send(res, 200, { calls: this.calls, writes: this.writes });
		} else if (url.pathname.startsWith('/weights/')) {
			this.weights(res, url.pathname.slice('/weights/'.length));
		} else if (url.pathname === '/vms') {
			this.vmList(req, res, body);
		} else {
			await this.keyValue(req, res, url, body);
		}
	}

	private weights(res: http.ServerResponse, name: string): void {
		const now = performance.now();
		if (now < this.weightsFreeAt) {
			send(res, 429, {});
			return;
		}
		this.weightsFreeAt = now + 1000 / this.faults.weightsPerSecond;
		send(res, this.faults.weights.includes(name) ? 200 : 404, { name });
	}

	private vmList(req: http.IncomingMessage, res: http.ServerResponse, body: string): void {
		if (req.method === 'POST') {
			const vm = JSON.parse(body) as Vm;
			if (vm.state === 'gone') {
				this.vms.delete(vm.id);
			} else {
				this.vms.set(vm.id, vm);
			}
			const shown = [...this.vms.values()];
			const show = () => {
				this.shownVms = shown;
			};
			setTimeout(show, this.faults.vmListLagMs);
			send(res, 200, {});
			return;
		}
		send(res, 200, this.shownVms);
	}

	private async keyValue(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		url: URL,
		body: string,
	): Promise<void> {
		if (this.faults.down) {
			res.destroy();
			return;
		}
		if (!this.withinRate()) {
			send(res, 429, {});
			return;
		}
		this.calls++;
		this.writes += req.method === 'PUT' ? 1 : 0;
		await new Promise((done) => setTimeout(done, this.faults.delayMs));
		const path = url.pathname.split('/').slice(1).map(decodeURIComponent);
		if (path[0] === 'leases') {
			this.lease(req, res, url, path[1]);
		} else if (req.method === 'PUT') {
			this.swap(res, path.slice(1).join('/'), url, body);
		} else {
			this.read(res, path.slice(1).join('/'), url);
		}
	}

	private withinRate(): boolean {
		const second = Math.floor(performance.now() / 1000);
		if (second !== this.second) {
			this.second = second;
			this.callsThisSecond = 0;
		}
		this.callsThisSecond++;
		return this.callsThisSecond <= this.faults.callsPerSecond;
	}

	private read(res: http.ServerResponse, key: string, url: URL): void {
		const after = Number(url.searchParams.get('after') ?? -1);
		const waitMs = Number(url.searchParams.get('wait_ms') ?? 0);
		const answer = () => {
			this.watchers.delete(changed);
			clearTimeout(timer);
			const entry = this.entries.get(key);
			send(res, entry ? 200 : 404, entry ? { value: entry.value, rev: entry.rev } : {});
		};
		const changed = () => {
			if ((this.entries.get(key)?.rev ?? 0) > after) {
				answer();
			}
		};
		const timer = setTimeout(answer, waitMs);
		this.watchers.add(changed);
		changed();
	}

	private swap(res: http.ServerResponse, key: string, url: URL, value: string): void {
		const current = this.entries.get(key);
		if ((current?.rev ?? 0) !== Number(url.searchParams.get('rev'))) {
			send(res, 409, current ? { value: current.value, rev: current.rev } : {});
			return;
		}
		const lease = url.searchParams.get('lease') ?? undefined;
		if (lease !== undefined && !this.leases.has(lease)) {
			send(res, 410, {});
			return;
		}
		this.rev++;
		this.entries.set(key, { value, rev: this.rev, lease });
		this.notify();
		if (this.faults.loseReplies > 0) {
			this.faults.loseReplies--;
			res.destroy();
			return;
		}
		send(res, 200, { rev: this.rev });
	}

	private lease(req: http.IncomingMessage, res: http.ServerResponse, url: URL, id?: string): void {
		if (req.method === 'POST' && id === undefined) {
			this.leaseSeq++;
			const fresh = `lease-${this.leaseSeq}`;
			this.arm(fresh, Number(url.searchParams.get('ttl_ms')));
			send(res, 200, { id: fresh });
			return;
		}
		const timer = this.leases.get(id ?? '');
		if (!timer) {
			send(res, 404, {});
			return;
		}
		if (req.method === 'DELETE') {
			this.lapse(id ?? '');
		} else {
			timer.refresh();
		}
		send(res, 200, {});
	}

	private arm(id: string, ttlMs: number): void {
		const timer = setTimeout(() => this.lapse(id), ttlMs);
		this.leases.set(id, timer);
	}

	private lapse(id: string): void {
		clearTimeout(this.leases.get(id));
		this.leases.delete(id);
		for (const [key, entry] of this.entries) {
			if (entry.lease === id) {
				this.entries.delete(key);
			}
		}
		this.notify();
	}

	private notify(): void {
		for (const watcher of [...this.watchers]) {
			watcher();
		}
	}
}

function send(res: http.ServerResponse, status: number, value: unknown): void {
	res.writeHead(status, { 'content-type': 'application/json' });
	res.end(JSON.stringify(value));
}
