/**
 * What one VM at a time does for the whole fleet, and what all VMs do for it: every VM counts the requests that begin to
 * run and tells the holder of the duty, which reports them and orders engines.
 * @module
 */
import type { Clock, Log, Random } from '../../core/definitions.js';
import type { DutyApi } from '../../core/duties/definitions.js';
import { DutyHolder } from '../../core/duties/duty-holder.js';
import { EngineAutoscaler } from '../../core/duties/engine-autoscaler.js';
import type { SizingStrategy } from '../../core/duties/engine-sizing.js';
import { FleetClock } from '../../core/duties/fleet-clock.js';
import type { UsageAck, UsageCounts } from '../../core/duties/types.js';
import { UsageCollector } from '../../core/duties/usage-collector.js';
import { UsageCounter } from '../../core/duties/usage-counter.js';
import { UsageReporter } from '../../core/duties/usage-reporter.js';
import { UsageSender } from '../../core/duties/usage-sender.js';
import type { EngineDirectory } from '../../core/engines/engine-directory.js';
import { parseAddress } from '../../core/fleet/aggregator-selection.js';
import type { FleetView } from '../../core/fleet/fleet-view.js';
import { maxContactAgeMs } from '../../core/fleet/reader-selection.js';
import type { LimitLedger } from '../../core/limits/limit-ledger.js';
import type { DutySettings, HostPort } from '../../core/relay/settings.js';
import type { UsageRecorder } from '../../core/relay/types.js';
import type { Service } from '../../core/routing/types.js';
import type { Store } from '../../core/store/definitions.js';
import type { StoreSync } from './store-sync.js';

/** Counts are kept for so many times the delay that a report may have: by then it was made, or is of no use. */
const keptDelays = 2;

/** Messages about counts to other VMs. */
export interface UsageTransport {
	sendUsage(to: HostPort, usage: UsageCounts): void;
	sendUsageAck(to: HostPort, taken: UsageAck): void;
}

export interface FleetDutiesOptions {
	settings: DutySettings;
	sizing: SizingStrategy;
	vm: string;
	/** Tells this process from an earlier one of the same VM. */
	incarnation: number;
	/** Where this VM hears others, as IP:PORT. */
	address: string;
	api: DutyApi;
	store: Store;
	clock: Clock;
	random: Random;
	log: Log;
	keys: { holder: string; reports: string };
	fleet: FleetView;
	engines: EngineDirectory;
	limits: LimitLedger;
	storeSync: () => StoreSync;
	transport: () => UsageTransport;
	/** Services of the configuration in force. */
	services: () => readonly Service[];
	registeredVmCount: () => number | undefined;
	/** Names of those VMs. */
	vmNames: () => readonly string[];
	/** Something that the other VMs should know at once. */
	onChanged: () => void;
}

export class FleetDuties implements UsageRecorder {
	private readonly holder: DutyHolder;
	private readonly time: FleetClock;
	private readonly counter: UsageCounter;
	private readonly sender: UsageSender;
	private readonly collector: UsageCollector;
	private readonly reporter: UsageReporter;
	private readonly orders: EngineAutoscaler;
	/** Windows reported in time and not, and orders that the platform took, since the start. */
	readonly totals = { reported: 0, missed: 0, orders: 0 };

	constructor(private readonly opts: FleetDutiesOptions) {
		const { settings, store, clock, random, log, vm, incarnation: life, address, api, keys } = opts;
		const { windowMs, usageDelayMs: delayMs, leaseMs, checksTokens } = settings;
		this.time = new FleetClock(clock);
		const time = () => this.time.now();
		const now = () => clock.monotonic();
		this.holder = new DutyHolder({
			store,
			clock,
			random,
			log,
			vm,
			key: keys.holder,
			leaseMs,
			checksTokens,
			rank: () => opts.storeSync().dutyRank,
			isIsolated: () => opts.fleet.size === 1 && (opts.registeredVmCount() ?? 1) > 1,
			otherHolderToken: () => opts.fleet.dutyHolder(maxContactAgeMs)?.dutyToken,
			onChanged: opts.onChanged,
		});
		this.counter = new UsageCounter({ windowMs, retentionMs: delayMs * keptDelays, time });
		this.collector = new UsageCollector(time);
		const { counter } = this;
		const send = (to: string, usage: UsageCounts) => this.send(to, usage);
		this.sender = new UsageSender({ vm, incarnation: life, address, counter, now, time, send });
		this.reporter = new UsageReporter({
			store,
			api,
			holder: this.holder,
			collector: this.collector,
			clock,
			log,
			vm,
			keys,
			windowMs,
			delayMs,
			time,
			vms: opts.vmNames,
			onReported: () => this.totals.reported++,
			onReportedLate: () => this.totals.missed++,
		});
		this.orders = new EngineAutoscaler({
			api,
			holder: this.holder,
			clock,
			log,
			vm,
			sizing: opts.sizing,
			callsPerSecond: settings.callsPerSecond,
			services: () => opts.services().filter(({ scaling: supply }) => supply !== undefined),
			engines: (service) => this.enginesOf(service),
			rateLimitedEngines: (service) => this.limitedEngines(service),
			busyEngines: (service) => this.busyEngines(service),
			isUpToDate: () => this.isUpToDate,
			onOrdered: () => this.totals.orders++,
		});
	}

	/** The token under which this VM acts for the fleet; undefined while it does not. */
	get fencingToken(): number | undefined {
		return this.holder.token;
	}

	/** This VM stops: another may take the duty at once. */
	release(): Promise<void> {
		return this.holder.release();
	}

	/** The store came back from an older copy: what the duty goes by there may be gone. */
	handleStoreRestored(): void {
		this.reporter.handleStoreRestored();
		this.holder.handleStoreRestored();
	}

	recordStarted(customer: string, agoMs: number): void {
		if (this.opts.settings.reportsUsage) {
			this.counter.recordStart(customer, agoMs);
		}
	}

	/** Does what is due; called several times a second. Rejects only by a defect. */
	async update(): Promise<void> {
		const { settings } = this.opts;
		this.time.update();
		const due = [this.holder.update()];
		if (settings.reportsUsage) {
			this.sender.update(this.holderAddress);
			this.setClockRight();
			due.push(this.reporter.update());
		}
		if (settings.ordersEngines) {
			due.push(this.orders.update());
		}
		await Promise.all(due);
	}

	/** Another VM, or this one, tells what it counted. */
	receiveUsage(usage: UsageCounts): void {
		if (this.fencingToken === undefined) {
			return;
		}
		const taken = this.collector.merge(usage);
		if (usage.isFinal) {
			const differenceMs = this.collector.medianClockOffsetMs(this.opts.fleet.size);
			const told = { ...taken, time: differenceMs === undefined ? undefined : this.time.now() };
			this.answer(usage.address, told);
		}
	}

	/** The holder has taken in what this VM told. */
	handleUsageAck(taken: UsageAck): void {
		this.sender.handleAck(taken);
		if (taken.time !== undefined && this.fencingToken === undefined) {
			this.setClock(taken.time - this.time.now());
		}
	}

	private get holderAddress(): string | undefined {
		const isHolder = this.fencingToken !== undefined;
		return isHolder ? this.opts.address : this.opts.fleet.dutyHolder(maxContactAgeMs)?.address;
	}

	private send(to: string, usage: UsageCounts): void {
		if (to === this.opts.address) {
			this.receiveUsage(usage);
		} else {
			this.opts.transport().sendUsage(parseAddress(to), usage);
		}
	}

	private answer(to: string, taken: UsageAck): void {
		if (to === this.opts.address) {
			this.handleUsageAck(taken);
		} else {
			this.opts.transport().sendUsageAck(parseAddress(to), taken);
		}
	}

	/** The holder's own clock may be the wrong one. */
	private setClockRight(): void {
		const differenceMs = this.collector.medianClockOffsetMs(this.opts.fleet.size);
		if (
			this.fencingToken !== undefined &&
			differenceMs !== undefined &&
			this.setClock(differenceMs)
		) {
			this.collector.resetClockOffsets();
		}
	}

	private setClock(differenceMs: number): boolean {
		const isSet = this.time.correct(differenceMs);
		if (isSet) {
			this.opts.log.warn('clock.set', { difference_ms: Math.round(differenceMs) });
		}
		return isSet;
	}

	private enginesOf(service: string) {
		const ofService = [...this.opts.engines.all()].filter(
			({ registration: entry }) => entry.service === service,
		);
		// One that says in its answers that it leaves is replaced before the store tells of it.
		return ofService.map(({ registration: entry, isDraining: isLeaving }) => ({
			...entry,
			draining: isLeaving,
		}));
	}

	private limitedEngines(service: string): number {
		const { engines, limits } = this.opts;
		const limited = [...engines.all()].filter(({ registration: entry, ref }) => {
			return entry.service === service && limits.getLimitPerS(ref) !== undefined;
		});
		return limited.length;
	}

	/** Demand of the fleet, by the requests that run at the service's engines. */
	private busyEngines(service: string): number {
		const { fleet, engines } = this.opts;
		const { long, short } = fleet.demand();
		let running = 0;
		let ofService = 0;
		for (const engine of engines.all()) {
			if (this.hasModel(engine.registration.service)) {
				const work = Math.max(0, fleet.workAt(engine.incarnationKey).running);
				running += work;
				ofService += engine.registration.service === service ? work : 0;
			}
		}
		return running === 0 ? 0 : ((long + short) * ofService) / running;
	}

	private hasModel(service: string): boolean {
		return this.opts.services().some(({ name, model }) => name === service && model !== undefined);
	}

	/** Of a fleet of which it hears less than half, a VM knows too little to order for it. */
	private get isUpToDate(): boolean {
		const { fleet, registeredVmCount: registeredVms, storeSync: reading } = this.opts;
		const hearsFleet = fleet.size * 2 >= (registeredVms() ?? Number.POSITIVE_INFINITY);
		return hearsFleet && reading().isUpToDate;
	}
}
