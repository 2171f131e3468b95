/**
 * When this VM tells news, to whom, and whether it gathers those of others.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { HostPort } from '../relay/settings.js';
import type { AggregatorSelection, RegisteredVm } from './aggregator-selection.js';
import { addressOf, parseAddress } from './aggregator-selection.js';
import type { FleetView } from './fleet-view.js';
import type { GossipIntervals } from './gossip-schedule.js';
import { GossipSchedule } from './gossip-schedule.js';
import type { GossipMessage } from './types.js';
import { gossipKinds } from './types.js';

/** Least time between two news of a VM to the same ones, in milliseconds, in a small fleet where each tells all others. */
const leastSpacingMs = 10;
/**
 * The same between aggregators, and from an aggregator to its members, of which there are many more. At 14 ms the 18 VMs of one
 * fleet spent half as much processor time again as at 30; in large fleets a VM places two requests a second and hears the sums
 * ten times as often. At 60 ms in place of 30 replayed bursts have 0 to 2 of 100 prompts fewer in time.
 */
const leastBetweenAggregatorsMs = 20;
const leastToMembersMs = 40;
/** Least time between two reports, in milliseconds: an aggregator passes their sums on a few times slower. */
const reportSpacingMs = 20;
/**
 * Datagrams that a VM sends in a second at the most, of each kind. At 600 the VMs of a fleet of 72, each of which sent that many,
 * spent 0.09 cores a VM; here only aggregators come near, and those are the largest VMs.
 */
const datagramsPerSecond = 600;
/** News are told at least so often, in milliseconds: they show that this VM lives. */
const quietMs = 250;
/**
 * A report that tells nothing new goes with the look (`update`) that comes so long after the last, in milliseconds: the VM wakes up
 * once for both. Two may be lost before the VM goes to another aggregator; the latest time counts where no look comes.
 */
const quietReportMs = 240;
const latestReportMs = 250;
/** An aggregator's members hear it at least so often, in milliseconds: four times before it seems silent. */
const aggregatorQuietMs = 125;
/** A VM goes to the next aggregator when its own was silent, or did not take in its reports, for so long, in milliseconds. */
const silentMs = 500;
/** Another aggregator is passed over when it was silent for so long, in milliseconds. */
const otherSilentMs = 1000;

export interface GossipExchangeOptions {
	clock: Clock;
	log: Log;
	fleet: FleetView;
	selection: AggregatorSelection;
	self: HostPort;
	/** Other VMs that are registered. */
	otherVms: () => readonly RegisteredVm[];
	/** VMs to ask before any is known. */
	seeds: () => readonly HostPort[];
	send: (to: readonly HostPort[], news: GossipMessage) => void;
}

/** A VM that this one tells news, and since when; undefined `heardAt` before it answered. */
interface Told {
	since: number;
	heardAt?: number;
}

export class GossipExchange {
	/** The aggregator that this VM reports to; undefined while it is one itself. */
	private aggregator?: string;
	private readonly told = new Map<string, Told>();
	/** News for the aggregator, or for the other aggregators. */
	private readonly up = new GossipSchedule();
	/** News for the VMs that report here. */
	private readonly down = new GossipSchedule();
	private acknowledgedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly opts: GossipExchangeOptions) {}

	/** Monotonic milliseconds at which `run` should be called next. */
	get dueAt(): number {
		const upAt = this.up.dueAt(this.upPace);
		return this.hasMembers ? Math.min(upAt, this.down.dueAt(this.downPace)) : upAt;
	}

	/** How long no news were sent, in milliseconds. */
	get sinceLastSendMs(): number {
		return this.now - this.up.lastSentAt;
	}

	/** Something changed that others should know. */
	markChanged(): void {
		this.up.markChanged();
		this.down.markChanged();
	}

	/** Sends news that are due. */
	sendDue(): void {
		const { now } = this;
		if (now >= this.up.dueAt(this.upPace)) {
			this.sendUp();
		}
		if (this.hasMembers && now >= this.down.dueAt(this.downPace)) {
			this.sendDown();
		}
	}

	/** Tells at once what cannot wait. */
	sendNow(): void {
		this.sendUp();
		if (this.hasMembers) {
			this.sendDown();
		}
	}

	receive(news: GossipMessage): void {
		const { fleet } = this.opts;
		this.noteHeard(news);
		let isChanged = fleet.receive(news);
		if (news.kind === gossipKinds.report && !news.isLeaving && this.aggregator !== undefined) {
			// Another VM took this one for its aggregator, so it is one.
			this.setAggregator(undefined);
			this.chooseOthers();
			isChanged = fleet.receive(news);
		}
		if (isChanged) {
			this.passOn(news);
		}
	}

	/**
	 * What a member told goes to the other aggregators and to the members; what another aggregator told only to the members.
	 * Told back and forth, four aggregators of an idle fleet of 16 VMs sent each other 50 datagrams a second and took a
	 * tenth of a core each.
	 */
	private passOn(news: GossipMessage): void {
		if (news.kind === gossipKinds.report) {
			this.up.markChanged();
		}
		this.down.markChanged();
	}

	/** This VM stops: it serves its members until they report to another, and then reports to another itself. */
	retire(): void {
		this.opts.selection.isRetired = true;
		this.update();
		this.sendNow();
	}

	/** Looks anew who gathers this VM's news; called several times a second. */
	update(): void {
		const { selection, fleet, otherVms: listed } = this.opts;
		selection.update(listed());
		this.passOverSilent();
		const serves = fleet.members.length > 0;
		this.setAggregator(serves ? undefined : this.chosen());
		if (this.aggregator === undefined) {
			this.chooseOthers();
		} else if (this.sinceLastSendMs >= quietReportMs) {
			this.sendUp();
		}
	}

	private sendUp(): void {
		const { fleet } = this.opts;
		this.up.markSent(this.now);
		this.tellPace();
		if (this.aggregator !== undefined) {
			this.send([parseAddress(this.aggregator)], fleet.composeReport());
		} else {
			this.send([...this.told.keys()].map(parseAddress), fleet.composeGroup());
		}
	}

	private sendDown(): void {
		const { fleet, selection } = this.opts;
		this.down.markSent(this.now);
		this.tellPace();
		const members = fleet.members.map(({ address }) => parseAddress(address));
		const isLeaving = selection.isRetired;
		this.send(
			members,
			fleet.composeFleet().map((news) => ({ ...news, isLeaving })),
		);
	}

	private tellPace(): void {
		const { fleet } = this.opts;
		fleet.intervalMs = Math.max(
			this.upPace.minIntervalMs,
			this.hasMembers ? this.downPace.minIntervalMs : 0,
		);
		fleet.maxGossipAgeMs = this.newsAgeMs;
	}

	private get hasMembers(): boolean {
		return this.aggregator === undefined && this.opts.fleet.members.length > 0;
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	/** Tells the other aggregators: those chosen, and those that tell their sums here. */
	private chooseOthers(): void {
		const { selection, fleet } = this.opts;
		const chosen = selection.otherAggregators(this.now).map(addressOf);
		const heard = fleet.otherAggregators.map(({ address }) => address);
		const all = new Set([...chosen, ...heard]);
		all.delete(addressOf(this.opts.self));
		for (const address of all) {
			if (!this.told.has(address)) {
				this.told.set(address, { since: this.now });
				this.up.markChanged();
			}
		}
		for (const address of this.told.keys()) {
			if (!all.has(address)) {
				this.told.delete(address);
			}
		}
	}

	private get upPace(): GossipIntervals {
		if (this.aggregator !== undefined) {
			return { minIntervalMs: reportSpacingMs, maxIntervalMs: latestReportMs };
		}
		const least = this.opts.selection.isSmallFleet ? leastSpacingMs : leastBetweenAggregatorsMs;
		return { minIntervalMs: spacingOf(this.told.size, least), maxIntervalMs: quietMs };
	}

	/** Grows with those that are told. */
	private get downPace(): GossipIntervals {
		const spacingMs = spacingOf(this.opts.fleet.members.length, leastToMembersMs);
		return { minIntervalMs: spacingMs, maxIntervalMs: aggregatorQuietMs };
	}

	/** From a VM to its aggregator, to another aggregator, to its members; in a small fleet from VM to VM. */
	private get newsAgeMs(): number {
		const { fleet, selection } = this.opts;
		if (this.aggregator !== undefined) {
			return reportSpacingMs + leastBetweenAggregatorsMs + (fleet.aggregatorIntervalMs ?? 0);
		}
		return this.upPace.minIntervalMs + (selection.isSmallFleet ? 0 : reportSpacingMs);
	}

	/** Who should gather this VM's news; undefined for itself. */
	private chosen(): string | undefined {
		const { selection, self } = this.opts;
		if (!selection.hasOthers) {
			const seeds = this.opts.seeds().map(addressOf);
			return seeds.find((seed) => !selection.isExcluded(seed, this.now));
		}
		const address = addressOf(selection.chooseAggregator(this.now).address);
		return address === addressOf(self) ? undefined : address;
	}

	private setAggregator(address: string | undefined): void {
		if (address === this.aggregator) {
			return;
		}
		const { fleet, log } = this.opts;
		this.takeLeave();
		this.aggregator = address;
		this.acknowledgedAt = this.now;
		this.told.clear();
		fleet.reportTo(address);
		log.info('news.aggregator', { reports_to: address ?? 'none', peers: fleet.size });
	}

	/** Whoever counts this VM's work so far drops it at once; others will speak for it. */
	private takeLeave(): void {
		const { fleet } = this.opts;
		const isMember = this.aggregator !== undefined;
		const to = isMember ? [this.aggregator as string] : [...this.told.keys()];
		const [news] = isMember ? fleet.composeReport() : fleet.composeGroup();
		if (news && to.length > 0) {
			this.opts.send(to.map(parseAddress), { ...news, work: [], isLeaving: true });
		}
	}

	private noteHeard(news: GossipMessage): void {
		const told = this.told.get(news.address);
		if (told) {
			told.heardAt = this.now;
			this.opts.selection.readmit(news.address);
		}
		if (news.address !== this.aggregator || news.kind !== gossipKinds.fleet) {
			return;
		}
		if (news.isLeaving) {
			this.opts.selection.exclude(news.address, this.now);
			this.setAggregator(this.chosen());
			this.markChanged();
		} else if (this.opts.fleet.isAcknowledgedBy(news)) {
			this.acknowledgedAt = this.now;
			this.opts.selection.readmit(news.address);
		}
	}

	private passOverSilent(): void {
		const { now, aggregator } = this;
		const { selection } = this.opts;
		if (aggregator !== undefined && now - this.acknowledgedAt > silentMs) {
			selection.exclude(aggregator, now);
			this.acknowledgedAt = now;
		}
		for (const [address, { since, heardAt }] of this.told) {
			if (now - (heardAt ?? since) > otherSilentMs && !selection.isExcluded(address, now)) {
				selection.exclude(address, now);
			}
		}
	}

	private send(to: readonly HostPort[], news: readonly GossipMessage[]): void {
		if (to.length > 0) {
			for (const one of news) {
				this.opts.send(to, one);
			}
		}
	}
}

/** Time between two news to so many VMs, in milliseconds. */
function spacingOf(told: number, leastMs: number): number {
	return Math.max(leastMs, (told * 1000) / datagramsPerSecond);
}
