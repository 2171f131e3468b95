/**
 * This VM's view of the fleet, merged from its own work and gossip. A member reports to an aggregator and receives the
 * fleet's sums; an aggregator adds up its members' reports and the sums of the other aggregators. In a small fleet every
 * VM is an aggregator without members.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { CostModel } from '../engines/cost-model.js';
import type { AnswerGossip } from '../engines/fleet-health.js';
import type { LimitGossip } from '../limits/fleet-limits.js';
import type { CrashGossip } from '../quarantine/types.js';
import type { PromptSegment } from '../relay/definitions.js';
import { DemandMeter } from './demand-meter.js';
import { FleetWork } from './fleet-work.js';
import type { GossipContent } from './gossip-composer.js';
import { GossipComposer } from './gossip-composer.js';
import type { GossipSource } from './gossip-source.js';
import { GossipSources, sumDemand } from './gossip-sources.js';
import type { CachedTokens } from './prefix-cache-map.js';
import { PrefixCacheTracker } from './prefix-cache-tracker.js';
import { refOf } from './refs.js';
import { StoreReaders } from './store-readers.js';
import type {
	Demand,
	EngineRef,
	EngineWork,
	GossipKind,
	GossipMessage,
	ReportAck,
	StoreReader,
	StoreStatus,
} from './types.js';
import { gossipKinds } from './types.js';
import type { WorkChange } from './work-sums.js';

/** Minimum interval between checks for silent sources. */
const silenceCheckIntervalMs = 100;

export interface FleetViewOptions {
	self: string;
	/** Where peers fetch the configuration, as IP:PORT. */
	address: string;
	clock: Clock;
	log: Log;
	/** Distinguishes this process from earlier ones of the same VM. */
	incarnation: number;
	/** Called when a peer has a newer configuration in force. */
	onNewerConfiguration: (address: string, version: number) => void;
	/** Cost estimates, merged with those of peers. */
	costs: CostModel;
	/** Answers of failing engines, to this VM and to peers. */
	answers: AnswerGossip;
	/** State of the store as this VM sees it; undefined while it does not read the store. */
	getStoreStatus: () => StoreStatus | undefined;
	/** Called with the state of the store that a peer gossips. */
	onStoreStatus: (address: string, store: StoreStatus) => void;
	/** Crashes of engines, known from this VM and from peers. */
	crashes: CrashGossip;
	/** Request rate limits of engines. */
	limits: LimitGossip;
}

export class FleetView {
	private readonly sources: GossipSources;
	private readonly work = new FleetWork();
	private readonly prefixCache = new PrefixCacheTracker();
	private readonly storeReaders = new StoreReaders();
	private silenceCheckedAt = Number.NEGATIVE_INFINITY;
	private readonly demandMeter = new DemandMeter();
	private readonly composer: GossipComposer;
	private aggregator?: string;
	private isChanged = false;
	configurationVersion = 0;
	/** Interval between this VM's messages under load, in milliseconds. */
	intervalMs = 0;
	/** Maximum age of gossiped state while no message is lost, in milliseconds. */
	maxGossipAgeMs = 0;

	constructor(private readonly opts: FleetViewOptions) {
		this.composer = new GossipComposer(opts);
		this.sources = new GossipSources(opts.clock);
	}

	/** Number of VMs in the view, this one included. */
	get size(): number {
		const live = this.sources.getLive();
		const vmCount = live.reduce((sum, source) => sum + source.vmCount, 0);
		return this.aggregator === undefined ? 1 + vmCount : Math.max(1, vmCount);
	}

	/** VMs that report to this aggregator. */
	get members(): GossipSource[] {
		return this.sources.getByKind(gossipKinds.report);
	}

	/** Aggregators that send their sums to this one. */
	get otherAggregators(): GossipSource[] {
		return this.sources.getByKind(gossipKinds.group);
	}

	/** Interval between messages of this VM's aggregator, in milliseconds; undefined before the first message. */
	get aggregatorIntervalMs(): number | undefined {
		return this.sources.getByKind(gossipKinds.fleet)[0]?.intervalMs;
	}

	/** Returns whether the sums of an aggregator include a report of this VM. */
	isAcknowledgedBy(message: GossipMessage): boolean {
		return this.findAck(message) !== undefined;
	}

	/** Whether the view changed since the last message. */
	get hasUpdates(): boolean {
		return this.isChanged || this.prefixCache.upstream.length > 0;
	}

	/**
	 * Changes the aggregator, and drops sources that belong to the previous role.
	 * @param address of the aggregator; undefined while this VM is one itself
	 */
	reportTo(address: string | undefined): void {
		const previous = this.aggregator;
		this.aggregator = address;
		this.work.clearReports();
		for (const source of this.sources.getAll()) {
			// The previous aggregator's sums stay in use until the new one sends its own.
			const isKept = previous !== undefined && address !== undefined;
			if (!isKept && !this.isRelevantKind(source.kind)) {
				this.drop(source);
			}
		}
	}

	/** Returns the number of peers that had an answer from the store within this time, in milliseconds. */
	countStoreReaders(withinMs: number): number {
		return this.storeReaders.count(withinMs, this.sinceBoot);
	}

	/**
	 * Returns the holder of the fleet-wide duty; undefined when no known holder had an answer from the store within this
	 * time, in milliseconds.
	 */
	getDutyHolder(withinMs: number): StoreReader | undefined {
		return this.storeReaders.getDutyHolder(withinMs, this.sinceBoot);
	}

	/** Returns the work of the whole fleet at an engine. */
	getWork(engineKey: string): EngineWork {
		this.dropSilentWork();
		return this.work.getWork(refOf(engineKey));
	}

	/** Returns the demand on the whole fleet. */
	getDemand(): Demand {
		const own = this.demandMeter.read(this.now);
		const live = this.sources.getLive();
		const received = sumDemand(live);
		// An aggregator's sums already include this VM's own demand.
		const includesOwn = this.aggregator !== undefined && live.length > 0;
		return includesOwn
			? received
			: { long: own.long + received.long, short: own.short + received.short };
	}

	/**
	 * Adds a request to the demand.
	 * @param workMs time for which the request keeps an engine busy
	 */
	recordArrival(workMs: number, isLong: boolean): void {
		this.demandMeter.add(workMs, isLong, this.now);
	}

	/** Adds to this VM's own work at an engine. */
	changeWork(engineKey: string, change: WorkChange): void {
		this.work.change(refOf(engineKey), change);
		this.isChanged = true;
	}

	/**
	 * Records that an engine prefills segments for a request of this VM, or has done so.
	 * @param isPrefilled the first event of the answer has arrived
	 */
	recordPrefill(segments: readonly PromptSegment[], engineKey: string, isPrefilled: boolean): void {
		this.prefixCache.recordPrefill(segments, engineKey, isPrefilled, this.now);
	}

	/** Estimates how many leading tokens of a prompt each engine has cached; engines without any are omitted. */
	cachedTokensByEngine(segments: readonly PromptSegment[]): ReadonlyMap<EngineRef, CachedTokens> {
		return this.prefixCache.cachedTokensByEngine(segments, this.now);
	}

	removeEngine(engineKey: string): void {
		const ref = refOf(engineKey);
		this.prefixCache.removeEngine(ref);
		this.work.removeEngine(ref);
		this.opts.costs.paces.removeEngine(ref);
		for (const source of this.sources.getAll()) {
			source.work.delete(ref);
		}
	}

	/** Builds a report of this VM's own work for its aggregator. */
	composeReport(): GossipMessage[] {
		this.isChanged = false;
		const work = this.work.ownRows();
		const message = this.compose({
			kind: gossipKinds.report,
			work,
			cacheUpdates: this.prefixCache.upstream,
			reportAcks: [],
			demand: this.demandMeter.read(this.now),
			vmCount: 1,
			storeReaders: this.ownStoreReader(),
			includedVms: [],
		});
		this.work.recordReport(this.composer.seq, work);
		this.prefixCache.clearDownstream();
		return message;
	}

	/** Builds the sums over this VM and its members for the other aggregators. */
	composeGroup(): GossipMessage[] {
		this.dropSilentWork();
		this.isChanged = false;
		const members = this.members;
		const own = this.demandMeter.read(this.now);
		const reported = sumDemand(members);
		return this.compose({
			kind: gossipKinds.group,
			work: this.work.groupRows(),
			cacheUpdates: this.prefixCache.upstream,
			reportAcks: [],
			demand: { long: own.long + reported.long, short: own.short + reported.short },
			vmCount: 1 + members.length,
			storeReaders: [...this.ownStoreReader(), ...this.storeReaders.getMembers(this.sinceBoot)],
			includedVms: members.map(({ name }) => name),
		});
	}

	/** Builds the sums over the whole fleet for the members. */
	composeFleet(): GossipMessage[] {
		this.dropSilentWork();
		return this.compose({
			kind: gossipKinds.fleet,
			work: this.work.totalRows(),
			cacheUpdates: this.prefixCache.downstream,
			reportAcks: this.members.map(({ name, seq }) => ({ vm: refOf(name), seq })),
			demand: this.getDemand(),
			vmCount: this.size,
			storeReaders: [...this.ownStoreReader(), ...this.storeReaders.getAll(this.sinceBoot)],
			includedVms: this.sources.getNames(),
		});
	}

	/**
	 * Merges a message into the view.
	 * @returns whether it contains changes to forward
	 */
	merge(message: GossipMessage): boolean {
		if (message.from === this.opts.self || this.sources.isStale(message)) {
			return false;
		}
		const hasSharedChange = this.mergeShared(message);
		if (!this.isRelevant(message)) {
			return hasSharedChange;
		}
		if (message.isLeaving && message.kind !== gossipKinds.fleet) {
			this.removeDeparted(message);
			return true;
		}
		const isNew = this.sources.get(message.from)?.isReplacedBy(message) ?? true;
		const source = this.updateSource(message);
		const hasWorkChange = this.work.merge(source, message, this.findAck(message));
		this.prefixCache.merge(message, this.now);
		const hasAnswerChange = this.mergeEstimates(message);
		return (
			hasSharedChange ||
			isNew ||
			hasWorkChange ||
			hasAnswerChange ||
			message.cacheUpdates.length > 0
		);
	}

	/** Logs and removes silent sources; called once a second. */
	sweep(): void {
		for (const source of this.sources.getSilent()) {
			this.drop(source);
			this.opts.costs.paces.removePeer(source.name, this.now);
			this.opts.log.info('peer.lost', { peer: source.name, peers: this.size });
		}
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	/** Clock for the age of store contacts, which also advances while the VM is suspended. */
	private get sinceBoot(): number {
		return this.opts.clock.sinceBoot();
	}

	/**
	 * Merges what is valid from any sender: configuration version, store readers, crashes and limits.
	 * @returns whether any of it is new
	 */
	private mergeShared(message: GossipMessage): boolean {
		let isNew = message.configurationVersion > this.configurationVersion;
		isNew = this.opts.crashes.merge(message.crashes) || isNew;
		isNew = this.opts.limits.merge(message.limits, message.issuer) || isNew;
		for (const reader of message.storeReaders) {
			if (reader.address !== this.opts.address) {
				const isMember = message.kind === gossipKinds.report;
				isNew = this.storeReaders.merge(reader, isMember, this.sinceBoot) || isNew;
				this.opts.onStoreStatus(reader.address, reader);
			}
		}
		if (message.configurationVersion > this.configurationVersion) {
			this.opts.onNewerConfiguration(message.address, message.configurationVersion);
		}
		return isNew;
	}

	/**
	 * Merges costs, paces and answers of failing engines.
	 * @returns whether the answers changed
	 */
	private mergeEstimates({ from, kind, costs, paces, answers }: GossipMessage): boolean {
		if (costs) {
			this.opts.costs.merge(from, costs);
		}
		if (paces) {
			this.opts.costs.paces.merge(from, paces, this.now);
		}
		const isTotal = kind === gossipKinds.fleet;
		return answers !== undefined && this.opts.answers.merge(from, answers, isTotal);
	}

	private isRelevant(message: GossipMessage): boolean {
		const isFromGroup = this.aggregator === undefined || message.address === this.aggregator;
		return isFromGroup && this.isRelevantKind(message.kind);
	}

	private isRelevantKind(kind: GossipKind): boolean {
		return (kind === gossipKinds.fleet) === (this.aggregator !== undefined);
	}

	private updateSource(message: GossipMessage): GossipSource {
		const known = this.sources.get(message.from);
		if (known && !known.isReplacedBy(message)) {
			known.update(message, this.now);
			return known;
		}
		if (message.kind === gossipKinds.fleet) {
			// Sums of two aggregators would count the same work twice.
			this.dropAll();
		} else if (known) {
			this.drop(known);
		}
		const source = this.sources.add(message);
		this.opts.log.info('peer.seen', { peer: message.from, peers: this.size });
		return source;
	}

	/** Returns the acknowledgement of this VM's last report in a message. */
	private findAck(message: GossipMessage): ReportAck | undefined {
		const self = refOf(this.opts.self);
		return message.reportAcks.find(({ vm }) => vm === self);
	}

	private compose(content: Omit<GossipContent, 'crashes' | 'limits' | 'issuer'>): GossipMessage[] {
		const { configurationVersion, intervalMs } = this;
		const { crashes, limits } = this.opts;
		const shared = {
			crashes: crashes.getReportsToSend(),
			limits: limits.getUpdatesToSend(content.kind),
			issuer: limits.getIssuerToSend(),
		};
		return this.composer.compose({ ...content, ...shared }, { configurationVersion, intervalMs });
	}

	private ownStoreReader(): StoreReader[] {
		const store = this.opts.getStoreStatus();
		return store ? [{ ...store, address: this.opts.address }] : [];
	}

	/** Removes the work of silent sources. */
	private dropSilentWork(): void {
		if (this.now - this.silenceCheckedAt < silenceCheckIntervalMs) {
			return;
		}
		this.silenceCheckedAt = this.now;
		for (const source of this.sources.getSilent()) {
			this.work.removeSource(source);
		}
	}

	private dropAll(): void {
		for (const source of this.sources.getAll()) {
			this.drop(source);
		}
	}

	private removeDeparted(message: GossipMessage): void {
		const source = this.sources.get(message.from);
		if (source) {
			this.drop(source);
		}
		this.sources.recordDeparture(message);
	}

	private drop(source: GossipSource): void {
		this.work.removeSource(source);
		this.sources.remove(source);
		this.opts.costs.removePeer(source.name);
		this.opts.answers.removePeer(source.name);
	}
}
