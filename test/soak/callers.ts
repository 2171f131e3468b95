/**
 * Callers of a run: each keeps its connection to one VM until that ends or says it is the last answer,
 * then goes to another that is ready.
 * @module
 */
import * as http from 'node:http';
import type { Rng } from '../../bench/random.js';
import { host, key as permanentKey } from '../steps/relay-world.js';
import type { SoakDeployment, SoakVm } from './deployment.js';
import { sleep } from './deployment.js';
import type { CallerRecord, RequestKind } from './types.js';
import { requestKinds } from './types.js';

/** How long callers wait for an answer, and the pause between two requests at the most, in milliseconds. */
const deadlineMs = 4000;
const pauseMs = 120;
/** Shares of requests with the newest key and with the one before it. */
const currentKeyShare = 0.15;
const formerKeyShare = 0.1;
/** Chance that a caller changes the VM after an answer. */
const changeShare = 0.03;
/** How often VMs are asked whether they are ready, and misses after which one gets no new callers, as on the platform. */
const readinessMs = 500;
const missesToOut = 2;

const targets: Record<RequestKind, string> = {
	[requestKinds.plain]: '/plain/',
	[requestKinds.singleRun]: '/once/',
	[requestKinds.nonResumable]: '/stream/once/',
	[requestKinds.resumable]: '/stream/resumed/',
};

export class Callers {
	readonly records: CallerRecord[] = [];
	private readonly misses = new Map<SoakVm, number>();
	private stopped = false;
	private nextId = 1;

	constructor(
		private readonly deployment: SoakDeployment,
		private readonly rng: Rng,
	) {}

	/** Sends until stopped. */
	async run(callers: number): Promise<void> {
		const loops = Array.from({ length: callers }, () => this.oneCaller());
		await Promise.all([this.watchReadiness(), ...loops]);
	}

	stop(): void {
		this.stopped = true;
	}

	/** Sends one request to this VM. */
	async send(
		item: SoakVm,
		kind: RequestKind,
		key: string,
		agent: http.Agent | false,
	): Promise<CallerRecord> {
		const id = `r${this.nextId++}`;
		const record: CallerRecord = {
			id,
			kind,
			vm: item.name,
			incarnation: item.incarnation,
			key,
			sentAt: performance.now(),
			endedAt: 0,
			status: 0,
			body: '',
			truncated: true,
		};
		const { address, ports } = item.vm;
		const req = http.request({
			host: address,
			port: ports.callers,
			method: 'POST',
			path: targets[kind],
			agent,
			headers: {
				host,
				authorization: `Bearer ${key}`,
				'slategauge-attempt-id': id,
				'slategauge-deadline-ms': String(deadlineMs),
			},
		});
		const timer = setTimeout(() => req.destroy(new Error('deadline')), deadlineMs);
		await exchange(req, record);
		clearTimeout(timer);
		record.endedAt = performance.now();
		this.records.push(record);
		return record;
	}

	private async oneCaller(): Promise<void> {
		while (!this.stopped) {
			const item = this.choose();
			const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
			let keeps = true;
			while (keeps && !this.stopped) {
				const record = await this.send(item, this.pickKind(), this.pickKey(), agent);
				keeps = record.status !== 0 && !record.truncated && this.rng() > changeShare;
				await sleep(this.rng() * pauseMs);
			}
			agent.destroy();
		}
	}

	/** A VM that is ready; any when none is. */
	private choose(): SoakVm {
		const { vms } = this.deployment;
		const ready = vms.filter((item) => (this.misses.get(item) ?? 0) < missesToOut);
		const among = ready.length > 0 ? ready : vms;
		return among[Math.floor(this.rng() * among.length)] as SoakVm;
	}

	private pickKind(): RequestKind {
		const kinds = Object.values(requestKinds);
		return kinds[Math.floor(this.rng() * kinds.length)] as RequestKind;
	}

	private pickKey(): string {
		const { currentKey, previousKey: formerKey } = this.deployment;
		const draw = this.rng();
		if (draw < currentKeyShare) {
			return currentKey;
		}
		return draw < currentKeyShare + formerKeyShare && formerKey !== '' ? formerKey : permanentKey;
	}

	private async watchReadiness(): Promise<void> {
		while (!this.stopped) {
			for (const item of this.deployment.vms) {
				void this.deployment.isReady(item).then((ready) => {
					this.misses.set(item, ready ? 0 : (this.misses.get(item) ?? 0) + 1);
				});
			}
			await sleep(readinessMs);
		}
	}
}

/** Sends the request, whose body is its id, and fills the record in. */
function exchange(req: http.ClientRequest, record: CallerRecord): Promise<void> {
	return new Promise((done) => {
		req.on('error', () => done());
		req.on('response', (res) => {
			record.status = res.statusCode ?? 0;
			res.on('data', (chunk: Buffer) => {
				record.body += chunk.toString();
			});
			res.on('end', () => {
				record.truncated = !res.complete;
				done();
			});
			res.on('error', () => done());
		});
		req.end(record.id);
	});
}
