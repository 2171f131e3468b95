/**
 * Decides when this VM sends gossip, to whom, and whether it acts as an aggregator.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { HostPort } from '../relay/settings.js';
import { addressOf, parseAddress } from './address.js';
import type { AggregatorSelection, RegisteredVm } from './aggregator-selection.js';
import type { FleetView } from './fleet-view.js';
import type { GossipIntervals } from './gossip-schedule.js';
import { GossipSchedule } from './gossip-schedule.js';
import type { GossipMessage } from './types.js';
import { gossipKinds } from './types.js';

/** Minimum interval in a small fleet, where each VM sends to all others. */
const minPeerIntervalMs = 10;
/** Minimum interval between aggregators, and from an aggregator to its members; longer, since members are many more. */
const minAggregatorIntervalMs = 20;
const minMemberIntervalMs = 40;
/** Minimum interval between reports to an aggregator. */
const reportIntervalMs = 20;
/** Maximum datagrams per second of each kind; intervals grow with the number of receivers to stay below it. */
const maxDatagramsPerSecond = 600;
/** Maximum interval, which shows that this VM is alive. */
const maxIntervalMs = 250;
/**
 * A report without changes is sent in the `update` that follows this long after the last one, so the VM wakes up once for
 * both. The maximum applies when no update runs. Two such reports may be lost before the VM changes its aggregator.
 */
const idleReportIntervalMs = 240;
const maxReportIntervalMs = 250;
/** Maximum interval from an aggregator to its members; several messages may be lost before it counts as silent. */
const maxMemberIntervalMs = 125;
/** A VM changes its aggregator after this time without an acknowledgement of its reports. */
const aggregatorTimeoutMs = 500;
/** Another aggregator is excluded after this time without a message. */
const otherAggregatorTimeoutMs = 1000;

export interface GossipExchangeOptions {
	clock: Clock;
	log: Log;
	fleet: FleetView;
	selection: AggregatorSelection;
	self: HostPort;
	/** Other registered VMs. */
	otherVms: () => readonly RegisteredVm[];
	/** Aggregator candidates before any registered VM is known. */
	seeds: () => readonly HostPort[];
	send: (to: readonly HostPort[], message: GossipMessage) => void;
}

/** Another aggregator that receives this VM's gossip. */
interface Receiver {
	since: number;
	/** Time of its last message; undefined before the first. */
	receivedAt?: number;
}

export class GossipExchange {
	/** The aggregator that this VM reports to; undefined while it is one itself. */
	private aggregator?: string;
	/** Other aggregators by address; empty while this VM reports to one. */
	private readonly receivers = new Map<string, Receiver>();
	/** Schedule of gossip to the aggregator, or to the other aggregators. */
	private readonly upstream = new GossipSchedule();
	/** Schedule of gossip to the members. */
	private readonly downstream = new GossipSchedule();
	private acknowledgedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly opts: GossipExchangeOptions) {}

	/** Time at which `sendDue` should be called next, in monotonic milliseconds. */
	get dueAt(): number {
		const upstreamAt = this.upstream.dueAt(this.upstreamIntervals);
		return this.hasMembers
			? Math.min(upstreamAt, this.downstream.dueAt(this.downstreamIntervals))
			: upstreamAt;
	}

	/** Milliseconds since the last message upstream. */
	get sinceLastSendMs(): number {
		return this.now - this.upstream.lastSentAt;
	}

	/** Schedules gossip soon, since something changed that peers should know. */
	markChanged(): void {
		this.upstream.markChanged();
		this.downstream.markChanged();
	}

	/** Sends the messages that are due. */
	sendDue(): void {
		const { now } = this;
		if (now >= this.upstream.dueAt(this.upstreamIntervals)) {
			this.sendUpstream();
		}
		if (this.hasMembers && now >= this.downstream.dueAt(this.downstreamIntervals)) {
			this.sendDownstream();
		}
	}

	/** Sends at once, regardless of the schedule. */
	sendNow(): void {
		this.sendUpstream();
		if (this.hasMembers) {
			this.sendDownstream();
		}
	}

	receive(message: GossipMessage): void {
		const { fleet } = this.opts;
		this.recordSender(message);
		let isChanged = fleet.merge(message);
		if (
			message.kind === gossipKinds.report &&
			!message.isLeaving &&
			this.aggregator !== undefined
		) {
			// The sender chose this VM as its aggregator, so this VM becomes one.
			this.setAggregator(undefined);
			this.updateReceivers();
			isChanged = fleet.merge(message);
		}
		if (isChanged) {
			this.scheduleForwarding(message);
		}
	}

	/**
	 * Schedules a change to be forwarded: changes of members to the other aggregators and to the members, changes of other
	 * aggregators only to the members, so that aggregators don't echo each other.
	 */
	private scheduleForwarding(message: GossipMessage): void {
		if (message.kind === gossipKinds.report) {
			this.upstream.markChanged();
		}
		this.downstream.markChanged();
	}

	/**
	 * Gives up the aggregator role before this VM stops. It serves its members until they have moved to another aggregator,
	 * and then reports to one itself.
	 */
	retire(): void {
		this.opts.selection.isRetired = true;
		this.update();
		this.sendNow();
	}

	/** Re-evaluates this VM's role and aggregator; called several times a second. */
	update(): void {
		const { selection, fleet, otherVms } = this.opts;
		selection.update(otherVms());
		this.excludeSilent();
		const hasReports = fleet.members.length > 0;
		this.setAggregator(hasReports ? undefined : this.selectAddress());
		if (this.aggregator === undefined) {
			this.updateReceivers();
		} else if (this.sinceLastSendMs >= idleReportIntervalMs) {
			this.sendUpstream();
		}
	}

	private sendUpstream(): void {
		const { fleet } = this.opts;
		this.upstream.markSent(this.now);
		this.publishTiming();
		if (this.aggregator !== undefined) {
			this.send([parseAddress(this.aggregator)], fleet.composeReport());
		} else {
			this.send([...this.receivers.keys()].map(parseAddress), fleet.composeGroup());
		}
	}

	private sendDownstream(): void {
		const { fleet, selection } = this.opts;
		this.downstream.markSent(this.now);
		this.publishTiming();
		const members = fleet.members.map(({ address }) => parseAddress(address));
		const isLeaving = selection.isRetired;
		this.send(
			members,
			fleet.composeFleet().map((message) => ({ ...message, isLeaving })),
		);
	}

	/** Sets the timing that the fleet view reports to peers and to placement. */
	private publishTiming(): void {
		const { fleet } = this.opts;
		fleet.intervalMs = Math.max(
			this.upstreamIntervals.minIntervalMs,
			this.hasMembers ? this.downstreamIntervals.minIntervalMs : 0,
		);
		fleet.maxGossipAgeMs = this.maxGossipAgeMs;
	}

	private get hasMembers(): boolean {
		return this.aggregator === undefined && this.opts.fleet.members.length > 0;
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	/** Updates the receivers: the selected aggregators, and those that send their sums here. */
	private updateReceivers(): void {
		const { selection, fleet } = this.opts;
		const selected = selection.getOtherAggregators(this.now).map(addressOf);
		const senders = fleet.otherAggregators.map(({ address }) => address);
		const all = new Set([...selected, ...senders]);
		all.delete(addressOf(this.opts.self));
		for (const address of all) {
			if (!this.receivers.has(address)) {
				this.receivers.set(address, { since: this.now });
				this.upstream.markChanged();
			}
		}
		for (const address of this.receivers.keys()) {
			if (!all.has(address)) {
				this.receivers.delete(address);
			}
		}
	}

	private get upstreamIntervals(): GossipIntervals {
		if (this.aggregator !== undefined) {
			return { minIntervalMs: reportIntervalMs, maxIntervalMs: maxReportIntervalMs };
		}
		const minMs = this.opts.selection.isSmallFleet ? minPeerIntervalMs : minAggregatorIntervalMs;
		return { minIntervalMs: intervalFor(this.receivers.size, minMs), maxIntervalMs };
	}

	/** The minimum grows with the number of members. */
	private get downstreamIntervals(): GossipIntervals {
		const minIntervalMs = intervalFor(this.opts.fleet.members.length, minMemberIntervalMs);
		return { minIntervalMs, maxIntervalMs: maxMemberIntervalMs };
	}

	/** Sum of the intervals on the way from a VM over its and another aggregator to a member; one hop in a small fleet. */
	private get maxGossipAgeMs(): number {
		const { fleet, selection } = this.opts;
		if (this.aggregator !== undefined) {
			return reportIntervalMs + minAggregatorIntervalMs + (fleet.aggregatorIntervalMs ?? 0);
		}
		return this.upstreamIntervals.minIntervalMs + (selection.isSmallFleet ? 0 : reportIntervalMs);
	}

	/** Address of the aggregator to report to; undefined when this VM is its own. */
	private selectAddress(): string | undefined {
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
		this.announceDeparture();
		this.aggregator = address;
		this.acknowledgedAt = this.now;
		this.receivers.clear();
		fleet.reportTo(address);
		log.info('news.aggregator', { reports_to: address ?? 'none', peers: fleet.size });
	}

	/** Lets receivers drop this VM's work at once, since it will reach them through another aggregator. */
	private announceDeparture(): void {
		const { fleet } = this.opts;
		const isMember = this.aggregator !== undefined;
		const to = isMember ? [this.aggregator as string] : [...this.receivers.keys()];
		const [message] = isMember ? fleet.composeReport() : fleet.composeGroup();
		if (message && to.length > 0) {
			this.opts.send(to.map(parseAddress), { ...message, work: [], isLeaving: true });
		}
	}

	private recordSender(message: GossipMessage): void {
		const receiver = this.receivers.get(message.address);
		if (receiver) {
			receiver.receivedAt = this.now;
			this.opts.selection.readmit(message.address);
		}
		if (message.address !== this.aggregator || message.kind !== gossipKinds.fleet) {
			return;
		}
		if (message.isLeaving) {
			this.opts.selection.exclude(message.address, this.now);
			this.setAggregator(this.selectAddress());
			this.markChanged();
		} else if (this.opts.fleet.isAcknowledgedBy(message)) {
			this.acknowledgedAt = this.now;
			this.opts.selection.readmit(message.address);
		}
	}

	private excludeSilent(): void {
		const { now, aggregator } = this;
		const { selection } = this.opts;
		if (aggregator !== undefined && now - this.acknowledgedAt > aggregatorTimeoutMs) {
			selection.exclude(aggregator, now);
			this.acknowledgedAt = now;
		}
		for (const [address, { since, receivedAt }] of this.receivers) {
			if (
				now - (receivedAt ?? since) > otherAggregatorTimeoutMs &&
				!selection.isExcluded(address, now)
			) {
				selection.exclude(address, now);
			}
		}
	}

	private send(to: readonly HostPort[], messages: readonly GossipMessage[]): void {
		if (to.length > 0) {
			for (const message of messages) {
				this.opts.send(to, message);
			}
		}
	}
}

/** Returns the interval between messages to this many receivers, in milliseconds. */
function intervalFor(receivers: number, minMs: number): number {
	return Math.max(minMs, (receivers * 1000) / maxDatagramsPerSecond);
}
