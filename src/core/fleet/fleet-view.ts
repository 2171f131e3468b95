/**
 * This VM's view of the fleet's work: its own, and what others tell. News carry whole state often enough
 * that a lost or late datagram does no lasting harm.
 *
 * A VM either reports to an aggregator and hears the fleet's sums from it, or is an aggregator itself: then it adds up its members'
 * reports and the sums of the other aggregators. In a small fleet every VM is an aggregator without members.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { CostModel } from '../engines/cost-model.js';
import type { AnswerNews } from '../engines/fleet-health.js';
import type { LimitGossip } from '../limits/fleet-limits.js';
import type { CrashGossip } from '../quarantine/types.js';
import type { PromptPart } from '../relay/definitions.js';
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

/** Time between two looks for VMs that fell silent, in milliseconds: a tenth of the least time that makes one silent. */
const silenceLookMs = 100;

export interface FleetViewOptions {
	self: string;
	/** Where peers may fetch the configuration, as IP:PORT. */
	address: string;
	clock: Clock;
	log: Log;
	/** Tells this process from an earlier one of the same VM. */
	incarnation: number;
	/** A peer has a newer configuration in force. */
	onNewerConfiguration: (address: string, version: number) => void;
	/** What work costs, as this VM has seen; peers add up what each has seen. */
	costs: CostModel;
	/** Answers of engines that fail, of this VM and as peers tell. */
	answers: AnswerNews;
	/** What this VM tells of the store; undefined while it does not read it itself. */
	storeStatus: () => StoreStatus | undefined;
	/** A peer that reads the store tells of it. */
	onStoreStatus: (address: string, store: StoreStatus) => void;
	/** What this VM knows of engines that ended. */
	crashes: CrashGossip;
	/** What this VM knows of the requests a second that engines take. */
	limits: LimitGossip;
}

export class FleetView {
	private readonly sources: GossipSources;
	private readonly work = new FleetWork();
	private readonly parts = new PrefixCacheTracker();
	private readonly readers = new StoreReaders();
	private silenceLookedAt = Number.NEGATIVE_INFINITY;
	private readonly meter = new DemandMeter();
	private readonly composer: GossipComposer;
	private aggregator?: string;
	private isChanged = false;
	configurationVersion = 0;
	/** Time between two news of this VM under load, in milliseconds. */
	intervalMs = 0;
	/** How old news are at the most while all is well, in milliseconds. */
	maxGossipAgeMs = 0;

	constructor(private readonly opts: FleetViewOptions) {
		this.composer = new GossipComposer(opts);
		this.sources = new GossipSources(opts.clock);
	}

	/** VMs heard of, directly or in sums, this one included. */
	get size(): number {
		const heard = this.sources.live();
		const told = heard.reduce((sum, source) => sum + source.vmCount, 0);
		return this.aggregator === undefined ? 1 + told : Math.max(1, told);
	}

	/** VMs that report here. */
	get members(): GossipSource[] {
		return this.sources.ofKind(gossipKinds.report);
	}

	/** Other aggregators that tell their sums here. */
	get otherAggregators(): GossipSource[] {
		return this.sources.ofKind(gossipKinds.group);
	}

	/** Time between two news of the aggregator that this VM reports to, in milliseconds; undefined before any came. */
	get aggregatorIntervalMs(): number | undefined {
		return this.sources.ofKind(gossipKinds.fleet)[0]?.intervalMs;
	}

	/** Whether the sums of an aggregator contain reports of this VM. */
	isAcknowledgedBy(news: GossipMessage): boolean {
		return this.heardIn(news) !== undefined;
	}

	/** Whether something changed since the last news. */
	get hasUpdates(): boolean {
		return this.isChanged || this.parts.upstream.length > 0;
	}

	/**
	 * Sets where this VM's news go. What was told for the other role no longer counts.
	 * @param address of the aggregator to report to; undefined while this VM is one itself
	 */
	reportTo(address: string | undefined): void {
		const before = this.aggregator;
		this.aggregator = address;
		this.work.clearReports();
		for (const source of this.sources.all()) {
			// The sums of the aggregator before serve until the next one's come.
			const isKept = before !== undefined && address !== undefined;
			if (!isKept && !this.countsKind(source.kind)) {
				this.drop(source);
			}
		}
	}

	/** Peers that the store answered within this time, in milliseconds. */
	countStoreReaders(withinMs: number): number {
		return this.readers.count(withinMs, this.sinceBoot);
	}

	/**
	 * The VM that acts for the whole fleet, as news tell; undefined when none was answered by the store within this time,
	 * in milliseconds.
	 */
	dutyHolder(withinMs: number): StoreReader | undefined {
		return this.readers.dutyHolder(withinMs, this.sinceBoot);
	}

	/** Work of the whole fleet at an engine. */
	workAt(engineKey: string): EngineWork {
		this.dropSilent();
		return this.work.workAt(refOf(engineKey));
	}

	/** Demand of the whole fleet. */
	demand(): Demand {
		const own = this.meter.read(this.now);
		const heard = this.sources.live();
		const told = sumDemand(heard);
		// Sums for members contain what they reported.
		const isContained = this.aggregator !== undefined && heard.length > 0;
		return isContained ? told : { long: own.long + told.long, short: own.short + told.short };
	}

	/** @param workMs how long a request keeps an engine busy */
	recordArrival(workMs: number, isLong: boolean): void {
		this.meter.add(workMs, isLong, this.now);
	}

	/** Adds to this VM's own work at an engine. */
	changeWork(engineKey: string, change: WorkChange): void {
		this.work.change(refOf(engineKey), change);
		this.isChanged = true;
	}

	/**
	 * The engine will read these parts for a request of this VM, or has read them.
	 * @param isDone the first event after them has come
	 */
	recordPrefill(parts: readonly PromptPart[], engineKey: string, isDone: boolean): void {
		this.parts.recordPrefill(parts, engineKey, isDone, this.now);
	}

	/** How much of the start of a prompt each engine is believed to keep; those that keep nothing are left out. */
	cachedTokensByEngine(parts: readonly PromptPart[]): ReadonlyMap<EngineRef, CachedTokens> {
		return this.parts.cachedTokensByEngine(parts, this.now);
	}

	removeEngine(engineKey: string): void {
		const ref = refOf(engineKey);
		this.parts.removeEngine(ref);
		this.work.removeEngine(ref);
		this.opts.costs.speeds.forgetEngine(ref);
		for (const source of this.sources.all()) {
			source.work.delete(ref);
		}
	}

	/** This VM's own work, for its aggregator. */
	composeReport(): GossipMessage[] {
		this.isChanged = false;
		const work = this.work.ownRows();
		const news = this.compose({
			kind: gossipKinds.report,
			work,
			cacheUpdates: this.parts.upstream,
			reportAcks: [],
			demand: this.meter.read(this.now),
			vmCount: 1,
			storeReaders: this.ownReader(),
			includedVms: [],
		});
		this.work.recordReport(this.composer.seq, work);
		this.parts.clearDownstream();
		return news;
	}

	/** Sums of this VM and its members, for the other aggregators. */
	composeGroup(): GossipMessage[] {
		this.dropSilent();
		this.isChanged = false;
		const members = this.members;
		const own = this.meter.read(this.now);
		const told = sumDemand(members);
		return this.compose({
			kind: gossipKinds.group,
			work: this.work.groupRows(),
			cacheUpdates: this.parts.upstream,
			reportAcks: [],
			demand: { long: own.long + told.long, short: own.short + told.short },
			vmCount: 1 + members.length,
			storeReaders: [...this.ownReader(), ...this.readers.members(this.sinceBoot)],
			includedVms: members.map(({ name }) => name),
		});
	}

	/** Sums of the fleet, for the VMs that report here. */
	composeFleet(): GossipMessage[] {
		this.dropSilent();
		return this.compose({
			kind: gossipKinds.fleet,
			work: this.work.totalRows(),
			cacheUpdates: this.parts.downstream,
			reportAcks: this.members.map(({ name, seq }) => ({ vm: refOf(name), seq })),
			demand: this.demand(),
			vmCount: this.size,
			storeReaders: [...this.ownReader(), ...this.readers.all(this.sinceBoot)],
			includedVms: this.sources.names(),
		});
	}

	/** @returns whether the news tell anything that those who hear of it from this VM do not know */
	receive(news: GossipMessage): boolean {
		if (news.from === this.opts.self || this.sources.isStale(news)) {
			return false;
		}
		const hasVersions = this.takeVersions(news);
		if (!this.counts(news)) {
			return hasVersions;
		}
		if (news.isLeaving && news.kind !== gossipKinds.fleet) {
			this.left(news);
			return true;
		}
		const isNew = this.sources.get(news.from)?.isReplacedBy(news) ?? true;
		const source = this.sourceOf(news);
		const hasWork = this.work.merge(source, news, this.heardIn(news));
		this.parts.merge(news, this.now);
		const hasAnswers = this.takeSums(news);
		return hasVersions || isNew || hasWork || hasAnswers || news.cacheUpdates.length > 0;
	}

	/** Logs VMs that fell silent and forgets them; called each second. */
	sweep(): void {
		for (const source of this.sources.silent()) {
			this.drop(source);
			this.opts.costs.speeds.forget(source.name, this.now);
			this.opts.log.info('peer.lost', { peer: source.name, peers: this.size });
		}
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	/** For how old the word of others about the store is: that ages while this VM is suspended. */
	private get sinceBoot(): number {
		return this.opts.clock.sinceBoot();
	}

	/**
	 * Configurations, changes in the store and engines that ended are of use whoever tells them.
	 * @returns whether any of them is new
	 */
	private takeVersions(news: GossipMessage): boolean {
		let isNew = news.configurationVersion > this.configurationVersion;
		isNew = this.opts.crashes.merge(news.crashes) || isNew;
		isNew = this.opts.limits.merge(news.limits, news.issuer) || isNew;
		for (const reader of news.storeReaders) {
			if (reader.address !== this.opts.address) {
				const isMember = news.kind === gossipKinds.report;
				isNew = this.readers.merge(reader, isMember, this.sinceBoot) || isNew;
				this.opts.onStoreStatus(reader.address, reader);
			}
		}
		if (news.configurationVersion > this.configurationVersion) {
			this.opts.onNewerConfiguration(news.address, news.configurationVersion);
		}
		return isNew;
	}

	/**
	 * Takes in what the news tell beside work: costs, speeds and answers of failing engines.
	 * @returns whether the answers differ from what was told before
	 */
	private takeSums({ from, kind, costs, speeds, answers }: GossipMessage): boolean {
		if (costs) {
			this.opts.costs.take(from, costs);
		}
		if (speeds) {
			this.opts.costs.speeds.take(from, speeds, this.now);
		}
		const isTotal = kind === gossipKinds.fleet;
		return answers !== undefined && this.opts.answers.take(from, answers, isTotal);
	}

	private counts(news: GossipMessage): boolean {
		const isForMe = this.aggregator === undefined || news.address === this.aggregator;
		return isForMe && this.countsKind(news.kind);
	}

	private countsKind(kind: GossipKind): boolean {
		return (kind === gossipKinds.fleet) === (this.aggregator !== undefined);
	}

	private sourceOf(news: GossipMessage): GossipSource {
		const known = this.sources.get(news.from);
		if (known && !known.isReplacedBy(news)) {
			known.update(news, this.now);
			return known;
		}
		if (news.kind === gossipKinds.fleet) {
			// The sums of another aggregator would count the same work twice.
			this.dropAll();
		} else if (known) {
			this.drop(known);
		}
		const source = this.sources.add(news);
		this.opts.log.info('peer.seen', { peer: news.from, peers: this.size });
		return source;
	}

	/** The last report of this VM that the news contain. */
	private heardIn(news: GossipMessage): ReportAck | undefined {
		const self = refOf(this.opts.self);
		return news.reportAcks.find(({ vm }) => vm === self);
	}

	private compose(content: Omit<GossipContent, 'crashes' | 'limits' | 'issuer'>): GossipMessage[] {
		const { configurationVersion, intervalMs: spacingMs } = this;
		const { crashes, limits } = this.opts;
		const shared = {
			crashes: crashes.getReportsToSend(),
			limits: limits.getUpdatesToSend(content.kind),
			issuer: limits.getIssuerToSend(),
		};
		return this.composer.compose(
			{ ...content, ...shared },
			{ configurationVersion, intervalMs: spacingMs },
		);
	}

	private ownReader(): StoreReader[] {
		const store = this.opts.storeStatus();
		return store ? [{ ...store, address: this.opts.address }] : [];
	}

	/** Work of VMs that fell silent no longer counts. */
	private dropSilent(): void {
		if (this.now - this.silenceLookedAt < silenceLookMs) {
			return;
		}
		this.silenceLookedAt = this.now;
		for (const source of this.sources.silent()) {
			this.work.removeSource(source);
		}
	}

	private dropAll(): void {
		for (const source of this.sources.all()) {
			this.drop(source);
		}
	}

	private left(news: GossipMessage): void {
		const source = this.sources.get(news.from);
		if (source) {
			this.drop(source);
		}
		this.sources.recordDeparture(news);
	}

	private drop(source: GossipSource): void {
		this.work.removeSource(source);
		this.sources.remove(source);
		this.opts.costs.forget(source.name);
		this.opts.answers.forget(source.name);
	}
}
