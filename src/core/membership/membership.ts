/**
 * Who is alive, by probing one member at a time and passing news on with the probes. The cost
 * for each member does not grow with the fleet. Source: Das, Gupta and Motivala, "SWIM", 2002.
 * @module
 */
import type { Clock, Random, VmEntry } from '../definitions.js';
import { GossipQueue } from './gossip-queue.js';
import type { Member, MembershipMessage, MemberUpdate, OutgoingMessage } from './types.js';
import { memberStates } from './types.js';

/** Members asked to probe for us when a probe gets no answer. */
const helpers = 3;
/** A probe is answered within this share of the probe time, else helpers are asked. */
const directShare = 0.4;
/** A suspect is dead after this many probe times, unless it speaks up. */
const suspectProbes = 4;
/** A dead member is forgotten after so long, in milliseconds. */
const forgetMs = 600_000;
/** Probes go to dead members of the list too, once in so many, so that cut halves find back. */
const deadProbeEvery = 5;

export interface MembershipOptions {
	self: { id: string; address: string; port: number; domain: string };
	clock: Clock;
	random: Random;
	/** Time between two probes, in milliseconds. */
	probeIntervalMs: number;
	send: (out: OutgoingMessage<MembershipMessage>) => void;
	/** Called when a member came, left, or was declared dead. */
	onChange: (member: Member) => void;
}

interface Probe {
	seq: number;
	target: string;
	sentAt: number;
	helped: boolean;
}

interface Relay {
	seq: number;
	to: Member;
	until: number;
}

export class Membership {
	private readonly members = new Map<string, Member>();
	private readonly changedAt = new Map<string, number>();
	private readonly news = new GossipQueue();
	private order: string[] = [];
	private readonly relays = new Map<number, Relay>();
	private probe?: Probe;
	private seq = 0;
	private round = 0;
	private nextProbeAt = 0;
	private listed = 0;

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

	/** Members believed alive or only suspected, this one included, by name. */
	liveMembers(): Member[] {
		const live = [...this.members.values()].filter((member) => member.state !== memberStates.dead);
		return live.sort((a, b) => (a.id < b.id ? -1 : 1));
	}

	allMembers(): Member[] {
		return [...this.members.values()];
	}

	get(id: string): Member | undefined {
		return this.members.get(id);
	}

	/**
	 * Share of the listed fleet that this member sees. Below one half it may be the cut-off part
	 * and must not claim whole endpoints.
	 */
	visibleShare(): number {
		const known = Math.max(this.listed, 1);
		return Math.min(this.liveMembers().length / known, 1);
	}

	/** Tells the others which configuration this member has in force. */
	setConfigurationVersion(version: number): void {
		const { self } = this;
		self.version = version;
		this.spread(self.id);
	}

	/** Takes in the platform's list: names candidates, nothing more, since it lags. */
	addCandidates(vms: readonly VmEntry[]): void {
		this.listed = vms.filter((vm) => !vm.leaving).length;
		for (const vm of vms) {
			const known = this.members.get(vm.id);
			const moved = known && (known.port !== vm.controlPort || known.address !== vm.address);
			if (!known || (moved && known.state === memberStates.dead)) {
				this.learn({
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

	/** Moves time on; called several times in a probe time. */
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
			this.reply(message.from, message.seq);
		} else if (message.kind === 'ack') {
			this.acked(message);
		} else {
			this.helpProbe(message);
		}
	}

	/** This member stops: the others need not wait for the probes. */
	leave(): void {
		const { self } = this;
		self.state = memberStates.dead;
		self.incarnation++;
		this.spread(self.id);
		for (const member of this.liveMembers().slice(0, helpers * 2)) {
			this.send(member, { kind: 'ping', seq: 0, from: self, updates: [] });
		}
	}

	/** This process was paused: others may have given it up. */
	handleProcessResumed(): void {
		this.probe = undefined;
		this.self.incarnation++;
		this.spread(this.self.id);
	}

	private startProbe(now: number): void {
		const target = this.nextTarget();
		if (!target) {
			return;
		}
		this.seq++;
		this.probe = { seq: this.seq, target: target.id, sentAt: now, helped: false };
		this.ping(target, this.seq);
	}

	/** Each member once in a shuffled round; now and then a dead one. */
	private nextTarget(): Member | undefined {
		this.round++;
		const dead = this.allMembers().filter((member) => member.state === memberStates.dead);
		if (this.round % deadProbeEvery === 0 && dead.length > 0) {
			return dead[Math.floor(this.opts.random.next() * dead.length)];
		}
		for (let tries = 0; tries < 2; tries++) {
			while (this.order.length > 0) {
				const member = this.members.get(this.order.pop() as string);
				if (member && member.state !== memberStates.dead && member.id !== this.self.id) {
					return member;
				}
			}
			this.order = shuffled(
				this.liveMembers().map((member) => member.id),
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
		const waited = now - probe.sentAt;
		if (!probe.helped && waited > this.opts.probeIntervalMs * directShare) {
			probe.helped = true;
			this.askHelpers(probe);
		}
		if (waited > this.opts.probeIntervalMs * 0.95) {
			this.probe = undefined;
			this.suspect(probe.target);
		}
	}

	private askHelpers(probe: Probe): void {
		const others = this.liveMembers().filter(
			(member) => member.id !== probe.target && member.id !== this.self.id,
		);
		for (const helper of shuffled(others, this.opts.random).slice(0, helpers)) {
			this.send(helper, {
				kind: 'ping-req',
				seq: probe.seq,
				from: this.self,
				target: probe.target,
				updates: this.takeNews(),
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
		for (const member of this.allMembers()) {
			const since = now - (this.changedAt.get(member.id) ?? now);
			if (
				member.state === memberStates.suspect &&
				since > suspectProbes * this.opts.probeIntervalMs
			) {
				this.merge({ ...member, state: memberStates.dead });
			} else if (member.state === memberStates.dead && since > forgetMs) {
				this.members.delete(member.id);
				this.news.remove(member.id);
			}
		}
	}

	private acked(message: MembershipMessage & { kind: 'ack' }): void {
		if (this.probe?.target === message.from.id) {
			this.probe = undefined;
		}
		const relay = this.relays.get(message.seq);
		if (relay) {
			this.relays.delete(message.seq);
			this.send(relay.to, { ...message, seq: relay.seq, updates: this.takeNews() });
		}
	}

	/** Probes a member for another, and passes its answer back. */
	private helpProbe(message: MembershipMessage & { kind: 'ping-req' }): void {
		const target = this.members.get(message.target);
		const asker = this.members.get(message.from.id);
		if (!target || !asker) {
			return;
		}
		const now = this.opts.clock.monotonic();
		for (const [seq, relay] of this.relays) {
			if (relay.until < now) {
				this.relays.delete(seq);
			}
		}
		this.seq++;
		this.relays.set(this.seq, {
			seq: message.seq,
			to: asker,
			until: now + this.opts.probeIntervalMs,
		});
		this.ping(target, this.seq);
	}

	private reply(to: MemberUpdate, seq: number): void {
		const member = this.members.get(to.id) ?? to;
		this.send(member, { kind: 'ack', seq, from: this.self, updates: this.takeNews() });
	}

	private ping(member: Member, seq: number): void {
		this.send(member, { kind: 'ping', seq, from: this.self, updates: this.takeNews() });
	}

	private send(member: Member, message: MembershipMessage): void {
		const { id, address, port } = member;
		this.opts.send({ to: { id, address, port }, message });
	}

	/** Takes in news; a newer incarnation wins, and of one incarnation the worse state. */
	private merge(update: MemberUpdate): void {
		if (update.id === this.self.id) {
			this.refute(update);
			return;
		}
		const known = this.members.get(update.id);
		if (!known) {
			if (update.state !== memberStates.dead) {
				this.learn({ ...update });
			}
			return;
		}
		if (!isNewer(update, known)) {
			if (update.incarnation === known.incarnation && update.version > known.version) {
				known.version = update.version;
			}
			return;
		}
		const changed = update.state !== known.state || update.port !== known.port;
		Object.assign(known, update);
		this.changedAt.set(known.id, this.opts.clock.monotonic());
		this.spread(known.id);
		if (changed) {
			this.opts.onChange(known);
		}
	}

	private learn(member: Member): void {
		this.members.set(member.id, member);
		this.changedAt.set(member.id, this.opts.clock.monotonic());
		this.spread(member.id);
		this.opts.onChange(member);
	}

	/** Someone believes that this member is not alive: it says otherwise, louder. */
	private refute(update: MemberUpdate): void {
		const { self } = this;
		const wrong = update.state !== memberStates.alive && self.state === memberStates.alive;
		if (wrong && update.incarnation >= self.incarnation) {
			self.incarnation = update.incarnation + 1;
			this.spread(self.id);
		}
	}

	private spread(id: string): void {
		this.news.enqueue(id, this.members.size);
	}

	private takeNews(): MemberUpdate[] {
		const members = this.news.takeNext().map((id) => this.members.get(id));
		return members.filter((member) => member !== undefined).map((member) => ({ ...member }));
	}
}

const badness = { alive: 0, suspect: 1, dead: 2 } as const;

function isNewer(update: MemberUpdate, known: Member): boolean {
	if (update.incarnation !== known.incarnation) {
		return update.incarnation > known.incarnation;
	}
	return badness[update.state] > badness[known.state];
}

function shuffled<T>(items: readonly T[], random: Random): T[] {
	const copy = [...items];
	for (let at = copy.length - 1; at > 0; at--) {
		const other = Math.floor(random.next() * (at + 1));
		[copy[at], copy[other]] = [copy[other] as T, copy[at] as T];
	}
	return copy;
}
