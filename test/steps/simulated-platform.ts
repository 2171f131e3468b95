/**
 * The platform's store and its API for duties, in one process and simulated time, with the faults that they may have.
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

/** Simulated time in which promises settle between two steps. */
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
			await settled();
		}
	}
}

/** Lets all promises that can settle do so. */
function settled(): Promise<void> {
	return new Promise((done) => setImmediate(done));
}

/** What the store does to the calls of one VM. */
export interface StoreFaults {
	/** Every call is refused, or gets no answer. */
	away?: 'refused' | 'silent';
	/** Writes are done, at once or so much later in milliseconds, and not answered. */
	lostWritesMs?: number;
}

const answerMs = 4;
const silentMs = 1000;

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
	/** What it held after each change, the newest last. */
	private readonly history: StoredState[] = [];
	private readonly eraSeen = new Map<string, number>();
	/** A VM gets its first answer of a new era. */
	onRestored: (vm: string) => void = () => {};

	constructor(private readonly time: SimulatedTime) {}

	/** The VM starts: its registration tells it the era. */
	started(vm: string): void {
		this.eraSeen.set(vm, this.era);
	}

	/** Comes back from a copy of some time ago; revisions are given out again. */
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

	/** The store as one VM reaches it. */
	seenBy(vm: string): Store {
		const call = <T>(action: () => T) => this.call(vm, action);
		return {
			calls: 0,
			lastAnsweredAt: 0,
			era: this.eraSeen.get(vm) ?? this.era,
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

	disturb(vm: string, faults: StoreFaults): void {
		this.faults.set(vm, faults);
	}

	private async call<T>(vm: string, action: () => T): Promise<T> {
		const { away } = this.faults.get(vm) ?? {};
		if (away) {
			await this.time.sleep(away === 'silent' ? silentMs : answerMs);
			const failure = away === 'silent' ? storeFailures.unknown : storeFailures.refused;
			throw new StoreError(failure, 'the store is away');
		}
		await this.time.sleep(answerMs / 2);
		// Its answer tells the era whatever the store says.
		const { era } = this;
		try {
			const result = action();
			await this.time.sleep(answerMs / 2);
			return result;
		} finally {
			this.answered(vm, era);
		}
	}

	private answered(vm: string, era: number): void {
		const before = this.eraSeen.get(vm) ?? era;
		this.eraSeen.set(vm, Math.max(before, era));
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
				// Its lease has ended meanwhile: nothing is done.
			}
		});
		await this.time.sleep(silentMs);
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

/** A call as the platform carried it out. */
export interface CarriedOut {
	at: number;
	caller: DutyCaller;
	what: UsageReport | EngineOrder;
	isRefused: boolean;
}

export class SimulatedApi {
	readonly calls: CarriedOut[] = [];
	readonly reports = new Map<number, UsageReport[]>();
	/** Domains without engines that may be taken away. */
	readonly dry = new Set<string>();
	/** Share of calls that get no answer and are carried out so much later, in milliseconds. */
	late = { share: 0, ms: 0 };
	isDown = false;
	/** Calls that are taken in a second; more are turned down. */
	callsPerSecond = 50;
	/** Calls that were turned down. */
	turnedDown = 0;
	private calledAt: number[] = [];
	private readonly highest = new Map<string, number>();

	constructor(
		private readonly time: SimulatedTime,
		private readonly next: () => number,
		private readonly checksTokens = true,
	) {}

	seenBy(): DutyApi {
		return {
			reportUsage: (caller, report) => this.call(caller, 'usage', report),
			orderEngines: (caller, order) => this.call(caller, `${order.service} ${order.domain}`, order),
			close: async () => {},
		};
	}

	private async call(
		caller: DutyCaller,
		subject: string,
		what: UsageReport | EngineOrder,
	): Promise<DutyAnswer> {
		if (this.isDown) {
			await this.time.sleep(silentMs);
			return dutyAnswers.unknown;
		}
		this.calledAt = this.calledAt.filter((at) => this.time.now - at < 1000);
		if (this.calledAt.length >= this.callsPerSecond) {
			this.turnedDown++;
			await this.time.sleep(answerMs);
			return dutyAnswers.busy;
		}
		this.calledAt.push(this.time.now);
		if (this.next() < this.late.share) {
			void this.time.sleep(this.late.ms).then(() => this.carryOut(caller, subject, what));
			await this.time.sleep(silentMs);
			return dutyAnswers.unknown;
		}
		await this.time.sleep(answerMs);
		return this.carryOut(caller, subject, what);
	}

	private carryOut(
		caller: DutyCaller,
		subject: string,
		what: UsageReport | EngineOrder,
	): DutyAnswer {
		const highest = this.highest.get(subject) ?? 0;
		const isOvertaken = this.checksTokens && caller.token < highest;
		const isDry = 'domain' in what && what.spot && what.count > 0 && this.dry.has(what.domain);
		const isRefused = isOvertaken || isDry;
		this.calls.push({ at: this.time.now, caller, what, isRefused });
		if (!isOvertaken) {
			this.highest.set(subject, Math.max(highest, caller.token));
		}
		if (isRefused) {
			return dutyAnswers.refused;
		}
		if ('window' in what) {
			this.reports.set(what.window, [...(this.reports.get(what.window) ?? []), what]);
		}
		return dutyAnswers.done;
	}
}
