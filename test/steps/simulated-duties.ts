/**
 * VMs that share the duties in one process, with simulated time, store, platform API and lossy messages.
 * @module
 */
import { DutyHolder } from '../../src/core/duties/duty-holder.js';
import { FleetClock } from '../../src/core/duties/fleet-clock.js';
import type { UsageCounts } from '../../src/core/duties/types.js';
import { UsageCollector } from '../../src/core/duties/usage-collector.js';
import { UsageCounter } from '../../src/core/duties/usage-counter.js';
import { UsageReporter } from '../../src/core/duties/usage-reporter.js';
import { UsageSender } from '../../src/core/duties/usage-sender.js';
import { seededRandom, silentLog } from './relay-fakes.js';
import { SimulatedApi, SimulatedStore, SimulatedTime } from './simulated-platform.js';

export const leaseMs = 3000;
export const windowMs = 5000;
export const delayMs = 10_000;
const keys = { holder: 'holder', reports: 'usage' };
const stepMs = 50;
/** Time until gossip about the holder reaches the other VMs. */
const gossipDelayMs = 200;

interface DutyParts {
	holder: DutyHolder;
	counter: UsageCounter;
	sender: UsageSender;
	collector: UsageCollector;
	reporter: UsageReporter;
}

export interface DutyVm extends DutyParts {
	name: string;
	incarnation: number;
	isRunning: boolean;
	/** The process does not run. */
	isFrozen: boolean;
	/** Start of the current suspension and total of earlier ones; the monotonic clock stops during them. */
	suspendedSince?: number;
	suspendedMs: number;
	/** No messages from or to other VMs. */
	isIsolated: boolean;
}

export class SimulatedDuties {
	readonly time = new SimulatedTime();
	readonly store = new SimulatedStore(this.time);
	readonly api: SimulatedApi;
	readonly vms: DutyVm[] = [];
	/** Started requests by window and customer, as the reports should have them. */
	readonly expectedCounts = new Map<number, Map<string, number>>();
	/** Share of lost messages. */
	lossRate = 0;
	/** Holder known to the other VMs by gossip. */
	private announced?: { vm: DutyVm; token: number; at: number };
	private readonly next: () => number;
	private incarnations = 0;

	constructor(
		count: number,
		seed = 1,
		private readonly checksTokens = true,
	) {
		this.next = seededRandom(seed);
		this.store.onRestored = (name) => {
			const vm = this.vms.find((one) => one.name === name);
			vm?.reporter.handleStoreRestored();
			vm?.holder.handleStoreRestored();
		};
		this.api = new SimulatedApi(this.time, this.next, checksTokens);
		for (let index = 0; index < count; index++) {
			const vm = {
				name: `vm-${index}`,
				isFrozen: false,
				isIsolated: false,
				suspendedMs: 0,
			} as DutyVm;
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
		vm.incarnation = ++this.incarnations;
		vm.isRunning = true;
		this.store.registerVm(vm.name);
		Object.assign(vm, this.createParts(vm));
	}

	/** Starts a request of a customer on the VM. */
	startRequest(vm: DutyVm, customer: string): void {
		vm.counter.recordStart(customer);
		const window = Math.floor(this.wall / windowMs);
		const counts = this.expectedCounts.get(window) ?? new Map<string, number>();
		this.expectedCounts.set(window, counts);
		counts.set(customer, (counts.get(customer) ?? 0) + 1);
	}

	/** Unix milliseconds. */
	get wall(): number {
		return 1_700_000_000_000 + this.time.now;
	}

	/** @param traffic whether the VMs start random requests */
	async run(ms: number, traffic = true): Promise<void> {
		for (const until = this.time.now + ms; this.time.now < until; ) {
			await this.time.run(stepMs);
			this.announceHolder();
			for (const vm of this.running) {
				if (traffic && this.next() < 0.3) {
					this.startRequest(vm, `customer-${Math.floor(this.next() * 3)}`);
				}
				void vm.holder.update();
				vm.sender.update(this.holderKnownTo(vm)?.name);
				void vm.reporter.update();
			}
		}
	}

	private createParts(vm: DutyVm): DutyParts {
		const { time, store, api } = this;
		const steady = () => (vm.suspendedSince ?? time.now) - vm.suspendedMs;
		const clock = { monotonic: steady, sinceBoot: () => time.now, wall: () => this.wall };
		const fleetClock = new FleetClock(clock);
		const { incarnation, name } = vm;
		const ownStore = store.clientFor(name);
		const holder = new DutyHolder({
			store: ownStore,
			clock,
			random: { next: this.next, hex: () => `${name} ${incarnation} ${this.next()}` },
			log: silentLog,
			vm: name,
			key: keys.holder,
			leaseMs,
			checksTokens: this.checksTokens,
			getRank: () => this.vms.indexOf(vm),
			isIsolated: () => vm.isIsolated,
			getOtherHolderToken: () => this.tokenKnownTo(vm),
			onChanged: () => {},
		});
		const now = steady;
		const wall = () => fleetClock.now();
		const counter = new UsageCounter({ windowMs, retentionMs: delayMs * 2, time: wall });
		const collector = new UsageCollector(wall);
		const send = (to: string, usage: UsageCounts) => this.send(vm, to, usage);
		const sender = new UsageSender({
			vm: name,
			incarnation,
			address: name,
			counter,
			now,
			time: wall,
			send,
		});
		const reporter = new UsageReporter({
			store: ownStore,
			api: api.client(),
			holder,
			collector,
			clock,
			log: silentLog,
			vm: name,
			keys,
			windowMs,
			delayMs,
			time: wall,
			vmNames: () => this.vms.map((one) => one.name),
			onReported() {},
			onReportedLate() {},
		});
		return { holder, counter, sender, collector, reporter };
	}

	/** Announces the holder to the other VMs while it can send gossip. */
	private announceHolder(): void {
		const { holder } = this;
		const token = holder?.holder.token;
		if (holder && token !== undefined && holder.holder.isLeaseValid && !holder.isIsolated) {
			const isNew = this.announced?.token !== token;
			this.announced = { vm: holder, token, at: isNew ? this.time.now + gossipDelayMs : 0 };
		} else {
			this.announced = undefined;
		}
	}

	private holderKnownTo(vm: DutyVm): DutyVm | undefined {
		if (vm.holder.token !== undefined) {
			return vm;
		}
		const isKnown = this.announced && this.time.now >= this.announced.at && !vm.isIsolated;
		return isKnown ? this.announced?.vm : undefined;
	}

	private tokenKnownTo(vm: DutyVm): number | undefined {
		const isKnown = this.announced && this.time.now >= this.announced.at && !vm.isIsolated;
		return isKnown && this.announced?.vm !== vm ? this.announced?.token : undefined;
	}

	private send(from: DutyVm, to: string, usage: UsageCounts): void {
		const target = this.vms.find(({ name }) => name === to);
		const isReachable = from === target || !(from.isIsolated || target?.isIsolated);
		if (!target?.isRunning || target.isFrozen || !isReachable || this.next() < this.lossRate) {
			return;
		}
		if (target.holder.token === undefined) {
			return;
		}
		const ack = target.collector.merge(usage);
		if (usage.isFinal && this.next() >= this.lossRate) {
			from.sender.handleAck(ack);
		}
	}
}
