/**
 * Fleet-wide duties: every VM counts the requests that start to run and sends the counts to the duty holder, which reports them
 * to the platform and orders engines.
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
import { parseAddress } from '../../core/fleet/address.js';
import type { FleetView } from '../../core/fleet/fleet-view.js';
import { maxContactAgeMs } from '../../core/fleet/reader-selection.js';
import type { LimitLedger } from '../../core/limits/limit-ledger.js';
import type { DutySettings, HostPort } from '../../core/relay/settings.js';
import type { UsageRecorder } from '../../core/relay/types.js';
import type { Service } from '../../core/routing/types.js';
import type { Store } from '../../core/store/definitions.js';
import type { StoreSync } from './store-sync.js';

/** Retention of usage counts, as a multiple of the delay after which they are due; later reports are of no use. */
const retentionDelays = 2;

/** Sends usage counts and their acknowledgements to other VMs. */
export interface UsageTransport {
	sendUsage(to: HostPort, usage: UsageCounts): void;
	sendUsageAck(to: HostPort, ack: UsageAck): void;
}

export interface FleetDutiesOptions {
	settings: DutySettings;
	sizing: SizingStrategy;
	vm: string;
	/** Distinguishes this process from earlier ones of the same VM. */
	incarnation: number;
	/** Datagram address of this VM, as IP:PORT. */
	address: string;
	api: DutyApi;
	store: Store;
	clock: Clock;
	random: Random;
	log: Log;
	/** Store keys of the duty holder and of the reports. */
	keys: { holder: string; reports: string };
	fleet: FleetView;
	engines: EngineDirectory;
	limits: LimitLedger;
	storeSync: () => StoreSync;
	transport: () => UsageTransport;
	/** Services of the active configuration. */
	services: () => readonly Service[];
	/** Number of registered VMs, this one included; undefined before the registry was read. */
	registeredVmCount: () => number | undefined;
	/** Names of the registered VMs, this one included. */
	vmNames: () => readonly string[];
	/** Called when other VMs should be updated at once. */
	onChanged: () => void;
}

export class FleetDuties implements UsageRecorder {
	private readonly holder: DutyHolder;
	private readonly fleetClock: FleetClock;
	private readonly counter: UsageCounter;
	private readonly sender: UsageSender;
	private readonly collector: UsageCollector;
	private readonly reporter: UsageReporter;
	private readonly autoscaler: EngineAutoscaler;
	/** Usage windows reported in time and late, and orders that the platform accepted, since the start. */
	readonly totals = { reported: 0, missed: 0, orders: 0 };

	constructor(private readonly opts: FleetDutiesOptions) {
		const { settings, store, clock, random, log, vm, incarnation, address, api, keys } = opts;
		const { windowMs, usageDelayMs: delayMs, leaseMs, checksTokens } = settings;
		this.fleetClock = new FleetClock(clock);
		const time = () => this.fleetClock.now();
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
			getRank: () => opts.storeSync().dutyRank,
			isIsolated: () => opts.fleet.size === 1 && (opts.registeredVmCount() ?? 1) > 1,
			getOtherHolderToken: () => opts.fleet.getDutyHolder(maxContactAgeMs)?.dutyToken,
			onChanged: opts.onChanged,
		});
		this.counter = new UsageCounter({ windowMs, retentionMs: delayMs * retentionDelays, time });
		this.collector = new UsageCollector(time);
		const { counter } = this;
		const send = (to: string, usage: UsageCounts) => this.sendUsage(to, usage);
		this.sender = new UsageSender({ vm, incarnation, address, counter, now, time, send });
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
			vmNames: opts.vmNames,
			onReported: () => this.totals.reported++,
			onReportedLate: () => this.totals.missed++,
		});
		this.autoscaler = new EngineAutoscaler({
			api,
			holder: this.holder,
			clock,
			log,
			vm,
			sizing: opts.sizing,
			callsPerSecond: settings.callsPerSecond,
			getServices: () => opts.services().filter(({ scaling }) => scaling !== undefined),
			getEngines: (service) => this.enginesOf(service),
			countRateLimitedEngines: (service) => this.countRateLimitedEngines(service),
			estimateBusyEngines: (service) => this.estimateBusyEngines(service),
			isUpToDate: () => this.isUpToDate,
			onOrdered: () => this.totals.orders++,
		});
	}

	/** Fencing token while this VM holds the duty; undefined otherwise. */
	get fencingToken(): number | undefined {
		return this.holder.token;
	}

	/** Gives up the duty before a stop, so that another VM can acquire it at once. */
	release(): Promise<void> {
		return this.holder.release();
	}

	/** Handles a restore of the store from an older copy, in which the keys of the duty may be missing. */
	handleStoreRestored(): void {
		this.reporter.handleStoreRestored();
		this.holder.handleStoreRestored();
	}

	recordStart(customer: string, agoMs: number): void {
		if (this.opts.settings.reportsUsage) {
			this.counter.recordStart(customer, agoMs);
		}
	}

	/** Performs the duties that are due; called several times a second. Rejects only because of a defect. */
	async update(): Promise<void> {
		const { settings } = this.opts;
		this.fleetClock.update();
		const due = [this.holder.update()];
		if (settings.reportsUsage) {
			this.sender.update(this.holderAddress);
			this.correctOwnClock();
			due.push(this.reporter.update());
		}
		if (settings.ordersEngines) {
			due.push(this.autoscaler.update());
		}
		await Promise.all(due);
	}

	/** Merges the counts of a VM if this one holds the duty, and acknowledges final counts. */
	handleUsage(usage: UsageCounts): void {
		if (this.fencingToken === undefined) {
			return;
		}
		const ack = this.collector.merge(usage);
		if (usage.isFinal) {
			const differenceMs = this.collector.getMedianClockOffsetMs(this.opts.fleet.size);
			const ackWithTime = {
				...ack,
				time: differenceMs === undefined ? undefined : this.fleetClock.now(),
			};
			this.sendAck(usage.address, ackWithTime);
		}
	}

	/** Handles the holder's acknowledgement, which may also carry its time. */
	handleUsageAck(ack: UsageAck): void {
		this.sender.handleAck(ack);
		if (ack.time !== undefined && this.fencingToken === undefined) {
			this.correctClock(ack.time - this.fleetClock.now());
		}
	}

	private get holderAddress(): string | undefined {
		const isHolder = this.fencingToken !== undefined;
		return isHolder ? this.opts.address : this.opts.fleet.getDutyHolder(maxContactAgeMs)?.address;
	}

	private sendUsage(to: string, usage: UsageCounts): void {
		if (to === this.opts.address) {
			this.handleUsage(usage);
		} else {
			this.opts.transport().sendUsage(parseAddress(to), usage);
		}
	}

	private sendAck(to: string, ack: UsageAck): void {
		if (to === this.opts.address) {
			this.handleUsageAck(ack);
		} else {
			this.opts.transport().sendUsageAck(parseAddress(to), ack);
		}
	}

	/** Corrects the holder's clock by the median of the fleet, since its own clock may be the wrong one. */
	private correctOwnClock(): void {
		const differenceMs = this.collector.getMedianClockOffsetMs(this.opts.fleet.size);
		if (
			this.fencingToken !== undefined &&
			differenceMs !== undefined &&
			this.correctClock(differenceMs)
		) {
			this.collector.resetClockOffsets();
		}
	}

	/** @returns whether the clock was adjusted */
	private correctClock(differenceMs: number): boolean {
		const isCorrected = this.fleetClock.correct(differenceMs);
		if (isCorrected) {
			this.opts.log.warn('clock.set', { difference_ms: Math.round(differenceMs) });
		}
		return isCorrected;
	}

	private enginesOf(service: string) {
		const ofService = [...this.opts.engines.getAll()].filter(
			({ registration }) => registration.service === service,
		);
		// An engine that announces in an answer that it drains is replaced before the store lists it as draining.
		return ofService.map(({ registration, isDraining }) => ({
			...registration,
			draining: isDraining,
		}));
	}

	private countRateLimitedEngines(service: string): number {
		const { engines, limits } = this.opts;
		const limited = [...engines.getAll()].filter(({ registration, ref }) => {
			return registration.service === service && limits.getLimitPerS(ref) !== undefined;
		});
		return limited.length;
	}

	/** Estimates the busy engines of a service: its share of the fleet's demand, by running requests. */
	private estimateBusyEngines(service: string): number {
		const { fleet, engines } = this.opts;
		const { long, short } = fleet.getDemand();
		let running = 0;
		let runningOfService = 0;
		for (const engine of engines.getAll()) {
			if (this.hasModel(engine.registration.service)) {
				const engineRunning = Math.max(0, fleet.getWork(engine.incarnationKey).running);
				running += engineRunning;
				runningOfService += engine.registration.service === service ? engineRunning : 0;
			}
		}
		return running === 0 ? 0 : ((long + short) * runningOfService) / running;
	}

	private hasModel(service: string): boolean {
		return this.opts.services().some(({ name, model }) => name === service && model !== undefined);
	}

	/** Whether this VM knows enough to order engines: it receives gossip of half the fleet, and its store data is current. */
	private get isUpToDate(): boolean {
		const { fleet, registeredVmCount, storeSync } = this.opts;
		const hasMajority = fleet.size * 2 >= (registeredVmCount() ?? Number.POSITIVE_INFINITY);
		return hasMajority && storeSync().isUpToDate;
	}
}
