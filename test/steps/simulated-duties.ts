/**
 * VMs that share the duties in one process: simulated time, store, platform's API, and messages that get lost.
 * @module
 */
import { DutyHolder } from '../../src/core/duties/duty-holder.js';
import { FleetClock } from '../../src/core/duties/fleet-clock.js';
import type { UsageCounts } from '../../src/core/duties/types.js';
import { UsageCollector } from '../../src/core/duties/usage-collector.js';
import { UsageCounter } from '../../src/core/duties/usage-counter.js';
import { UsageReporter } from '../../src/core/duties/usage-reporter.js';
import { UsageSender } from '../../src/core/duties/usage-sender.js';
import { sequence, silentLog } from './relay-fakes.js';
import { SimulatedApi, SimulatedStore, SimulatedTime } from './simulated-platform.js';

export const leaseMs = 3000;
export const windowMs = 5000;
export const delayMs = 10_000;
const keys = { holder: 'holder', reports: 'usage' };
const lookMs = 50;
/** News of the holder reach the other VMs within so long. */
const newsMs = 200;

interface Parts {
	holder: DutyHolder;
	counter: UsageCounter;
	sender: UsageSender;
	collector: UsageCollector;
	reporter: UsageReporter;
}

export interface DutyVm extends Parts {
	name: string;
	life: number;
	isRunning: boolean;
	/** It stands still: nothing of it runs. */
	isFrozen: boolean;
	/** Since when it is suspended, and for how long it was before: its steady clock stands still meanwhile. */
	suspendedSince?: number;
	suspendedMs: number;
	/** It neither hears nor is heard by the others. */
	isCutOff: boolean;
}

export class SimulatedDuties {
	readonly time = new SimulatedTime();
	readonly store = new SimulatedStore(this.time);
	readonly api: SimulatedApi;
	readonly vms: DutyVm[] = [];
	/** Requests that began, by window and customer: what reports should say. */
	readonly truth = new Map<number, Map<string, number>>();
	/** Share of messages that are lost. */
	lost = 0;
	/** What the holder is known as to the others. */
	private known?: { vm: DutyVm; token: number; at: number };
	private readonly next: () => number;
	private lives = 0;

	constructor(
		count: number,
		seed = 1,
		private readonly checksTokens = true,
	) {
		this.next = sequence(seed);
		this.store.onRestored = (name) => {
			const vm = this.vms.find((one) => one.name === name);
			vm?.reporter.handleStoreRestored();
			vm?.holder.handleStoreRestored();
		};
		this.api = new SimulatedApi(this.time, this.next, checksTokens);
		for (let at = 0; at < count; at++) {
			const vm = { name: `vm-${at}`, isFrozen: false, isCutOff: false, suspendedMs: 0 } as DutyVm;
			this.vms.push(vm);
			this.start(vm);
		}
	}

	get running(): DutyVm[] {
		return this.vms.filter((vm) => vm.isRunning && !vm.isFrozen);
	}

	/** The VM with the highest token. */
	get holder(): DutyVm | undefined {
		const holders = this.running.filter((vm) => vm.holder.token !== undefined);
		holders.sort((a, b) => (b.holder.token ?? 0) - (a.holder.token ?? 0));
		return holders[0];
	}

	suspend(vm: DutyVm): void {
		vm.isFrozen = true;
		vm.suspendedSince ??= this.time.now;
	}

	wake(vm: DutyVm): void {
		vm.isFrozen = false;
		vm.suspendedMs += this.time.now - (vm.suspendedSince ?? this.time.now);
		vm.suspendedSince = undefined;
	}

	start(vm: DutyVm): void {
		vm.life = ++this.lives;
		vm.isRunning = true;
		this.store.started(vm.name);
		Object.assign(vm, this.partsOf(vm));
	}

	/** A request of a customer begins at the VM now. */
	begin(vm: DutyVm, customer: string): void {
		vm.counter.recordStart(customer);
		const window = Math.floor(this.wall / windowMs);
		const counts = this.truth.get(window) ?? new Map<string, number>();
		this.truth.set(window, counts);
		counts.set(customer, (counts.get(customer) ?? 0) + 1);
	}

	/** Unix milliseconds. */
	get wall(): number {
		return 1_700_000_000_000 + this.time.now;
	}

	/** @param traffic whether each VM begins a request now and then */
	async run(ms: number, traffic = true): Promise<void> {
		for (const until = this.time.now + ms; this.time.now < until; ) {
			await this.time.run(lookMs);
			this.tellHolder();
			for (const vm of this.running) {
				if (traffic && this.next() < 0.3) {
					this.begin(vm, `customer-${Math.floor(this.next() * 3)}`);
				}
				void vm.holder.update();
				vm.sender.update(this.holderSeenBy(vm)?.name);
				void vm.reporter.update();
			}
		}
	}

	private partsOf(vm: DutyVm): Parts {
		const { time, store, api } = this;
		const steady = () => (vm.suspendedSince ?? time.now) - vm.suspendedMs;
		const clock = { monotonic: steady, sinceBoot: () => time.now, wall: () => this.wall };
		const fleetClock = new FleetClock(clock);
		const { life, name } = vm;
		const ownStore = store.seenBy(name);
		const holder = new DutyHolder({
			store: ownStore,
			clock,
			random: { next: this.next, hex: () => `${name} ${life} ${this.next()}` },
			log: silentLog,
			vm: name,
			key: keys.holder,
			leaseMs,
			checksTokens: this.checksTokens,
			rank: () => this.vms.indexOf(vm),
			isIsolated: () => vm.isCutOff,
			otherHolderToken: () => this.tokenHeardBy(vm),
			onChanged: () => {},
		});
		const now = steady;
		const wall = () => fleetClock.now();
		const counter = new UsageCounter({ windowMs, retentionMs: delayMs * 2, time: wall });
		const collector = new UsageCollector(wall);
		const send = (to: string, usage: UsageCounts) => this.send(vm, to, usage);
		const sender = new UsageSender({
			vm: name,
			incarnation: life,
			address: name,
			counter,
			now,
			time: wall,
			send,
		});
		const reporter = new UsageReporter({
			store: ownStore,
			api: api.seenBy(),
			holder,
			collector,
			clock,
			log: silentLog,
			vm: name,
			keys,
			windowMs,
			delayMs,
			time: wall,
			vms: () => this.vms.map((one) => one.name),
			onReported() {},
			onReportedLate() {},
		});
		return { holder, counter, sender, collector, reporter };
	}

	/** News tell who holds the duty, as long as that VM is heard. */
	private tellHolder(): void {
		const { holder } = this;
		const token = holder?.holder.token;
		if (holder && token !== undefined && holder.holder.isLeaseValid && !holder.isCutOff) {
			const isNew = this.known?.token !== token;
			this.known = { vm: holder, token, at: isNew ? this.time.now + newsMs : 0 };
		} else {
			this.known = undefined;
		}
	}

	private holderSeenBy(vm: DutyVm): DutyVm | undefined {
		if (vm.holder.token !== undefined) {
			return vm;
		}
		const isHeard = this.known && this.time.now >= this.known.at && !vm.isCutOff;
		return isHeard ? this.known?.vm : undefined;
	}

	private tokenHeardBy(vm: DutyVm): number | undefined {
		const isHeard = this.known && this.time.now >= this.known.at && !vm.isCutOff;
		return isHeard && this.known?.vm !== vm ? this.known?.token : undefined;
	}

	private send(from: DutyVm, to: string, usage: UsageCounts): void {
		const target = this.vms.find(({ name }) => name === to);
		const isReached = from === target || !(from.isCutOff || target?.isCutOff);
		if (!target?.isRunning || target.isFrozen || !isReached || this.next() < this.lost) {
			return;
		}
		if (target.holder.token === undefined) {
			return;
		}
		const taken = target.collector.merge(usage);
		if (usage.isFinal && this.next() >= this.lost) {
			from.sender.handleAck(taken);
		}
	}
}
