/**
 * Connects a daemon to the fleet: membership, endpoint ownership, and slots granted by owners.
 * @module
 */
import type { ConfigurationView, Endpoint } from '../core/configuration/index.js';
import type { Clock, Log, Random, VmList } from '../core/definitions.js';
import { Membership } from '../core/membership/membership.js';
import type { Member } from '../core/membership/types.js';
import { memberStates } from '../core/membership/types.js';
import type { PeerBatch, PeerMessage, PeerTransport } from '../core/peers.js';
import type { Router } from '../core/requests/router.js';
import { GrantedPolicy } from '../core/scheduling/granted-policy.js';
import { OwnedLedgers } from '../core/scheduling/owned-ledgers.js';
import { escalationDelayMs } from '../core/scheduling/report-targets.js';
import type { Timeline } from '../core/timeline/index.js';
import { eventKinds } from '../core/timeline/index.js';

const tickIntervalMs = 100;
const minReportIntervalMs = 10;
const minDecisionIntervalMs = 10;
const vmListIntervalMs = 5000;
/** Additional reads after the start, so that VMs that start together find each other quickly. */
const initialVmListReadsMs = [300, 700, 1200, 2000, 3500];
/** A longer time between two ticks means that the process was paused. */
const pauseThresholdMs = 1000;
/** Dispatch stays suspended this long after a pause, until peers have sent their state. */
const dispatchPauseMs = 500;

/** Origin of the time-based numbers in messages: 2026-01-01. */
const numberingStartMs = 1_767_225_600_000;
/** Resolution of the epochs of owners. */
const epochResolutionMs = 100;
/** After a restart, report numbers exceed earlier ones as long as fewer than 100 a second are sent. */
const seqResolutionMs = 10;

export interface FleetNodeOptions {
	self: { id: string; address: string; port: number; domain: string };
	probeIntervalMs: number;
	clock: Clock;
	random: Random;
	log: Log;
	timeline: Timeline;
	router: Router;
	vmList: VmList;
	transport: PeerTransport;
	/** Called when a member has applied a newer configuration. */
	onNewerVersion: (member: Member) => void;
	onOwnedChanged: (owned: readonly Endpoint[]) => void;
	/** Called after each read of the VM list with whether it marks this VM as leaving. */
	onListedLeaving: (leaving: boolean) => void;
}

export class FleetNode {
	readonly membership: Membership;
	readonly ownedLedgers: OwnedLedgers;
	readonly policy: GrantedPolicy;
	private readonly timers: NodeJS.Timeout[] = [];
	private lastTickAt: number;
	private configurationVersion = 0;
	private appliedMembersKey = '';
	private isDecisionScheduled = false;
	private decidedAt = 0;
	private isReportScheduled = false;
	private reportedAt = 0;
	private delayedReportTimer?: NodeJS.Timeout;

	constructor(private readonly opts: FleetNodeOptions) {
		const { clock, random, self } = opts;
		this.lastTickAt = clock.monotonic();
		this.membership = new Membership({
			self,
			clock,
			random,
			probeIntervalMs: opts.probeIntervalMs,
			send: ({ to, message }) => opts.transport.send(to, { type: 'membership', body: message }),
			onChange: (member) => this.handleMemberChange(member),
		});
		this.ownedLedgers = new OwnedLedgers({
			self: self.id,
			sendReply: (to, body) => this.send(to, { type: 'reply', body }),
			newEpoch: () => coarseTime(clock.wall(), epochResolutionMs),
			onOwnedChanged: (owned) => opts.onOwnedChanged(owned),
			recordEvent: (kind, fields) => opts.timeline.record(kind, fields),
		});
		this.policy = new GrantedPolicy({
			self: self.id,
			fleetSize: () => this.membership.getLiveMembers().length,
			sendReport: (owner, body) => this.send(owner, { type: 'report', body }),
			ownerOf: (endpoint) => this.ownedLedgers.ownerOf(endpoint),
			preempt: (ticket) => opts.router.preempt(ticket),
			isPreemptable: (ticket) => opts.router.isPreemptable(ticket),
			wake: () => opts.router.scheduleDispatch(),
			firstSeq: coarseTime(clock.wall(), seqResolutionMs),
		});
	}

	start(): void {
		this.applyMembers();
		this.timers.push(setInterval(() => this.tick(), tickIntervalMs));
		this.timers.push(setInterval(() => void this.readVmList(), vmListIntervalMs));
		for (const wait of initialVmListReadsMs) {
			this.timers.push(setTimeout(() => void this.readVmList(), wait));
		}
		void this.readVmList();
	}

	stop(): void {
		this.membership.leave();
		for (const timer of this.timers) {
			clearInterval(timer);
		}
	}

	configure(cfg: ConfigurationView): void {
		this.configurationVersion = cfg.version;
		this.membership.setConfigurationVersion(cfg.version);
		this.ownedLedgers.configure(cfg, this.opts.clock.monotonic());
		this.policy.refreshOwners();
	}

	/** Schedules a report to the owners after requests have started or ended. */
	scheduleReport(): void {
		if (this.isReportScheduled) {
			return;
		}
		this.isReportScheduled = true;
		const wait = this.reportedAt + minReportIntervalMs - this.opts.clock.monotonic();
		setTimeout(() => this.report(), Math.max(wait, 0));
	}

	/** Handles the messages of a peer. */
	receive(batch: PeerBatch): void {
		for (const message of batch.messages) {
			this.receiveMessage(batch.from, message);
		}
	}

	private receiveMessage(from: string, message: PeerMessage): void {
		const now = this.opts.clock.monotonic();
		if (message.type === 'membership') {
			this.membership.receive(message.body);
			if (message.body.from.version > this.configurationVersion) {
				this.opts.onNewerVersion(message.body.from);
			}
		} else if (message.type === 'report') {
			this.ownedLedgers.applyReport(from, message.body, now);
			this.scheduleDecision();
		} else {
			this.policy.applyReply(from, message.body, now);
		}
	}

	/** Delivers messages to this daemon locally. */
	private send(to: string, message: PeerMessage): void {
		if (to === this.opts.self.id) {
			setImmediate(() => this.receiveMessage(to, message));
			return;
		}
		const member = this.membership.get(to);
		if (member) {
			this.opts.transport.send(member, message);
		}
	}

	/** Schedules a decision; under load one decision covers several reports. */
	private scheduleDecision(): void {
		if (this.isDecisionScheduled) {
			return;
		}
		this.isDecisionScheduled = true;
		const wait = this.decidedAt + minDecisionIntervalMs - this.opts.clock.monotonic();
		setTimeout(() => this.decide(), Math.max(wait, 0));
	}

	private decide(): void {
		this.isDecisionScheduled = false;
		this.decidedAt = this.opts.clock.monotonic();
		this.ownedLedgers.allocateSlots(this.decidedAt);
	}

	private tick(): void {
		const now = this.opts.clock.monotonic();
		if (now - this.lastTickAt > pauseThresholdMs) {
			this.handlePause(now);
		}
		this.lastTickAt = now;
		this.membership.tick();
		this.decide();
		this.report();
	}

	private scheduleDelayedReport(): void {
		this.delayedReportTimer ??= setTimeout(() => {
			this.delayedReportTimer = undefined;
			this.report();
		}, escalationDelayMs);
	}

	private report(): void {
		this.isReportScheduled = false;
		this.reportedAt = this.opts.clock.monotonic();
		const state = this.opts.router.getState();
		if (state && state.cfg.document.policy.name === 'granted') {
			const isReportDue = this.policy.sendDueReports(state);
			if (isReportDue) {
				this.scheduleDelayedReport();
			}
		}
	}

	/** Discards grants and ledgers that became stale during a pause, and rebuilds the view of the fleet. */
	private handlePause(now: number): void {
		const pausedForMs = Math.round(now - this.lastTickAt);
		this.opts.log.warn('clock.jumped', { paused_ms: pausedForMs });
		this.opts.timeline.record(eventKinds.clockJumped, { value: pausedForMs });
		this.opts.router.pauseDispatchUntil(now + dispatchPauseMs);
		this.policy.dropGrants();
		this.membership.handleProcessResumed();
		this.ownedLedgers.clear();
		this.appliedMembersKey = '';
		this.applyMembers();
		void this.readVmList();
	}

	private handleMemberChange(member: Member): void {
		this.opts.timeline.record(eventKinds.memberChanged, {
			member: member.id,
			reason: member.state,
		});
		if (member.state === memberStates.dead) {
			this.opts.log.warn('member.dead', { member: member.id });
			this.ownedLedgers.removeMember(member.id);
		}
		this.applyMembers();
	}

	private applyMembers(): void {
		const live = this.membership.getLiveMembers().map((member) => member.id);
		const share = this.membership.getVisibleShare();
		const key = `${share} ${live.join(' ')}`;
		if (key === this.appliedMembersKey) {
			return;
		}
		this.appliedMembersKey = key;
		const now = this.opts.clock.monotonic();
		this.ownedLedgers.setMembers(live, share, now);
		this.policy.refreshOwners();
	}

	private async readVmList(): Promise<void> {
		try {
			const vms = await this.opts.vmList.list();
			this.membership.addCandidates(vms);
			const own = vms.find((vm) => vm.id === this.opts.self.id);
			this.opts.onListedLeaving(own?.isLeaving === true);
			this.applyMembers();
		} catch (err) {
			this.opts.log.debug('vm-list.read-failed', { error: (err as Error).message });
		}
	}
}

/** Maps time to small increasing numbers, which encode in few bytes. */
function coarseTime(wallMs: number, resolutionMs: number): number {
	return Math.floor((wallMs - numberingStartMs) / resolutionMs);
}
