/**
 * Keeps this VM registered in the store under a lease, and reads the registrations of the other VMs.
 * @module
 */
import type { Clock, Log, Random } from '../definitions.js';
import type { Store, StoreItem } from '../store/definitions.js';
import { StoreError, storeFailures } from '../store/definitions.js';
import { storedRevision } from '../store/revisions.js';
import { addressOf, isAddress, parseAddress } from './address.js';
import type { RegisteredVm } from './aggregator-selection.js';

/** Duration of the registration's lease. A VM that restarts within it takes its previous registration over. */
const leaseMs = 12_000;
/** Maximum interval between checks whether a renewal is due. */
const renewalCheckMs = 500;
/**
 * Intervals between reads of the other registrations, later and for the first few reads. Stale reads suffice, since a VM
 * that starts announces itself by gossip.
 */
const readIntervalMs = 8000;
const initialReadIntervalMs = 2000;
const initialReads = 4;
/** Minimum interval between reads because a VM is missing, in milliseconds. */
const refreshIntervalMs = 1000;
/** Delay of the second read after registering, which finds VMs that started at the same time. */
const secondReadDelayMs = 400;
/** Mean delay between attempts to register; jittered, since all VMs may retry at once after an outage. */
const retryMs = 1500;
/** Maximum delay between attempts while the store answers no VM. */
const outageRetryMs = 6000;
/**
 * Time over which the VMs spread rewrites of their registrations after the store was restored from a backup: 340 VMs then make
 * some 450 calls a second.
 */
const rewriteSpreadMs = 1500;
/** A VM stays listed for this time after its registration ended. */
const lingerMs = 10_000;

export interface VmRegistryOptions {
	store: Store;
	clock: Clock;
	random: Random;
	log: Log;
	/** Key prefix of all registrations. */
	prefix: string;
	/** Content of this VM's registration. */
	self: RegisteredVm;
	sleep: (ms: number) => Promise<void>;
	/**
	 * Current interval between renewals, in milliseconds. Renewals also detect dead connections, on which a watch would hang.
	 */
	renewalIntervalMs: () => number;
	/** Whether the store answers none of the VMs that read it for this one. */
	isStoreUnavailable: () => boolean;
	/** Called when a renewal fails, so that other calls that hang on the store can be dropped. */
	onStoreUnreachable: () => void;
}

interface Registration {
	vm: RegisteredVm;
	/** Time at which the registration was found missing, in monotonic milliseconds. */
	removedAt?: number;
}

export class VmRegistry {
	private readonly registrations = new Map<string, Registration>();
	private cachedOthers: RegisteredVm[] = [];
	private cachedNames: string[] = [];
	/** Time until which the cached lists are valid, in monotonic milliseconds. */
	private cachedUntil = Number.NEGATIVE_INFINITY;
	private lease?: number;
	/** Lease of this VM's registration in the last read, perhaps from a previous process. */
	private previousLease?: number;
	private isStopped = false;
	private readCount = 0;
	private lastReadAt = 0;
	private hasRead = false;
	private refreshing?: Promise<void>;
	/** Time of the next rewrite of the registration, in milliseconds since boot; undefined when none is needed. */
	private rewriteAt?: number;

	constructor(private readonly opts: VmRegistryOptions) {}

	/** Number of registered VMs, this one included; undefined before the first read. */
	get size(): number | undefined {
		return this.hasRead ? Math.max(1, this.getOthers().length + 1) : undefined;
	}

	/** Returns the other VMs; the same array until it changes. */
	getOthers(): readonly RegisteredVm[] {
		const now = this.opts.clock.monotonic();
		if (now >= this.cachedUntil) {
			this.updateCache(now);
		}
		return this.cachedOthers;
	}

	/** Names of all VMs, this one included; the same array until it changes. */
	get names(): readonly string[] {
		this.getOthers();
		return this.cachedNames;
	}

	private updateCache(now: number): void {
		this.cachedOthers = [];
		this.cachedUntil = Number.POSITIVE_INFINITY;
		for (const { vm, removedAt } of this.registrations.values()) {
			const until = removedAt === undefined ? Number.POSITIVE_INFINITY : removedAt + lingerMs;
			if (vm.name !== this.opts.self.name && now < until) {
				this.cachedOthers.push(vm);
				this.cachedUntil = Math.min(this.cachedUntil, until);
			}
		}
		this.cachedNames = [this.opts.self.name, ...this.cachedOthers.map((vm) => vm.name)];
	}

	/** Registers this VM and renews the registration until stopped. */
	async run(): Promise<void> {
		while (!this.isStopped) {
			try {
				await this.step();
				await this.waitForRenewal();
			} catch (err) {
				if (!(err instanceof StoreError)) {
					throw err;
				}
				this.handleFailure(err);
				await this.waitForRetry();
			}
		}
	}

	/**
	 * Stops renewing. The registration stays until its lease ends, so a restarted process can take it over; gossip announces
	 * that this VM stops.
	 */
	stop(): void {
		this.isStopped = true;
	}

	/** Schedules a rewrite after the store was restored from a backup, which may lack the registration though its lease lives. */
	scheduleRewrite(): void {
		const { clock, random } = this.opts;
		this.rewriteAt = clock.sinceBoot() + random.next() * rewriteSpreadMs;
	}

	/**
	 * Reads the registrations, as one that is missing may have been written since the last read. Resolves also when the store
	 * does not answer, or at once when they were read a moment ago.
	 */
	refresh(): Promise<void> {
		const sinceReadMs = this.opts.clock.monotonic() - this.lastReadAt;
		if (!this.refreshing && sinceReadMs < refreshIntervalMs) {
			return Promise.resolve();
		}
		this.refreshing ??= this.tryRead().finally(() => {
			this.refreshing = undefined;
		});
		return this.refreshing;
	}

	private async tryRead(): Promise<void> {
		try {
			await this.readOthers(false);
		} catch (err) {
			if (!(err instanceof StoreError)) {
				throw err;
			}
			this.opts.log.warn('vm.refresh-failed', { reason: err.failure, error: err.message });
		}
	}

	private get isRewriteDue(): boolean {
		return this.rewriteAt !== undefined && this.opts.clock.sinceBoot() >= this.rewriteAt;
	}

	private async step(): Promise<void> {
		if (this.lease !== undefined) {
			await this.opts.store.renewLease(this.lease);
			await this.rewriteIfDue(this.lease);
			const intervalMs = this.readCount <= initialReads ? initialReadIntervalMs : readIntervalMs;
			if (this.opts.clock.monotonic() - this.lastReadAt >= intervalMs) {
				await this.readOthers();
			}
			return;
		}
		await this.readOthers();
		this.lease = (await this.takeOver()) ?? (await this.register());
		await this.opts.sleep(secondReadDelayMs);
		if (!this.isStopped) {
			await this.readOthers();
		}
	}

	private async rewriteIfDue(lease: number): Promise<void> {
		if (this.isRewriteDue) {
			const { self, prefix, store, log } = this.opts;
			await store.put(prefix + self.name, encodeVm(self), lease);
			this.rewriteAt = undefined;
			log.info('vm.registered', { lease, taken_over: true });
		}
	}

	private async register(): Promise<number> {
		const { self, prefix, store, log } = this.opts;
		const lease = await store.grantLease(leaseMs);
		await store.put(prefix + self.name, encodeVm(self), lease);
		this.rewriteAt = undefined;
		log.info('vm.registered', { lease, taken_over: false });
		return lease;
	}

	/**
	 * Takes over the registration of a previous process if its lease still lives, which takes fewer calls than a new
	 * registration.
	 * @returns the lease; undefined when there is none
	 */
	private async takeOver(): Promise<number | undefined> {
		const { store, log } = this.opts;
		const lease = this.previousLease;
		this.previousLease = undefined;
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

	private async waitForRetry(): Promise<void> {
		const { clock, random, sleep, isStoreUnavailable } = this.opts;
		const until = clock.monotonic() + outageRetryMs;
		do {
			await sleep(retryMs * (0.5 + random.next()));
		} while (!this.isStopped && isStoreUnavailable() && clock.monotonic() < until);
	}

	/**
	 * Checks periodically, since the interval shortens when this VM becomes a reader, and since the lease has to be renewed
	 * right after a suspension.
	 */
	private async waitForRenewal(): Promise<void> {
		const jitter = 0.9 + 0.2 * this.opts.random.next();
		const startedAt = this.opts.clock.sinceBoot();
		do {
			await this.opts.sleep(Math.min(renewalCheckMs, this.opts.renewalIntervalMs()) * jitter);
		} while (
			!this.isStopped &&
			!this.isRewriteDue &&
			this.opts.clock.sinceBoot() - startedAt < this.opts.renewalIntervalMs() * jitter - 1
		);
	}

	private async readOthers(mayBeStale = true): Promise<void> {
		this.readCount++;
		this.lastReadAt = this.opts.clock.monotonic();
		const { items } = await this.opts.store.range(this.opts.prefix, mayBeStale);
		this.hasRead = true;
		const found = new Set(items.map((item) => this.vmNameOf(item.key)));
		for (const item of items) {
			this.addRegistration(item);
		}
		for (const vm of this.registrations.keys()) {
			if (!found.has(vm)) {
				this.markRemoved(vm);
			}
		}
		this.cachedUntil = Number.NEGATIVE_INFINITY;
	}

	private handleFailure(err: StoreError): void {
		if (err.failure === storeFailures.leaseEnded) {
			this.lease = undefined;
			this.previousLease = undefined;
		}
		this.opts.log.warn('vm.renewal-failed', { reason: err.failure, error: err.message });
		this.opts.onStoreUnreachable();
	}

	private addRegistration(item: StoreItem): void {
		const name = this.vmNameOf(item.key);
		const { self } = this.opts;
		if (name === self.name && item.value === encodeVm(self) && item.lease !== 0) {
			this.previousLease = item.lease;
		}
		const vm = decodeVm(name, item.value);
		if (vm) {
			this.registrations.set(name, { vm });
			return;
		}
		const revision = storedRevision(item.revision);
		this.opts.log.warn('vm.unreadable', { key: item.key, revision });
	}

	private markRemoved(vm: string): void {
		const registration = this.registrations.get(vm);
		if (registration) {
			registration.removedAt ??= this.opts.clock.monotonic();
		}
	}

	private vmNameOf(key: string): string {
		return key.slice(this.opts.prefix.length);
	}
}

/** Encodes a registration as "IP:PORT CORES DOMAIN". */
function encodeVm({ address, cores, domain }: RegisteredVm): string {
	return `${addressOf(address)} ${cores} ${domain}`;
}

const vmPattern = /^(\S+) (\d+(?:\.\d+)?) (.+)$/;

/** @returns undefined when the value is not a registration */
function decodeVm(name: string, value: string): RegisteredVm | undefined {
	const [, address, cores, domain] = vmPattern.exec(value) ?? [];
	if (address === undefined || domain === undefined || !isAddress(address)) {
		return undefined;
	}
	return { name, domain, address: parseAddress(address), cores: Number(cores) };
}
