/**
 * Keeps configuration and engines in step with the store: follows it while this VM is selected as a reader, and otherwise
 * fetches changes from the peers that do.
 * @module
 */
import type { Clock, Log, Random } from '../../core/definitions.js';
import type { EngineDirectory } from '../../core/engines/engine-directory.js';
import type { FleetView } from '../../core/fleet/fleet-view.js';
import {
	maxContactAgeMs,
	maxReaderSilenceMs,
	ReaderSelection,
	smallFleetSize,
} from '../../core/fleet/reader-selection.js';
import type { StoreStatus } from '../../core/fleet/types.js';
import type { ConfigurationState } from '../../core/routing/configuration-state.js';
import type { Store } from '../../core/store/definitions.js';
import { MissedChanges } from '../../core/store/missed-changes.js';
import type { PrefixFollowerOptions, PrefixListener } from '../../core/store/prefix-follower.js';
import { PrefixFollower } from '../../core/store/prefix-follower.js';
import { eraOf } from '../../core/store/revisions.js';
import type { PeerExchange } from './peer-exchange.js';

/**
 * Pause between watches of engines, as a share of the drain time; batches changes, since each ends the watch of every
 * reader.
 */
const enginesPauseRatio = 0.25;
/**
 * Duration of a watch, as a share of the time within which a change has to take effect. Leaves room for a lost answer, which is
 * noticed when the watch times out, and for engines also for the pause before the watch.
 */
const configurationWatchRatio = 0.6;
const enginesWatchRatio = 0.4;
/** Duration of a watch on a VM that learns from its peers what the watch misses. */
const coveredWatchMs = 5000;
/**
 * Maximum back-off before the first configuration. Short, since nothing can be served until then, but not negligible, since
 * all VMs may start together while the store is unreachable.
 */
const startupBackoffMs = 400;

/** Poll interval and maximum wait of the engines' follower until the configuration's follower reaches the store. */
const reachablePollMs = 20;
const maxReachableWaitMs = 5000;
/** In a large fleet the first watch starts this long after the process, so that gossip of other VMs can arrive. */
const firstWatchDelayMs = 1000;
/**
 * Time after the start before this VM is a candidate for the duty. VMs that start together each rank first until they
 * receive gossip, and would all try to acquire it.
 */
const dutyDelayMs = 1500;
/** Poll interval until the first watch may start. */
const firstWatchPollMs = 20;

/** Options that differ between the followers. */
type FollowerBehavior = Pick<PrefixFollowerOptions, 'watchMs' | 'pauseMs' | 'backOff'>;

export interface StoreSyncOptions {
	vm: string;
	store: Store;
	clock: Clock;
	random: Random;
	log: Log;
	/** Key prefixes that are followed. */
	keys: { configuration: string; engines: string };
	/** Time after which a draining engine gets no new requests. */
	drainMs: number;
	/** Time within which a new configuration has to be in force. */
	configurationMs: number;
	configuration: ConfigurationState;
	engines: EngineDirectory;
	fleet: FleetView;
	/** Number of registered VMs, this one included; undefined before the registry was read. */
	registeredVmCount: () => number | undefined;
	/** Names of the known VMs, this one included; a change replaces the array. */
	vmNames: () => readonly string[];
	/** Fencing token while this VM holds the duty; undefined otherwise. */
	dutyToken: () => number | undefined;
	/** Called with the era of the store that a peer gossips. */
	onPeerEra: (era: number) => void;
	/** A function, since `PeerExchange` depends on this object too. */
	peers: () => PeerExchange;
	sleep: (ms: number) => Promise<void>;
}

export class StoreSync {
	private readonly selection: ReaderSelection;
	private readonly startedAt: number;
	private readonly configurationFollower: PrefixFollower;
	private readonly enginesFollower: PrefixFollower;
	private readonly missedChanges: MissedChanges;

	constructor(private readonly opts: StoreSyncOptions) {
		const { keys, configuration, engines, drainMs, configurationMs } = opts;
		const enginesPauseMs = drainMs * enginesPauseRatio;
		this.missedChanges = new MissedChanges(enginesPauseMs);
		this.selection = new ReaderSelection(opts.vm);
		this.startedAt = opts.clock.sinceBoot();
		this.configurationFollower = this.createFollower(keys.configuration, configuration, {
			watchMs: () => this.watchMs(configurationMs * configurationWatchRatio),
			pauseMs: 0,
			backOff: opts.sleep,
		});
		const listener: PrefixListener = {
			applySnapshot: (...args) => engines.applySnapshot(...args),
			applyChanges: (changes) => engines.applyChanges(changes),
			handleStoreLost: () => this.handleEnginesLost(),
		};
		this.enginesFollower = this.createFollower(keys.engines, listener, {
			watchMs: () => this.watchMs(drainMs * enginesWatchRatio),
			pauseMs: enginesPauseMs,
			backOff: (ms) => this.backOffEngines(ms),
		});
	}

	/** Interval between renewals of this VM's registration, in milliseconds. */
	get renewalIntervalMs(): number {
		return this.selection.renewalIntervalMs;
	}

	/** Whether configuration and engines are current, read from the store or received from peers that reach it. */
	get isUpToDate(): boolean {
		if (this.selection.isReader) {
			return this.followers.every((follower) => follower.isReachable);
		}
		return this.opts.fleet.countStoreReaders(maxContactAgeMs) > 0;
	}

	/** Rank of this VM among the candidates for the duty, from 0; undefined while it is not a candidate. */
	get dutyRank(): number | undefined {
		const knowsFleet =
			this.opts.registeredVmCount() !== undefined &&
			this.opts.clock.sinceBoot() - this.startedAt > dutyDelayMs;
		return knowsFleet && this.followers.every((follower) => follower.isReachable)
			? this.selection.readerRank
			: undefined;
	}

	/** Whether this VM relies on others to read the store, and the store answers none of them. */
	get isStoreUnavailable(): boolean {
		return !this.selection.isReader && this.opts.fleet.countStoreReaders(maxContactAgeMs) === 0;
	}

	/** Milliseconds since the store last answered this VM, or since the start if it never did. */
	get storeUnreachableMs(): number {
		const { clock, store } = this.opts;
		return clock.sinceBoot() - Math.max(store.lastAnsweredAt, this.startedAt);
	}

	/** Starts the followers; their promises settle after `stop`, and reject only because of a defect. */
	follow(): Promise<void>[] {
		return this.followers.map((follower) => follower.follow());
	}

	/** Starts or stops reading the store as the selection changes; called several times a second. */
	update(): void {
		const { fleet, clock, log } = this.opts;
		const { selection } = this;
		const wasReader = selection.isReader;
		const freshReaders = fleet.countStoreReaders(maxContactAgeMs);
		const isDutyHolder = this.opts.dutyToken() !== undefined;
		const snapshot = {
			names: this.opts.vmNames(),
			freshReaders,
			liveVms: fleet.size,
			isDutyHolder,
		};
		selection.update(snapshot, clock.monotonic());
		if (selection.isReader !== wasReader) {
			log.info('store.reading', { reads: selection.isReader, peers: fleet.size - 1 });
			for (const follower of this.followers) {
				follower.setActive(selection.isReader);
			}
		}
		this.rereadMissedEngines();
		const peers = this.opts.peers();
		if (selection.isReadingForOthers && peers.sinceLastSendMs >= maxReaderSilenceMs) {
			peers.sendNow();
		}
	}

	/** Follows the engines, which are not needed before a configuration, and announces the configuration to peers. */
	handleConfigurationApplied(): void {
		this.enginesFollower.setActive(this.selection.isReader);
		this.announceChange();
	}

	/** Sends gossip at once after a change, if this VM reads the store. */
	announceChange(): void {
		if (this.followers.some((follower) => follower.isReachable)) {
			this.opts.peers().sendNow();
		}
	}

	/** Status to gossip to peers; undefined while this VM does not read the store itself. */
	getStoreStatus(): StoreStatus | undefined {
		if (!this.enginesFollower.isReachable) {
			return undefined;
		}
		const { revision, digest } = this.opts.engines;
		const dutyToken = this.opts.dutyToken() ?? 0;
		return { contactAgeMs: this.storeUnreachableMs, revision, digest, dutyToken };
	}

	/**
	 * Handles the status gossiped by a peer that reads the store: fetches changed engines unless this VM reads it too, and
	 * otherwise remembers what its own watch has to deliver.
	 */
	handlePeerStatus(address: string, status: StoreStatus): void {
		const { engines, clock } = this.opts;
		this.opts.onPeerEra(eraOf(status.revision));
		if (status.digest === engines.digest) {
			engines.markCurrent(clock.sinceBoot() - status.contactAgeMs);
		}
		const isChanged = status.revision >= engines.revision && status.digest !== engines.digest;
		if (status.contactAgeMs >= maxContactAgeMs) {
			return;
		}
		if (this.enginesFollower.isReachable) {
			this.missedChanges.observe(address, engines, status, clock.sinceBoot());
		} else if (isChanged) {
			void this.opts.peers().fetchEngines(address);
		}
	}

	/** Serializes the engines changed since a revision for a peer; undefined while this VM does not read the store. */
	exportEngines(revision: number): string | undefined {
		return this.enginesFollower.isReachable ? this.opts.engines.export(revision) : undefined;
	}

	/**
	 * Cancels watches, which may hang on a dead connection, and reads everything again.
	 * @param reason for the log
	 */
	restart(reason: string): void {
		for (const follower of this.followers) {
			follower.restart(reason);
		}
	}

	/** Handles a restore from an older copy, in which registrations of live engines may be missing for a moment. */
	handleStoreRestored(): void {
		this.opts.engines.handleStoreLost();
		this.restart('the store was restored');
	}

	/** Marks the content as possibly stale after a suspension of the VM, until it is read again. */
	handleSuspension(): void {
		for (const follower of this.followers) {
			follower.invalidate();
		}
	}

	stop(): void {
		for (const follower of this.followers) {
			follower.stop();
		}
	}

	/** Reads the engines again if the watch has not delivered what peers have. */
	private rereadMissedEngines(): void {
		const { clock, engines } = this.opts;
		const { revision, digest } = engines;
		const { waitingSince, isReachable } = this.enginesFollower;
		const own = { revision, digest, waitingSince };
		if (this.missedChanges.isOverdue(own, clock.sinceBoot()) && isReachable) {
			this.enginesFollower.restart('a peer has other engines');
		}
	}

	/** Pauses the engines' follower before the first configuration, so that only one call at a time probes the store. */
	private handleEnginesLost(): void {
		this.opts.engines.handleStoreLost();
		if (this.opts.configuration.table === undefined) {
			this.enginesFollower.setActive(false);
		}
	}

	/** Waits until the fleet is known to be small, this VM is no reader, or the delay of the first watch has passed. */
	private async waitForFirstWatch(): Promise<void> {
		const { clock, sleep, registeredVmCount } = this.opts;
		const deadline = this.startedAt + firstWatchDelayMs;
		const isSmall = () => (registeredVmCount() ?? Number.POSITIVE_INFINITY) <= smallFleetSize;
		while (this.selection.isReader && !isSmall() && clock.sinceBoot() < deadline) {
			await sleep(firstWatchPollMs);
		}
	}

	/**
	 * Backs off the engines' follower. While the configuration's follower does not reach the store either, only that one
	 * retries, and this one waits for its success.
	 */
	private async backOffEngines(ms: number): Promise<void> {
		const { clock, sleep } = this.opts;
		const deadline = clock.monotonic() + maxReachableWaitMs;
		if (this.configurationFollower.isReachable) {
			await sleep(ms);
		}
		while (!this.configurationFollower.isReachable && clock.monotonic() < deadline) {
			await sleep(reachablePollMs);
		}
	}

	/**
	 * Duration of a watch. Few VMs notice a lost answer by themselves, so that the calls of a small fleet do not grow with it; the
	 * others hear of the change from these.
	 * @param ownMs duration with which this VM notices in time by itself
	 */
	private watchMs(ownMs: number): number {
		const isCovered =
			!this.selection.isPreferred && this.opts.fleet.countStoreReaders(maxContactAgeMs) > 0;
		return isCovered ? coveredWatchMs : ownMs;
	}

	private get followers(): PrefixFollower[] {
		return [this.configurationFollower, this.enginesFollower];
	}

	private createFollower(
		prefix: string,
		listener: PrefixListener,
		behavior: FollowerBehavior,
	): PrefixFollower {
		const { store, clock, random, log, configuration, sleep } = this.opts;
		const isFirst = () => configuration.table === undefined;
		const maxBackoffMs = () => (isFirst() ? startupBackoffMs : this.selection.maxBackoffMs);
		const common = { store, clock, random, log, maxBackoffMs, sleep };
		return new PrefixFollower({
			...common,
			prefix,
			listener,
			beforeFirstWatch: () => this.waitForFirstWatch(),
			...behavior,
		});
	}
}
