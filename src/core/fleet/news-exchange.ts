/**
 * When this VM tells news, to whom, and whether it gathers those of others.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { HostPort } from '../relay/settings.js';
import type { AggregatorSelection, ListedVm } from './aggregator-selection.js';
import { addressOf, parseAddress } from './aggregator-selection.js';
import type { FleetView } from './fleet-view.js';
import type { LanePace } from './news-lane.js';
import { NewsLane } from './news-lane.js';
import type { PeerNews } from './types.js';
import { newsKinds } from './types.js';

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
 * once for both. That is three times before the VM seems dead; the latest time counts where no look comes.
 */
const quietReportMs = 290;
const latestReportMs = 350;
/** An aggregator's members hear it at least so often, in milliseconds: four times before it seems silent. */
const aggregatorQuietMs = 125;
/** A VM goes to the next aggregator when its own was silent, or did not take in its reports, for so long, in milliseconds. */
const silentMs = 500;
/** Another aggregator is passed over when it was silent for so long, in milliseconds. */
const otherSilentMs = 1000;

export interface NewsExchangeOptions {
	clock: Clock;
	log: Log;
	fleet: FleetView;
	selection: AggregatorSelection;
	self: HostPort;
	/** Other VMs that are registered. */
	listed: () => readonly ListedVm[];
	/** VMs to ask before any is known. */
	seeds: () => readonly HostPort[];
	send: (to: readonly HostPort[], news: PeerNews) => void;
}

/** A VM that this one tells news, and since when; undefined `heardAt` before it answered. */
interface Told {
	since: number;
	heardAt?: number;
}

export class NewsExchange {
	/** The aggregator that this VM reports to; undefined while it is one itself. */
	private aggregator?: string;
	private readonly told = new Map<string, Told>();
	/** News for the aggregator, or for the other aggregators. */
	private readonly up = new NewsLane();
	/** News for the VMs that report here. */
	private readonly down = new NewsLane();
	private acknowledgedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly opts: NewsExchangeOptions) {}

	/** Monotonic milliseconds at which `run` should be called next. */
	get dueAt(): number {
		const upAt = this.up.dueAt(this.upPace);
		return this.hasMembers ? Math.min(upAt, this.down.dueAt(this.downPace)) : upAt;
	}

	/** How long no news were sent, in milliseconds. */
	get silentForMs(): number {
		return this.now - this.up.sentAt;
	}

	/** Something changed that others should know. */
	changed(): void {
		this.up.changed();
		this.down.changed();
	}

	/** Sends news that are due. */
	run(): void {
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

	receive(news: PeerNews): void {
		const { fleet } = this.opts;
		this.noteHeard(news);
		let isChanged = fleet.receive(news);
		if (news.kind === newsKinds.report && !news.leaving && this.aggregator !== undefined) {
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
	private passOn(news: PeerNews): void {
		if (news.kind === newsKinds.report) {
			this.up.changed();
		}
		this.down.changed();
	}

	/** This VM stops: it serves its members until they report to another, and then reports to another itself. */
	retire(): void {
		this.opts.selection.retired = true;
		this.update();
		this.sendNow();
	}

	/** Looks anew who gathers this VM's news; called several times a second. */
	update(): void {
		const { selection, fleet, listed } = this.opts;
		selection.update(listed());
		this.passOverSilent();
		const serves = fleet.members.length > 0;
		this.setAggregator(serves ? undefined : this.chosen());
		if (this.aggregator === undefined) {
			this.chooseOthers();
		} else if (this.silentForMs >= quietReportMs) {
			this.sendUp();
		}
	}

	private sendUp(): void {
		const { fleet } = this.opts;
		this.up.sentNow(this.now);
		this.tellPace();
		if (this.aggregator !== undefined) {
			this.send([parseAddress(this.aggregator)], fleet.takeReport());
		} else {
			this.send([...this.told.keys()].map(parseAddress), fleet.takeGroup());
		}
	}

	private sendDown(): void {
		const { fleet, selection } = this.opts;
		this.down.sentNow(this.now);
		this.tellPace();
		const members = fleet.members.map(({ address }) => parseAddress(address));
		const leaving = selection.retired;
		this.send(
			members,
			fleet.takeFleet().map((news) => ({ ...news, leaving })),
		);
	}

	private tellPace(): void {
		const { fleet } = this.opts;
		fleet.spacingMs = Math.max(
			this.upPace.spacingMs,
			this.hasMembers ? this.downPace.spacingMs : 0,
		);
		fleet.newsAgeMs = this.newsAgeMs;
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
		const chosen = selection.others(this.now).map(addressOf);
		const heard = fleet.otherAggregators.map(({ address }) => address);
		const all = new Set([...chosen, ...heard]);
		all.delete(addressOf(this.opts.self));
		for (const address of all) {
			if (!this.told.has(address)) {
				this.told.set(address, { since: this.now });
				this.up.changed();
			}
		}
		for (const address of this.told.keys()) {
			if (!all.has(address)) {
				this.told.delete(address);
			}
		}
	}

	private get upPace(): LanePace {
		if (this.aggregator !== undefined) {
			return { spacingMs: reportSpacingMs, quietMs: latestReportMs };
		}
		const least = this.opts.selection.isSmall ? leastSpacingMs : leastBetweenAggregatorsMs;
		return { spacingMs: spacingOf(this.told.size, least), quietMs };
	}

	/** Grows with those that are told. */
	private get downPace(): LanePace {
		const spacingMs = spacingOf(this.opts.fleet.members.length, leastToMembersMs);
		return { spacingMs, quietMs: aggregatorQuietMs };
	}

	/** From a VM to its aggregator, to another aggregator, to its members; in a small fleet from VM to VM. */
	private get newsAgeMs(): number {
		const { fleet, selection } = this.opts;
		if (this.aggregator !== undefined) {
			return reportSpacingMs + leastBetweenAggregatorsMs + (fleet.sourceSpacingMs ?? 0);
		}
		return this.upPace.spacingMs + (selection.isSmall ? 0 : reportSpacingMs);
	}

	/** Who should gather this VM's news; undefined for itself. */
	private chosen(): string | undefined {
		const { selection, self } = this.opts;
		if (!selection.knowsOthers) {
			const seeds = this.opts.seeds().map(addressOf);
			return seeds.find((seed) => !selection.isPassedOver(seed, this.now));
		}
		const address = addressOf(selection.own(this.now).address);
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
		const [news] = isMember ? fleet.takeReport() : fleet.takeGroup();
		if (news && to.length > 0) {
			this.opts.send(to.map(parseAddress), { ...news, work: [], leaving: true });
		}
	}

	private noteHeard(news: PeerNews): void {
		const told = this.told.get(news.address);
		if (told) {
			told.heardAt = this.now;
			this.opts.selection.serves(news.address);
		}
		if (news.address !== this.aggregator || news.kind !== newsKinds.fleet) {
			return;
		}
		if (news.leaving) {
			this.opts.selection.passOver(news.address, this.now);
			this.setAggregator(this.chosen());
			this.changed();
		} else if (this.opts.fleet.isAcknowledgedBy(news)) {
			this.acknowledgedAt = this.now;
			this.opts.selection.serves(news.address);
		}
	}

	private passOverSilent(): void {
		const { now, aggregator } = this;
		const { selection } = this.opts;
		if (aggregator !== undefined && now - this.acknowledgedAt > silentMs) {
			selection.passOver(aggregator, now);
			this.acknowledgedAt = now;
		}
		for (const [address, { since, heardAt }] of this.told) {
			if (now - (heardAt ?? since) > otherSilentMs && !selection.isPassedOver(address, now)) {
				selection.passOver(address, now);
			}
		}
	}

	private send(to: readonly HostPort[], news: readonly PeerNews[]): void {
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
