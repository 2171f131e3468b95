/**
 * One daemon's part in the fleet: membership, ownership of endpoints, granted slots.
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

/** Time between two looks at timers and ledgers, in milliseconds. */
const tickMs = 100;
/** Least time between two looks for reports that are due, in milliseconds. */
const reportMs = 10;
/** Least time between two decisions on owned endpoints, in milliseconds. */
const decideMs = 10;
/** Time between two reads of the VM list, in milliseconds. */
const vmListMs = 5000;
/** A fleet that has just started is read more often, in milliseconds after the start. */
const firstReadsMs = [300, 700, 1200, 2000, 3500];
/** A tick that comes so late shows that the process was paused, in milliseconds. */
const pausedMs = 1000;
/** After a pause nothing starts for so long, so that views are fresh, in milliseconds. */
const refreshMs = 500;

/** Start of the numbers that stand for times in messages: 2026-01-01. */
const numbersFromMs = 1_767_225_600_000;
/** Terms of owners are told apart by this much time, in milliseconds. */
const epochStepMs = 100;
/** A process of a VM numbers its reports behind those of the one before, at up to 100 a second. */
const seqStepMs = 10;

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
	/** A member has a newer configuration in force. */
	onNewerVersion: (member: Member) => void;
	onOwnedChanged: (owned: readonly Endpoint[]) => void;
	/** Whether the platform's list says that this VM is leaving. */
	onListedLeaving: (leaving: boolean) => void;
}

export class FleetNode {
	readonly membership: Membership;
	readonly ownedLedgers: OwnedLedgers;
	readonly policy: GrantedPolicy;
	private readonly timers: NodeJS.Timeout[] = [];
	private lastTick: number;
	private version = 0;
	private appliedMembers = '';
	private deskDue = false;
	private decidedAt = 0;
	private reportDue = false;
	private reportedAt = 0;
	private laterTimer?: NodeJS.Timeout;

	constructor(private readonly opts: FleetNodeOptions) {
		const { clock, random, self } = opts;
		this.lastTick = clock.monotonic();
		this.membership = new Membership({
			self,
			clock,
			random,
			probeIntervalMs: opts.probeIntervalMs,
			send: ({ to, message }) => opts.transport.send(to, { type: 'membership', body: message }),
			onChange: (member) => this.memberChanged(member),
		});
		this.ownedLedgers = new OwnedLedgers({
			self: self.id,
			sendReply: (to, body) => this.send(to, { type: 'reply', body }),
			newEpoch: () => shortTime(clock.wall(), epochStepMs),
			onOwnedChanged: (owned) => opts.onOwnedChanged(owned),
			recordEvent: (kind, fields) => opts.timeline.record(kind, fields),
		});
		this.policy = new GrantedPolicy({
			self: self.id,
			fleetSize: () => this.membership.liveMembers().length,
			sendReport: (owner, body) => this.send(owner, { type: 'report', body }),
			ownerOf: (endpoint) => this.ownedLedgers.ownerOf(endpoint),
			preempt: (ticket) => opts.router.preempt(ticket),
			isPreemptable: (ticket) => opts.router.isPreemptable(ticket),
			wake: () => opts.router.scheduleDispatch(),
			firstSeq: shortTime(clock.wall(), seqStepMs),
		});
	}

	start(): void {
		this.applyMembers();
		this.timers.push(setInterval(() => this.tick(), tickMs));
		this.timers.push(setInterval(() => void this.readVmList(), vmListMs));
		for (const wait of firstReadsMs) {
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
		this.version = cfg.version;
		this.membership.setConfigurationVersion(cfg.version);
		this.ownedLedgers.configure(cfg, this.opts.clock.monotonic());
		this.policy.refreshOwners();
	}

	/** Requests started or ended: tell the owners what they must know. */
	scheduleReport(): void {
		if (this.reportDue) {
			return;
		}
		this.reportDue = true;
		const wait = this.reportedAt + reportMs - this.opts.clock.monotonic();
		setTimeout(() => this.report(), Math.max(wait, 0));
	}

	/** Takes in what a peer sent. */
	receive(batch: PeerBatch): void {
		for (const message of batch.messages) {
			this.receiveOne(batch.from, message);
		}
	}

	private receiveOne(from: string, message: PeerMessage): void {
		const now = this.opts.clock.monotonic();
		if (message.type === 'membership') {
			this.membership.receive(message.body);
			if (message.body.from.version > this.version) {
				this.opts.onNewerVersion(message.body.from);
			}
		} else if (message.type === 'report') {
			this.ownedLedgers.applyReport(from, message.body, now);
			this.decideSoon();
		} else {
			this.policy.applyReply(from, message.body, now);
		}
	}

	/** Messages to this daemon itself take no way over the network. */
	private send(to: string, message: PeerMessage): void {
		if (to === this.opts.self.id) {
			setImmediate(() => this.receiveOne(to, message));
			return;
		}
		const member = this.membership.get(to);
		if (member) {
			this.opts.transport.send(member, message);
		}
	}

	/** At once after a quiet time; under load several reports are decided on together. */
	private decideSoon(): void {
		if (this.deskDue) {
			return;
		}
		this.deskDue = true;
		const wait = this.decidedAt + decideMs - this.opts.clock.monotonic();
		setTimeout(() => this.decide(), Math.max(wait, 0));
	}

	private decide(): void {
		this.deskDue = false;
		this.decidedAt = this.opts.clock.monotonic();
		this.ownedLedgers.allocateSlots(this.decidedAt);
	}

	private tick(): void {
		const now = this.opts.clock.monotonic();
		if (now - this.lastTick > pausedMs) {
			this.wasPaused(now);
		}
		this.lastTick = now;
		this.membership.tick();
		this.decide();
		this.report();
	}

	private reportLater(): void {
		this.laterTimer ??= setTimeout(() => {
			this.laterTimer = undefined;
			this.report();
		}, escalationDelayMs);
	}

	private report(): void {
		this.reportDue = false;
		this.reportedAt = this.opts.clock.monotonic();
		const state = this.opts.router.state();
		if (state && state.cfg.document.policy.name === 'granted') {
			const again = this.policy.sendDueReports(state);
			if (again) {
				this.reportLater();
			}
		}
	}

	/** What was believed before the pause is no longer true. */
	private wasPaused(now: number): void {
		const pausedFor = Math.round(now - this.lastTick);
		this.opts.log.warn('clock.jumped', { paused_ms: pausedFor });
		this.opts.timeline.record(eventKinds.clockJumped, { value: pausedFor });
		this.opts.router.pauseDispatchUntil(now + refreshMs);
		this.policy.dropGrants();
		this.membership.handleProcessResumed();
		this.ownedLedgers.clear();
		this.appliedMembers = '';
		this.applyMembers();
		void this.readVmList();
	}

	private memberChanged(member: Member): void {
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
		const live = this.membership.liveMembers().map((member) => member.id);
		const share = this.membership.visibleShare();
		const key = `${share} ${live.join(' ')}`;
		if (key === this.appliedMembers) {
			return;
		}
		this.appliedMembers = key;
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

/** Small numbers that grow with time, so that they take few bytes. */
function shortTime(wallMs: number, stepMs: number): number {
	return Math.floor((wallMs - numbersFromMs) / stepMs);
}
