/**
 * How this VM learns what the store holds: by following it, or from peers that do. Ties the followers of
 * configuration and engines to the VM's turn of reading and to what peers tell.
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
import type { PrefixFollowerOptions, PrefixListener } from '../../core/store/prefix-follower.js';
import { PrefixFollower } from '../../core/store/prefix-follower.js';
import { eraOf } from '../../core/store/revisions.js';
import type { PeerExchange } from './peer-exchange.js';

/**
 * Changes of engines within this share of the time that leaving engines have come with one call: each
 * change would wake a watch of every VM that reads the store.
 */
const enginesPauseShare = 0.25;
/**
 * Longest back-off while there is no configuration yet, in milliseconds: until then nothing can be served, but all VMs may
 * have started at once while the store is away.
 */
const firstBackoffMs = 400;

/** Time between two looks whether the store answers the other follower, and the longest wait for it, in milliseconds. */
const awaitedLookMs = 20;
const mostAwaitedMs = 5000;
/** In a large fleet the first watch waits so long after the start, in milliseconds: until the VMs have heard each other. */
const firstWatchMs = 1000;
/**
 * No VM acts for the fleet sooner after its start, in milliseconds: VMs that start together each seem to be the first until
 * they have heard each other, and 81 of them would all ask the store for the duty.
 */
const firstDutyMs = 1500;
/** Time between two looks whether the first watch may begin, in milliseconds. */
const firstWatchLookMs = 20;

/** How one prefix is followed. */
type Reading = Pick<PrefixFollowerOptions, 'firstMayBeStale' | 'pauseMs' | 'backOff'>;

export interface StoreSyncOptions {
	vm: string;
	store: Store;
	clock: Clock;
	random: Random;
	log: Log;
	/** Prefixes of the keys that are followed. */
	keys: { configuration: string; engines: string };
	/** A leaving engine gets nothing new after this time, in milliseconds. */
	drainMs: number;
	configuration: ConfigurationState;
	engines: EngineDirectory;
	fleet: FleetView;
	/** VMs that the store lists; undefined before they were read. */
	registeredVmCount: () => number | undefined;
	/** Names of the VMs that are known, this one included. */
	vmNames: () => readonly string[];
	/** Fencing token under which this VM acts for the whole fleet; undefined while it does not. */
	dutyToken: () => number | undefined;
	/** A peer tells of the store's era. */
	onPeerEra: (era: number) => void;
	/** Given as a function, since peers are told of this object too. */
	peers: () => PeerExchange;
	sleep: (ms: number) => Promise<void>;
}

export class StoreSync {
	private readonly selection: ReaderSelection;
	private readonly startedAt: number;
	private readonly configurationFollower: PrefixFollower;
	private readonly enginesFollower: PrefixFollower;

	constructor(private readonly opts: StoreSyncOptions) {
		const { keys, configuration, engines, drainMs } = opts;
		this.selection = new ReaderSelection(opts.vm);
		this.startedAt = opts.clock.sinceBoot();
		// By an old configuration new routes and keys would be denied; old engines are only found closed.
		this.configurationFollower = this.follower(keys.configuration, configuration, {
			firstMayBeStale: false,
			pauseMs: 0,
			backOff: opts.sleep,
		});
		const listener: PrefixListener = {
			applySnapshot: (...args) => engines.applySnapshot(...args),
			applyChanges: (changes) => engines.applyChanges(changes),
			handleStoreLost: () => this.enginesLost(),
		};
		this.enginesFollower = this.follower(keys.engines, listener, {
			firstMayBeStale: true,
			pauseMs: drainMs * enginesPauseShare,
			backOff: (ms) => this.sleepWhileAway(ms),
		});
	}

	/** Time between two renewals of this VM's registration, in milliseconds. */
	get renewalIntervalMs(): number {
		return this.selection.renewalIntervalMs;
	}

	/** Whether what this VM knows of configuration and engines is up to date. */
	get isUpToDate(): boolean {
		if (this.selection.isReader) {
			return this.followers.every((follower) => follower.isReachable);
		}
		return this.opts.fleet.countStoreReaders(maxContactAgeMs) > 0;
	}

	/**
	 * Place of this VM among those that may act for the whole fleet, from 0: those that read the store, once the VMs know
	 * each other.
	 */
	get dutyRank(): number | undefined {
		const knowsFleet =
			this.opts.registeredVmCount() !== undefined &&
			this.opts.clock.sinceBoot() - this.startedAt > firstDutyMs;
		return knowsFleet && this.followers.every((follower) => follower.isReachable)
			? this.selection.readerRank
			: undefined;
	}

	/** Whether others read the store for this VM, and none is heard that it answers. */
	get isStoreUnavailable(): boolean {
		return !this.selection.isReader && this.opts.fleet.countStoreReaders(maxContactAgeMs) === 0;
	}

	/** How long the store has not answered this VM, in milliseconds; since the start when it never did. */
	get storeUnreachableMs(): number {
		const { clock, store } = this.opts;
		return clock.sinceBoot() - Math.max(store.lastAnsweredAt, this.startedAt);
	}

	/** Follows until stopped; the loops end only by a defect. */
	follow(): Promise<void>[] {
		return this.followers.map((follower) => follower.follow());
	}

	/** Takes up or lays down reading the store; called several times a second. */
	update(): void {
		const { fleet, clock, log } = this.opts;
		const { selection } = this;
		const before = selection.isReader;
		const freshReaders = fleet.countStoreReaders(maxContactAgeMs);
		const isDutyHolder = this.opts.dutyToken() !== undefined;
		const snapshot = {
			names: this.opts.vmNames(),
			freshReaders,
			liveVms: fleet.size,
			isDutyHolder,
		};
		selection.update(snapshot, clock.monotonic());
		if (selection.isReader !== before) {
			log.info('store.reading', { reads: selection.isReader, peers: fleet.size - 1 });
			for (const follower of this.followers) {
				follower.setActive(selection.isReader);
			}
		}
		const peers = this.opts.peers();
		if (selection.isReadingForOthers && peers.sinceLastSendMs >= maxReaderSilenceMs) {
			peers.sendNow();
		}
	}

	/** A configuration came into force: engines are of use now, and peers hear of it at once. */
	handleConfigurationApplied(): void {
		this.enginesFollower.setActive(this.selection.isReader);
		this.announceChange();
	}

	/** Something that this VM read from the store changed: the others learn it at once. */
	announceChange(): void {
		if (this.followers.some((follower) => follower.isReachable)) {
			this.opts.peers().sendNow();
		}
	}

	/** What peers are told; undefined while this VM does not read the store itself. */
	getStoreStatus(): StoreStatus | undefined {
		if (!this.enginesFollower.isReachable) {
			return undefined;
		}
		const { revision, digest } = this.opts.engines;
		const dutyToken = this.opts.dutyToken() ?? 0;
		return { contactAgeMs: this.storeUnreachableMs, revision, digest, dutyToken };
	}

	/** A peer that reads the store told of it: changes of engines are fetched unless this VM reads it too. */
	handlePeerStatus(address: string, store: StoreStatus): void {
		const { engines } = this.opts;
		this.opts.onPeerEra(eraOf(store.revision));
		const isNews = store.revision >= engines.revision && store.digest !== engines.digest;
		const isFresh = store.contactAgeMs < maxContactAgeMs;
		if (!this.enginesFollower.isReachable && isFresh && isNews) {
			void this.opts.peers().fetchEngines(address);
		}
	}

	/** Engines changed since a revision, as text for a peer; undefined while this VM does not read the store. */
	exportEngines(revision: number): string | undefined {
		return this.enginesFollower.isReachable ? this.opts.engines.export(revision) : undefined;
	}

	/** Drops watches that may hang on a dead connection, and reads all again. */
	restart(): void {
		for (const follower of this.followers) {
			follower.restart();
		}
	}

	/** The store came back from an older copy: registrations of engines that live may be missing there for a moment. */
	handleStoreRestored(): void {
		this.opts.engines.handleStoreLost();
		this.restart();
	}

	/** The VM was suspended: what was read before proves nothing until it is read again. */
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

	/** Engines are of no use before a configuration: an outage at the start is probed by one call, not two. */
	private enginesLost(): void {
		this.opts.engines.handleStoreLost();
		if (this.opts.configuration.table === undefined) {
			this.enginesFollower.setActive(false);
		}
	}

	/** Waits until the fleet is known to be small, or whether this VM is one of those that read the store. */
	private async untilRoleIsKnown(): Promise<void> {
		const { clock, sleep, registeredVmCount: registeredVms } = this.opts;
		const latest = this.startedAt + firstWatchMs;
		const isSmall = () => (registeredVms() ?? Number.POSITIVE_INFINITY) <= smallFleetSize;
		while (this.selection.isReader && !isSmall() && clock.sinceBoot() < latest) {
			await sleep(firstWatchLookMs);
		}
	}

	/** While the configuration cannot be read either, one follower asks for both: the engines are read once it succeeds. */
	private async sleepWhileAway(ms: number): Promise<void> {
		const { clock, sleep } = this.opts;
		const until = clock.monotonic() + mostAwaitedMs;
		if (this.configurationFollower.isReachable) {
			await sleep(ms);
		}
		while (!this.configurationFollower.isReachable && clock.monotonic() < until) {
			await sleep(awaitedLookMs);
		}
	}

	private get followers(): PrefixFollower[] {
		return [this.configurationFollower, this.enginesFollower];
	}

	private follower(prefix: string, listener: PrefixListener, reading: Reading): PrefixFollower {
		const { store, clock, random, log, configuration, sleep } = this.opts;
		const isFirst = () => configuration.table === undefined;
		const maxBackoffMs = () => (isFirst() ? firstBackoffMs : this.selection.maxBackoffMs);
		const common = { store, clock, random, log, maxBackoffMs, sleep };
		return new PrefixFollower({
			...common,
			prefix,
			listener,
			beforeFirstWatch: () => this.untilRoleIsKnown(),
			...reading,
		});
	}
}
