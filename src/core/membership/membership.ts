/**
 * Failure detector with gossip: probes one member at a time and piggybacks updates on the probes, so that the cost per member
 * does not grow with the fleet. Implements Das, Gupta and Motivala, "SWIM", 2002.
 * @module
 */
import type { Clock, Random, VmEntry } from '../definitions.js';
import { GossipQueue } from './gossip-queue.js';
import type { Member, MembershipMessage, MemberUpdate, OutgoingMessage } from './types.js';
import { memberStates } from './types.js';

/** Number of members that probe on behalf of this one after an unanswered probe. */
const indirectProbes = 3;
/** Share of the probe interval after which an unanswered probe is tried indirectly. */
const directProbeShare = 0.4;
/** Probe intervals after which a suspect that does not refute is declared dead. */
const suspectTimeoutProbes = 4;
/** Time after which a dead member is removed. */
const deadRetentionMs = 600_000;
/** Every n-th probe goes to a dead member, so that a partitioned fleet merges again. */
const deadProbeInterval = 5;

export interface MembershipOptions {
	self: { id: string; address: string; port: number; domain: string };
	clock: Clock;
	random: Random;
	probeIntervalMs: number;
	send: (out: OutgoingMessage<MembershipMessage>) => void;
	/** Called when a member joined, left or changed its state. */
	onChange: (member: Member) => void;
}

interface Probe {
	seq: number;
	target: string;
	sentAt: number;
	isIndirect: boolean;
}

interface RelayedProbe {
	seq: number;
	to: Member;
	expiresAt: number;
}

export class Membership {
	private readonly members = new Map<string, Member>();
	private readonly changedAt = new Map<string, number>();
	private readonly gossip = new GossipQueue();
	private probeOrder: string[] = [];
	private readonly relayedProbes = new Map<number, RelayedProbe>();
	private probe?: Probe;
	private seq = 0;
	private round = 0;
	private nextProbeAt = 0;
	private listedCount = 0;

	constructor(private readonly opts: MembershipOptions) {
		const { self } = opts;
		const incarnation = Math.floor(opts.clock.wall());
		this.members.set(self.id, {
			...self,
			state: memberStates.alive,
			incarnation,
			version: 0,
		});
	}

	get self(): Member {
		return this.members.get(this.opts.self.id) as Member;
	}

	/** Members that are alive or suspect, including this one, sorted by id. */
	getLiveMembers(): Member[] {
		const live = [...this.members.values()].filter((member) => member.state !== memberStates.dead);
		return live.sort((a, b) => (a.id < b.id ? -1 : 1));
	}

	getAllMembers(): Member[] {
		return [...this.members.values()];
	}

	get(id: string): Member | undefined {
		return this.members.get(id);
	}

	/**
	 * Share of the listed fleet that this member sees. Below one half it may be in the minority of a network partition and may
	 * use only a share of each endpoint.
	 */
	getVisibleShare(): number {
		const known = Math.max(this.listedCount, 1);
		return Math.min(this.getLiveMembers().length / known, 1);
	}

	/** Announces the configuration version in force at this member. */
	setConfigurationVersion(version: number): void {
		const { self } = this;
		self.version = version;
		this.enqueueUpdate(self.id);
	}

	/** Adds members from the platform's list, which may be outdated and does not override gossip. */
	addCandidates(vms: readonly VmEntry[]): void {
		this.listedCount = vms.filter((vm) => !vm.isLeaving).length;
		for (const vm of vms) {
			const known = this.members.get(vm.id);
			const hasMoved = known && (known.port !== vm.controlPort || known.address !== vm.address);
			if (!known || (hasMoved && known.state === memberStates.dead)) {
				this.addMember({
					id: vm.id,
					address: vm.address,
					port: vm.controlPort,
					domain: vm.domain,
					state: memberStates.alive,
					incarnation: 0,
					version: 0,
				});
			}
		}
	}

	/** Runs timers; called several times per probe interval. */
	tick(): void {
		const now = this.opts.clock.monotonic();
		this.checkProbe(now);
		this.expireSuspects(now);
		if (now >= this.nextProbeAt) {
			this.nextProbeAt = now + this.opts.probeIntervalMs;
			this.startProbe(now);
		}
	}

	receive(message: MembershipMessage): void {
		this.merge(message.from);
		for (const update of message.updates) {
			this.merge(update);
		}
		if (message.kind === 'ping') {
			this.sendAck(message.from, message.seq);
		} else if (message.kind === 'ack') {
			this.handleAck(message);
		} else {
			this.relayProbe(message);
		}
	}

	/** Announces that this member stops, so that the others need not detect it. */
	leave(): void {
		const { self } = this;
		self.state = memberStates.dead;
		self.incarnation++;
		this.enqueueUpdate(self.id);
		for (const member of this.getLiveMembers().slice(0, indirectProbes * 2)) {
			this.send(member, { kind: 'ping', seq: 0, from: self, updates: [] });
		}
	}

	/** Refutes a possible suspicion after this process was paused. */
	handleProcessResumed(): void {
		this.probe = undefined;
		this.self.incarnation++;
		this.enqueueUpdate(this.self.id);
	}

	private startProbe(now: number): void {
		const target = this.nextTarget();
		if (!target) {
			return;
		}
		this.seq++;
		this.probe = { seq: this.seq, target: target.id, sentAt: now, isIndirect: false };
		this.sendPing(target, this.seq);
	}

	/** Picks each live member once per shuffled round, and regularly a dead one. */
	private nextTarget(): Member | undefined {
		this.round++;
		const dead = this.getAllMembers().filter((member) => member.state === memberStates.dead);
		if (this.round % deadProbeInterval === 0 && dead.length > 0) {
			return dead[Math.floor(this.opts.random.next() * dead.length)];
		}
		for (let tries = 0; tries < 2; tries++) {
			while (this.probeOrder.length > 0) {
				const member = this.members.get(this.probeOrder.pop() as string);
				if (member && member.state !== memberStates.dead && member.id !== this.self.id) {
					return member;
				}
			}
			this.probeOrder = shuffled(
				this.getLiveMembers().map((member) => member.id),
				this.opts.random,
			);
		}
		return undefined;
	}

	private checkProbe(now: number): void {
		const { probe } = this;
		if (!probe) {
			return;
		}
		const elapsedMs = now - probe.sentAt;
		if (!probe.isIndirect && elapsedMs > this.opts.probeIntervalMs * directProbeShare) {
			probe.isIndirect = true;
			this.requestIndirectProbes(probe);
		}
		if (elapsedMs > this.opts.probeIntervalMs * 0.95) {
			this.probe = undefined;
			this.suspect(probe.target);
		}
	}

	private requestIndirectProbes(probe: Probe): void {
		const others = this.getLiveMembers().filter(
			(member) => member.id !== probe.target && member.id !== this.self.id,
		);
		for (const helper of shuffled(others, this.opts.random).slice(0, indirectProbes)) {
			this.send(helper, {
				kind: 'ping-req',
				seq: probe.seq,
				from: this.self,
				target: probe.target,
				updates: this.takeUpdates(),
			});
		}
	}

	private suspect(id: string): void {
		const member = this.members.get(id);
		if (member?.state === memberStates.alive) {
			this.merge({ ...member, state: memberStates.suspect });
		}
	}

	private expireSuspects(now: number): void {
		for (const member of this.getAllMembers()) {
			const since = now - (this.changedAt.get(member.id) ?? now);
			if (
				member.state === memberStates.suspect &&
				since > suspectTimeoutProbes * this.opts.probeIntervalMs
			) {
				this.merge({ ...member, state: memberStates.dead });
			} else if (member.state === memberStates.dead && since > deadRetentionMs) {
				this.members.delete(member.id);
				this.gossip.remove(member.id);
			}
		}
	}

	private handleAck(message: MembershipMessage & { kind: 'ack' }): void {
		if (this.probe?.target === message.from.id) {
			this.probe = undefined;
		}
		const relay = this.relayedProbes.get(message.seq);
		if (relay) {
			this.relayedProbes.delete(message.seq);
			this.send(relay.to, { ...message, seq: relay.seq, updates: this.takeUpdates() });
		}
	}

	/** Probes a member on behalf of another and forwards its answer. */
	private relayProbe(message: MembershipMessage & { kind: 'ping-req' }): void {
		const target = this.members.get(message.target);
		const requester = this.members.get(message.from.id);
		if (!target || !requester) {
			return;
		}
		const now = this.opts.clock.monotonic();
		for (const [seq, relay] of this.relayedProbes) {
			if (relay.expiresAt < now) {
				this.relayedProbes.delete(seq);
			}
		}
		this.seq++;
		this.relayedProbes.set(this.seq, {
			seq: message.seq,
			to: requester,
			expiresAt: now + this.opts.probeIntervalMs,
		});
		this.sendPing(target, this.seq);
	}

	private sendAck(to: MemberUpdate, seq: number): void {
		const member = this.members.get(to.id) ?? to;
		this.send(member, { kind: 'ack', seq, from: this.self, updates: this.takeUpdates() });
	}

	private sendPing(member: Member, seq: number): void {
		this.send(member, { kind: 'ping', seq, from: this.self, updates: this.takeUpdates() });
	}

	private send(member: Member, message: MembershipMessage): void {
		const { id, address, port } = member;
		this.opts.send({ to: { id, address, port }, message });
	}

	/** Merges an update: a newer incarnation wins, or the worse state of the same incarnation. */
	private merge(update: MemberUpdate): void {
		if (update.id === this.self.id) {
			this.refute(update);
			return;
		}
		const known = this.members.get(update.id);
		if (!known) {
			if (update.state !== memberStates.dead) {
				this.addMember({ ...update });
			}
			return;
		}
		if (!isNewer(update, known)) {
			if (update.incarnation === known.incarnation && update.version > known.version) {
				known.version = update.version;
			}
			return;
		}
		const hasChanged = update.state !== known.state || update.port !== known.port;
		Object.assign(known, update);
		this.changedAt.set(known.id, this.opts.clock.monotonic());
		this.enqueueUpdate(known.id);
		if (hasChanged) {
			this.opts.onChange(known);
		}
	}

	private addMember(member: Member): void {
		this.members.set(member.id, member);
		this.changedAt.set(member.id, this.opts.clock.monotonic());
		this.enqueueUpdate(member.id);
		this.opts.onChange(member);
	}

	/** Refutes a report that this member is not alive by raising its incarnation. */
	private refute(update: MemberUpdate): void {
		const { self } = this;
		const isWronglySuspected =
			update.state !== memberStates.alive && self.state === memberStates.alive;
		if (isWronglySuspected && update.incarnation >= self.incarnation) {
			self.incarnation = update.incarnation + 1;
			this.enqueueUpdate(self.id);
		}
	}

	private enqueueUpdate(id: string): void {
		this.gossip.enqueue(id, this.members.size);
	}

	private takeUpdates(): MemberUpdate[] {
		const members = this.gossip.takeNext().map((id) => this.members.get(id));
		return members.filter((member) => member !== undefined).map((member) => ({ ...member }));
	}
}

const stateRank = { alive: 0, suspect: 1, dead: 2 } as const;

function isNewer(update: MemberUpdate, known: Member): boolean {
	if (update.incarnation !== known.incarnation) {
		return update.incarnation > known.incarnation;
	}
	return stateRank[update.state] > stateRank[known.state];
}

function shuffled<T>(items: readonly T[], random: Random): T[] {
	const copy = [...items];
	for (let index = copy.length - 1; index > 0; index--) {
		const other = Math.floor(random.next() * (index + 1));
		[copy[index], copy[other]] = [copy[other] as T, copy[index] as T];
	}
	return copy;
}
