/**
 * Simulated store and duty API of the platform, in simulated time and with configurable faults.
 * @module
 */
import type {
	DutyAnswer,
	DutyApi,
	DutyCaller,
	EngineOrder,
} from '../../src/core/duties/definitions.js';
import { dutyAnswers } from '../../src/core/duties/definitions.js';
import type { UsageReport } from '../../src/core/duties/types.js';
import type {
	Store,
	StoreChanges,
	StoreItem,
	Transaction,
} from '../../src/core/store/definitions.js';
import { StoreError, storeFailures } from '../../src/core/store/definitions.js';
import { revisionIn, storedRevision } from '../../src/core/store/revisions.js';

/** Simulated time that lets promises settle between steps. */
export class SimulatedTime {
	now = 0;
	private waiting: { at: number; resolve: () => void }[] = [];

	sleep(ms: number): Promise<void> {
		return new Promise((resolve) => this.waiting.push({ at: this.now + ms, resolve }));
	}

	async run(ms: number, stepMs = 10): Promise<void> {
		for (const until = this.now + ms; this.now < until; ) {
			this.now += stepMs;
			const due = this.waiting.filter(({ at }) => at <= this.now);
			this.waiting = this.waiting.filter(({ at }) => at > this.now);
			for (const { resolve } of due.sort((a, b) => a.at - b.at)) {
				resolve();
			}
			await flushPromises();
		}
	}
}

function flushPromises(): Promise<void> {
	return new Promise((done) => setImmediate(done));
}

/** Faults of the store for the calls of one VM. */
export interface StoreFaults {
	/** All calls are refused or get no answer. */
	outage?: 'refused' | 'silent';
	/** Writes are executed after this delay, in milliseconds, and not answered. */
	lostWritesMs?: number;
}

const latencyMs = 4;
const timeoutMs = 1000;

interface SimulatedLease {
	ttlMs: number;
	grantedAt: number;
	until: number;
}

interface StoredState {
	at: number;
	items: ReadonlyMap<string, StoreItem>;
	revision: number;
}

export class SimulatedStore {
	private readonly items = new Map<string, StoreItem>();
	private readonly leases = new Map<number, SimulatedLease>();
	private readonly faults = new Map<string, StoreFaults>();
	private revision = revisionIn(1, 100);
	private nextLease = 1;
	private era = 1;
	/** State after each change, newest last. */
	private readonly history: StoredState[] = [];
	private readonly knownEras = new Map<string, number>();
	/** Called when a VM gets its first answer of a new era. */
	onRestored: (vm: string) => void = () => {};

	constructor(private readonly time: SimulatedTime) {}

	/** Tells a starting VM the current era. */
	registerVm(vm: string): void {
		this.knownEras.set(vm, this.era);
	}

	/** Restores the state of some time ago; revisions are reused in a new era. */
	restore(agoMs: number): void {
		const at = this.time.now - agoMs;
		const state = this.history.findLast((one) => one.at <= at);
		this.era++;
		this.items.clear();
		for (const [key, item] of state?.items ?? []) {
			const stored = storedRevision(item.revision);
			this.items.set(key, { ...item, revision: revisionIn(this.era, stored) });
		}
		for (const [id, lease] of this.leases) {
			if (lease.grantedAt > at) {
				this.leases.delete(id);
			}
		}
		this.revision = revisionIn(this.era, storedRevision(state?.revision ?? 100));
	}

	/** Returns a client with the faults of one VM. */
	clientFor(vm: string): Store {
		const call = <T>(action: () => T) => this.call(vm, action);
		return {
			calls: 0,
			lastAnsweredAt: 0,
			era: this.knownEras.get(vm) ?? this.era,
			get: (key) => call(() => this.find(key)),
			transact: (transaction) => this.write(vm, transaction),
			grantLease: (ttlMs) => call(() => this.grant(ttlMs)),
			renewLease: (id) => call(() => this.renew(id)),
			endLease: (id) => call(() => this.end(id)),
			put: async () => {},
			range: async () => ({ items: [], revision: this.revision }),
			watch: () => new Promise<StoreChanges>(() => {}),
		};
	}

	setFaults(vm: string, faults: StoreFaults): void {
		this.faults.set(vm, faults);
	}

	private async call<T>(vm: string, action: () => T): Promise<T> {
		const { outage } = this.faults.get(vm) ?? {};
		if (outage) {
			await this.time.sleep(outage === 'silent' ? timeoutMs : latencyMs);
			const failure = outage === 'silent' ? storeFailures.unknown : storeFailures.refused;
			throw new StoreError(failure, 'the store is unreachable');
		}
		await this.time.sleep(latencyMs / 2);
		// Every answer carries the era, also a refusal.
		const { era } = this;
		try {
			const result = action();
			await this.time.sleep(latencyMs / 2);
			return result;
		} finally {
			this.recordAnswer(vm, era);
		}
	}

	private recordAnswer(vm: string, era: number): void {
		const before = this.knownEras.get(vm) ?? era;
		this.knownEras.set(vm, Math.max(before, era));
		if (era > before) {
			this.onRestored(vm);
		}
	}

	private async write(vm: string, transaction: Transaction): Promise<number | undefined> {
		const { lostWritesMs } = this.faults.get(vm) ?? {};
		if (lostWritesMs === undefined) {
			return this.call(vm, () => this.transact(transaction));
		}
		void this.time.sleep(lostWritesMs).then(() => {
			try {
				this.transact(transaction);
			} catch {
				// The lease ended in the meantime, so nothing is written.
			}
		});
		await this.time.sleep(timeoutMs);
		throw new StoreError(storeFailures.unknown, 'no answer');
	}

	private transact({ expected, write }: Transaction): number | undefined {
		if (write.some(({ lease }) => lease !== 0 && !this.isAlive(lease))) {
			throw new StoreError(storeFailures.leaseEnded, 'the lease has ended');
		}
		if (expected.some(({ key, revision }) => (this.find(key)?.revision ?? 0) !== revision)) {
			return undefined;
		}
		this.revision++;
		for (const { key, value, lease } of write) {
			this.items.set(key, { key, value, lease, revision: this.revision });
		}
		this.history.push({ at: this.time.now, items: new Map(this.items), revision: this.revision });
		return this.revision;
	}

	private find(key: string): StoreItem | undefined {
		const item = this.items.get(key);
		return item && (item.lease === 0 || this.isAlive(item.lease)) ? item : undefined;
	}

	private isAlive(lease: number): boolean {
		return this.time.now < (this.leases.get(lease)?.until ?? 0);
	}

	private grant(ttlMs: number): number {
		const id = this.nextLease++;
		this.leases.set(id, { ttlMs, grantedAt: this.time.now, until: this.time.now + ttlMs });
		return id;
	}

	private renew(id: number): void {
		const lease = this.leases.get(id);
		if (!lease || !this.isAlive(id)) {
			throw new StoreError(storeFailures.leaseEnded, 'the lease has ended');
		}
		lease.until = this.time.now + lease.ttlMs;
	}

	private end(id: number): void {
		this.leases.delete(id);
	}
}

/** A call executed by the platform. */
export interface ExecutedCall {
	at: number;
	caller: DutyCaller;
	payload: UsageReport | EngineOrder;
	isRefused: boolean;
}

export class SimulatedApi {
	readonly calls: ExecutedCall[] = [];
	readonly reports = new Map<number, UsageReport[]>();
	/** Domains without spot engines. */
	readonly spotUnavailable = new Set<string>();
	/** Share of calls that get no answer, and the delay of their execution in milliseconds. */
	delayed = { share: 0, ms: 0 };
	isDown = false;
	/** Calls accepted per second; further ones are throttled. */
	callsPerSecond = 50;
	throttledCalls = 0;
	private calledAt: number[] = [];
	private readonly highest = new Map<string, number>();

	constructor(
		private readonly time: SimulatedTime,
		private readonly next: () => number,
		private readonly checksTokens = true,
	) {}

	client(): DutyApi {
		return {
			reportUsage: (caller, report) => this.call(caller, 'usage', report),
			orderEngines: (caller, order) => this.call(caller, `${order.service} ${order.domain}`, order),
			close: async () => {},
		};
	}

	private async call(
		caller: DutyCaller,
		subject: string,
		payload: UsageReport | EngineOrder,
	): Promise<DutyAnswer> {
		if (this.isDown) {
			await this.time.sleep(timeoutMs);
			return dutyAnswers.unknown;
		}
		this.calledAt = this.calledAt.filter((at) => this.time.now - at < 1000);
		if (this.calledAt.length >= this.callsPerSecond) {
			this.throttledCalls++;
			await this.time.sleep(latencyMs);
			return dutyAnswers.busy;
		}
		this.calledAt.push(this.time.now);
		if (this.next() < this.delayed.share) {
			void this.time.sleep(this.delayed.ms).then(() => this.execute(caller, subject, payload));
			await this.time.sleep(timeoutMs);
			return dutyAnswers.unknown;
		}
		await this.time.sleep(latencyMs);
		return this.execute(caller, subject, payload);
	}

	private execute(
		caller: DutyCaller,
		subject: string,
		payload: UsageReport | EngineOrder,
	): DutyAnswer {
		const highest = this.highest.get(subject) ?? 0;
		const isSuperseded = this.checksTokens && caller.token < highest;
		const isUnavailable =
			'domain' in payload &&
			payload.spot &&
			payload.count > 0 &&
			this.spotUnavailable.has(payload.domain);
		const isRefused = isSuperseded || isUnavailable;
		this.calls.push({ at: this.time.now, caller, payload, isRefused });
		if (!isSuperseded) {
			this.highest.set(subject, Math.max(highest, caller.token));
		}
		if (isRefused) {
			return dutyAnswers.refused;
		}
		if ('window' in payload) {
			this.reports.set(payload.window, [...(this.reports.get(payload.window) ?? []), payload]);
		}
		return dutyAnswers.done;
	}
}
