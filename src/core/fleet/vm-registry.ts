/**
 * Keeps this VM registered in the store under a lease, and reads the registrations of the others.
 * @module
 */
import type { Clock, Log, Random } from '../definitions.js';
import type { Store, StoreItem } from '../store/definitions.js';
import { StoreError, storeFailures } from '../store/definitions.js';
import { storedRevision } from '../store/revisions.js';
import type { RegisteredVm } from './aggregator-selection.js';
import { addressOf, parseAddress } from './aggregator-selection.js';

/** The registration ends so long after the last renewal, in milliseconds; a VM that starts anew within it goes on with it. */
const leaseMs = 12_000;
/** Shortest wait between two looks whether a renewal is due, in milliseconds. */
const lookMs = 500;
/**
 * The others are read so often, in milliseconds, by reads that may be stale and cost a tenth: a VM
 * that starts tells the others of itself. Just after the start they are read more often.
 */
const readEveryMs = 8000;
const firstReadsEveryMs = 2000;
const firstReads = 4;
/** The others are read again so long after registering, in milliseconds: VMs that started together are listed then. */
const secondReadMs = 400;
/** Between tries to register, in milliseconds; all VMs may try at once after an outage. */
const retryMs = 1500;
/**
 * While others are heard, and none that the store answers, a VM tries so seldom, in milliseconds. Once one is heard that the
 * store answers, it tries within the time above.
 */
const outageRetryMs = 6000;
/**
 * After the store came back from an older copy each VM writes its registration again at a moment within this time, in
 * milliseconds: 340 VMs make 450 calls a second of it, and the store takes 1,200 to 3,200.
 */
const writeAgainMs = 1500;
/** A VM whose registration ended is still told news for so long, in milliseconds. */
const lingerMs = 10_000;

export interface VmRegistryOptions {
	store: Store;
	clock: Clock;
	random: Random;
	log: Log;
	/** Prefix of the keys of all VMs. */
	prefix: string;
	/** What the others are told of this VM. */
	self: RegisteredVm;
	sleep: (ms: number) => Promise<void>;
	/**
	 * Time between renewals now, in milliseconds. They also show that the store is reached: a watch that
	 * hangs on a dead connection is dropped at the first that fails.
	 */
	renewalIntervalMs: () => number;
	/** Whether others try to read the store for this VM, and it answers none of them. */
	isStoreUnavailable: () => boolean;
	/** A renewal failed: what else waits for the store may hang as well. */
	onStoreUnreachable: () => void;
}

interface Listed {
	vm: RegisteredVm;
	/** Set when the registration ended. */
	goneAt?: number;
}

export class VmRegistry {
	private readonly listed = new Map<string, Listed>();
	private cachedOthers: RegisteredVm[] = [];
	private cachedNames: string[] = [];
	/** When the list of others may change by itself, in monotonic milliseconds. */
	private othersUntil = Number.NEGATIVE_INFINITY;
	private lease?: number;
	/** Lease of this VM's registration as the last read shows it. */
	private leaseBefore?: number;
	private stopped = false;
	private reads = 0;
	private readAt = 0;
	private wasRead = false;
	/** When the registration is written again, in milliseconds since boot; undefined when the store surely has it. */
	private writeAgainAt?: number;

	constructor(private readonly opts: VmRegistryOptions) {}

	/** VMs that the store lists, this one included; undefined before the first read. */
	get size(): number | undefined {
		return this.wasRead ? Math.max(1, this.others().length + 1) : undefined;
	}

	/** The other VMs; the same list until it changes, since it is asked for often. */
	others(): readonly RegisteredVm[] {
		const now = this.opts.clock.monotonic();
		if (now >= this.othersUntil) {
			this.listOthers(now);
		}
		return this.cachedOthers;
	}

	/** Names of all VMs, this one included; the same list until it changes. */
	get names(): readonly string[] {
		this.others();
		return this.cachedNames;
	}

	private listOthers(now: number): void {
		this.cachedOthers = [];
		this.othersUntil = Number.POSITIVE_INFINITY;
		for (const { vm, goneAt } of this.listed.values()) {
			const until = goneAt === undefined ? Number.POSITIVE_INFINITY : goneAt + lingerMs;
			if (vm.name !== this.opts.self.name && now < until) {
				this.cachedOthers.push(vm);
				this.othersUntil = Math.min(this.othersUntil, until);
			}
		}
		this.cachedNames = [this.opts.self.name, ...this.cachedOthers.map((vm) => vm.name)];
	}

	/** Registers and renews until stopped. */
	async run(): Promise<void> {
		while (!this.stopped) {
			try {
				await this.step();
				await this.untilRenewal();
			} catch (err) {
				if (!(err instanceof StoreError)) {
					throw err;
				}
				this.failed(err);
				await this.untilRetry();
			}
		}
	}

	/**
	 * The registration is left to its lease: a process that starts in its place takes it over, and the others are told by
	 * news that this VM stops.
	 */
	stop(): void {
		this.stopped = true;
	}

	/** The store came back from an older copy, which may lack the registration though its lease runs on. */
	scheduleRewrite(): void {
		const { clock, random } = this.opts;
		this.writeAgainAt = clock.sinceBoot() + random.next() * writeAgainMs;
	}

	private get mustWriteAgain(): boolean {
		return this.writeAgainAt !== undefined && this.opts.clock.sinceBoot() >= this.writeAgainAt;
	}

	private async step(): Promise<void> {
		if (this.lease !== undefined) {
			await this.opts.store.renewLease(this.lease);
			await this.writeAgain(this.lease);
			const every = this.reads <= firstReads ? firstReadsEveryMs : readEveryMs;
			if (this.opts.clock.monotonic() - this.readAt >= every) {
				await this.readOthers();
			}
			return;
		}
		await this.readOthers();
		this.lease = (await this.takeOver()) ?? (await this.register());
		await this.opts.sleep(secondReadMs);
		if (!this.stopped) {
			await this.readOthers();
		}
	}

	private async writeAgain(lease: number): Promise<void> {
		if (this.mustWriteAgain) {
			const { self, prefix, store, log } = this.opts;
			await store.put(prefix + self.name, encodeVm(self), lease);
			this.writeAgainAt = undefined;
			log.info('vm.registered', { lease, taken_over: true });
		}
	}

	private async register(): Promise<number> {
		const { self, prefix, store, log } = this.opts;
		const lease = await store.grantLease(leaseMs);
		await store.put(prefix + self.name, encodeVm(self), lease);
		this.writeAgainAt = undefined;
		log.info('vm.registered', { lease, taken_over: false });
		return lease;
	}

	/**
	 * Goes on with the registration of the process before, if its lease still runs: a renewal costs a twentieth of a new
	 * lease and key, and most VMs that start had ended seconds ago.
	 * @returns the lease; undefined when there is none
	 */
	private async takeOver(): Promise<number | undefined> {
		const { store, log } = this.opts;
		const lease = this.leaseBefore;
		this.leaseBefore = undefined;
		if (lease === undefined) {
			return undefined;
		}
		try {
			await store.renewLease(lease);
		} catch (err) {
			if (err instanceof StoreError && err.failure === storeFailures.leaseEnded) {
				return undefined;
			}
			throw err;
		}
		log.info('vm.registered', { lease, taken_over: true });
		return lease;
	}

	private async untilRetry(): Promise<void> {
		const { clock, random, sleep, isStoreUnavailable: isStoreAway } = this.opts;
		const until = clock.monotonic() + outageRetryMs;
		do {
			await sleep(retryMs * (0.5 + random.next()));
		} while (!this.stopped && isStoreAway() && clock.monotonic() < until);
	}

	/**
	 * Looks now and then, since a VM whose turn it becomes to read the store renews sooner, and since the lease runs on while
	 * the VM is suspended: it is renewed right after.
	 */
	private async untilRenewal(): Promise<void> {
		const jitter = 0.9 + 0.2 * this.opts.random.next();
		const since = this.opts.clock.sinceBoot();
		do {
			await this.opts.sleep(Math.min(lookMs, this.opts.renewalIntervalMs()) * jitter);
		} while (
			!this.stopped &&
			!this.mustWriteAgain &&
			this.opts.clock.sinceBoot() - since < this.opts.renewalIntervalMs() * jitter - 1
		);
	}

	private async readOthers(): Promise<void> {
		this.reads++;
		this.readAt = this.opts.clock.monotonic();
		const { items } = await this.opts.store.range(this.opts.prefix, true);
		this.wasRead = true;
		const seen = new Set(items.map((item) => this.vmOf(item.key)));
		for (const item of items) {
			this.put(item);
		}
		for (const vm of this.listed.keys()) {
			if (!seen.has(vm)) {
				this.gone(vm);
			}
		}
		this.othersUntil = Number.NEGATIVE_INFINITY;
	}

	private failed(err: StoreError): void {
		if (err.failure === storeFailures.leaseEnded) {
			this.lease = undefined;
			this.leaseBefore = undefined;
		}
		this.opts.log.warn('vm.renewal-failed', { reason: err.failure, error: err.message });
		this.opts.onStoreUnreachable();
	}

	private put(item: StoreItem): void {
		const name = this.vmOf(item.key);
		const { self } = this.opts;
		if (name === self.name && item.value === encodeVm(self) && item.lease !== 0) {
			this.leaseBefore = item.lease;
		}
		const vm = decodeVm(name, item.value);
		if (vm) {
			this.listed.set(name, { vm });
			return;
		}
		const revision = storedRevision(item.revision);
		this.opts.log.warn('vm.unreadable', { key: item.key, revision });
	}

	private gone(vm: string): void {
		const listed = this.listed.get(vm);
		if (listed) {
			listed.goneAt ??= this.opts.clock.monotonic();
		}
	}

	private vmOf(key: string): string {
		return key.slice(this.opts.prefix.length);
	}
}

/** "IP:PORT CORES DOMAIN". */
function encodeVm({ address, cores, domain }: RegisteredVm): string {
	return `${addressOf(address)} ${cores} ${domain}`;
}

const vmPattern = /^(\d+\.\d+\.\d+\.\d+:\d+) (\d+(?:\.\d+)?) (.*)$/;

/** @returns undefined when another writer left something else under the key */
function decodeVm(name: string, value: string): RegisteredVm | undefined {
	const [, address, cores, domain] = vmPattern.exec(value) ?? [];
	if (address === undefined || domain === undefined) {
		return undefined;
	}
	return { name, domain, address: parseAddress(address), cores: Number(cores) };
}
