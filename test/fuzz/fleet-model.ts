/**
 * A few daemons' core logic over fakes at the ports, and the oracle of the promises.
 * @module
 */
import * as assert from 'node:assert/strict';
import { checkTimeline } from '../../bench/oracle.js';
import type { ClaimRecord } from '../../src/core/claims/claims.js';
import { KvClaimStore } from '../../src/core/claims/claims.js';
import {
	ConfigurationView,
	configurationSchema,
	hashToken,
} from '../../src/core/configuration/index.js';
import type { StreamEvent } from '../../src/core/definitions.js';
import type { UserError } from '../../src/core/errors/index.js';
import type { StoredAnswer } from '../../src/core/requests/answer-store.js';
import type { CallerSink } from '../../src/core/requests/definitions.js';
import { Router } from '../../src/core/requests/router.js';
import type { Request } from '../../src/core/requests/types.js';
import { GrantedPolicy } from '../../src/core/scheduling/granted-policy.js';
import { IndependentPolicy } from '../../src/core/scheduling/independent-policy.js';
import { OwnedLedgers } from '../../src/core/scheduling/owned-ledgers.js';
import type { HolderReport, OwnerReply } from '../../src/core/scheduling/types.js';
import { HybridClock, mergeTimelines, Timeline } from '../../src/core/timeline/index.js';
import { answerTokens, FakeClock, FakeEndpoints, FakeKv, noMetrics } from './fakes.js';

export const classNames = ['high', 'middle', 'low', 'post'] as const;
const slots = 2;
const endpointNames = ['e1', 'e2'];

/** The configuration that every model runs. */
export const modelConfiguration = configurationSchema.parse({
	operators: { token_hashes: [hashToken('operator')] },
	classes: [
		{ name: 'high', tier: 1, first_token_ms: 1000, deadline_ms: 20_000 },
		{ name: 'middle', tier: 2, first_token_ms: 1000, deadline_ms: 10_000 },
		{ name: 'low', tier: 3, first_token_ms: 5000, deadline_ms: 60_000 },
		{ name: 'post', tier: 1, first_token_ms: 1000, deadline_ms: 20_000, repeatable: false },
	],
	customers: [{ name: 'c1', key_hashes: [hashToken('c1')], default_class: 'high' }],
	endpoints: endpointNames.map((name, index) => ({
		name,
		url: `http://127.0.0.1:${index + 1}`,
		models: ['m'],
		slots,
		max_slots: slots,
	})),
});

type Packet = { from: number; to: number; report?: HolderReport; reply?: OwnerReply };

/** What a caller got. */
class Caller implements CallerSink {
	tokens: string[] = [];
	outcome?: string;

	start(): void {}

	writeEvents(events: readonly StreamEvent[]): boolean {
		assert.equal(this.outcome, undefined, 'an answer went on after its end');
		this.tokens.push(
			...events.filter((event) => event.data !== '[DONE]').map((event) => event.data),
		);
		return true;
	}

	writeBytes(): boolean {
		return true;
	}

	finish(): void {
		assert.equal(this.outcome, undefined, 'two final words');
		this.outcome = 'complete';
	}

	fail(_err: UserError, outcome: string): void {
		assert.equal(this.outcome, undefined, 'two final words');
		this.outcome = outcome;
	}

	onDrain(): void {}
}

interface Node {
	id: string;
	router: Router;
	desk: OwnedLedgers;
	granted: GrantedPolicy;
	timeline: Timeline;
	alive: boolean;
	frozen: boolean;
	due: (() => void)[];
	/** Ends the connections of others to it. */
	connections: (() => void)[];
}

interface Asked {
	req: Request;
	caller: Caller;
	node: Node;
}

export class FleetModel {
	readonly clock = new FakeClock();
	readonly endpoints = new FakeEndpoints();
	readonly kv = new FakeKv();
	readonly nodes: Node[];
	readonly submissions: Asked[] = [];
	/** Something was lost, killed or frozen: bounds that need a whole network do not apply. */
	hasHadFaults = false;
	private readonly froze = new Set<string>();
	private packets: Packet[] = [];
	private nextTicket = 1;

	constructor(
		size: number,
		private readonly policy: 'granted' | 'independent' = 'granted',
	) {
		this.nodes = Array.from({ length: size }, (_, index) => this.makeNode(index));
		const view = new ConfigurationView({
			version: 1,
			operation: 'o',
			by: 'test',
			at: 0,
			changed: '',
			document: modelConfiguration,
		});
		for (const node of this.nodes) {
			node.desk.configure(view, this.clock.now);
			node.router.configure(view, policy === 'granted' ? node.granted : new IndependentPolicy());
		}
		this.applyMembers();
	}

	submit(at: number, cls: (typeof classNames)[number], key?: string): void {
		const node = this.nodes[at % this.nodes.length];
		if (!node?.alive || node.frozen) {
			return;
		}
		const known = modelConfiguration.classes.find((item) => item.name === cls);
		assert.ok(known);
		const now = this.clock.now;
		const ticket = this.nextTicket++;
		const req: Request = {
			id: `r${ticket}`,
			ticket,
			cls: known,
			customer: 'c1',
			weight: 1,
			target: 'model:m',
			repeatable: known.repeatable,
			idempotencyKey: key,
			arrivedAt: now,
			firstTokenBy: now + known.first_token_ms,
			deadlineAt: now + known.deadline_ms,
			queueTimeoutAt: now + known.deadline_ms,
			heldBytes: 10,
			waitingSince: now,
			offset: 0,
			avoidUntil: new Map(),
		};
		const caller = new Caller();
		this.submissions.push({ req, caller, node });
		const template = { method: 'POST', path: '/', headers: {}, streamed: true };
		node.router.submit(req, template, caller);
	}

	/** Time passes; timers run and messages arrive. */
	async advanceTime(ms: number): Promise<void> {
		const until = this.clock.now + ms;
		while (this.clock.now < until) {
			this.clock.now = Math.min(this.clock.now + 25, until);
			for (const node of this.nodes) {
				if (node.alive && !node.frozen) {
					node.router.shedExpired();
				}
			}
			await this.settle();
		}
	}

	/** Runs everything that is due until nothing changes. */
	async settle(): Promise<void> {
		for (let round = 0; round < 4; round++) {
			for (const node of this.nodes) {
				if (node.alive && !node.frozen) {
					this.work(node);
				}
			}
			this.deliver();
			await new Promise<void>((done) => queueMicrotask(done));
			await Promise.resolve();
		}
	}

	/** Loses the messages that are on their way. */
	dropMessages(): void {
		this.hasHadFaults = this.hasHadFaults || this.packets.length > 0;
		this.packets = [];
	}

	duplicateMessages(): void {
		this.packets.push(...this.packets);
	}

	/** A daemon dies: its runs break, the others notice. */
	kill(at: number): void {
		const node = this.nodes[at % this.nodes.length];
		if (!node || this.nodes.filter((other) => other.alive).length < 2) {
			return;
		}
		this.hasHadFaults = true;
		node.alive = false;
		for (const breakConnection of node.connections) {
			breakConnection();
		}
		for (const run of this.endpoints.activeRuns) {
			if (this.submissions.some((ask) => ask.req.id === run.call.id && ask.node === node)) {
				run.isOver = true;
			}
		}
		for (const other of this.nodes) {
			other.desk.removeMember(node.id);
		}
		this.applyMembers();
	}

	/** A daemon stops for a while; the others give it up. */
	freeze(at: number): void {
		const node = this.nodes[at % this.nodes.length];
		if (node?.alive && !node.frozen && this.nodes.filter((n) => n.alive && !n.frozen).length > 1) {
			this.hasHadFaults = true;
			node.frozen = true;
			this.froze.add(node.id);
			for (const other of this.nodes) {
				other.desk.removeMember(node.id);
			}
			this.applyMembers();
		}
	}

	thaw(): void {
		for (const node of this.nodes) {
			if (node.frozen) {
				node.frozen = false;
				node.granted.dropGrants();
				node.desk.clear();
			}
		}
		this.applyMembers();
	}

	/** Everything is mended; every request must get its final word. */
	async recover(): Promise<void> {
		this.kv.isDown = false;
		this.endpoints.unreachableUrls.clear();
		this.thaw();
		for (let round = 0; round < 400 && this.open().length > 0; round++) {
			await this.advanceTime(100);
			for (const run of this.endpoints.activeRuns) {
				this.endpoints.advance(run);
			}
		}
		await this.settle();
	}

	/** The promises, checked after each step. */
	checkInvariants(): void {
		for (const { req, caller } of this.submissions) {
			const reached = this.endpoints.runCounts.get(req.id) ?? 0;
			assert.ok(
				req.repeatable || reached <= 1,
				`${req.id} must not repeat and ran ${reached} times`,
			);
			assert.ok(
				caller.outcome !== 'not-run' || reached === 0,
				`${req.id} "not run" ran ${reached}`,
			);
			const expected = caller.tokens.map((_token, index) => `t${index}`);
			assert.deepEqual(caller.tokens, expected, `${req.id} got wrong tokens`);
			const whole = caller.tokens.length === answerTokens;
			assert.ok(caller.outcome !== 'complete' || whole, `${req.id} is "complete" and is not`);
		}
		this.checkKeys();
		if (!this.hasHadFaults) {
			this.checkLimits();
		}
	}

	/** Checked at the end. */
	checkFinalState(): void {
		this.checkInvariants();
		assert.deepEqual(this.open(), [], 'requests without a final word');
		assert.equal(this.countPriorityInversions(), 0, 'work was shed for lower work');
	}

	/** Events by kind, to show what a fuzz run has covered. */
	countEvents(counts: Map<string, number>): void {
		for (const node of this.nodes) {
			for (const event of node.timeline.getEventsSince(0)) {
				const key = event.outcome === undefined ? event.kind : `${event.kind} ${event.outcome}`;
				counts.set(key, (counts.get(key) ?? 0) + 1);
			}
		}
	}

	/** Findings of the oracle that reads the time line. */
	countPriorityInversions(): number {
		const merged = mergeTimelines(this.nodes.map((node) => node.timeline.getEventsSince(0)));
		// A frozen daemon cannot ask for slots: what it gives up later is not held against others.
		const events = merged.filter(
			(event) => event.kind !== 'request.shed' || !this.froze.has(event.vm),
		);
		const deadlines = new Map(modelConfiguration.classes.map((cls) => [cls.name, cls.deadline_ms]));
		const findings = checkTimeline(events, deadlines, new Set(endpointNames));
		return findings.shedForLower;
	}

	private open(): string[] {
		return this.submissions
			.filter(({ node, caller }) => node.alive && caller.outcome === undefined)
			.map(({ req }) => req.id);
	}

	/** Of the requests with one key, at most one reached an endpoint. */
	private checkKeys(): void {
		const reached = new Map<string, number>();
		for (const { req } of this.submissions) {
			if (req.idempotencyKey !== undefined && !req.repeatable) {
				const count = this.endpoints.runCounts.get(req.id) ?? 0;
				reached.set(req.idempotencyKey, (reached.get(req.idempotencyKey) ?? 0) + count);
			}
		}
		for (const [key, count] of reached) {
			assert.ok(count <= 1, `key ${key} ran ${count} times`);
		}
	}

	private checkLimits(): void {
		const floors = modelConfiguration.classes.length;
		for (const endpoint of modelConfiguration.endpoints) {
			const running = this.endpoints.activeRuns.filter(
				(run) => run.call.url === endpoint.url,
			).length;
			assert.ok(running <= slots + floors, `${endpoint.name} runs ${running}`);
		}
	}

	private work(node: Node): void {
		const due = node.due;
		node.due = [];
		for (const callback of due) {
			callback();
		}
		node.desk.allocateSlots(this.clock.now);
		const state = node.router.state();
		if (state && this.policy === 'granted') {
			node.granted.sendDueReports(state);
		}
	}

	private deliver(): void {
		const packets = this.packets;
		this.packets = [];
		for (const { from, to, report, reply } of packets) {
			const node = this.nodes[to];
			const sender = this.nodes[from];
			if (!node?.alive || node.frozen || !sender) {
				continue;
			}
			if (report) {
				node.desk.applyReport(sender.id, report, this.clock.now);
			}
			if (reply) {
				node.granted.applyReply(sender.id, reply, this.clock.now);
			}
		}
	}

	private attachElsewhere(holder: ClaimRecord): Promise<StoredAnswer | undefined> {
		const node = this.nodes.find((other) => other.id === holder.vm);
		if (!node?.alive || node.frozen) {
			return Promise.resolve(undefined);
		}
		const broken = new Promise<undefined>((done) => node.connections.push(() => done(undefined)));
		return Promise.race([node.router.answers.wait(holder.attempt), broken]);
	}

	private applyMembers(): void {
		const seen = this.nodes.filter((node) => node.alive && !node.frozen).map((node) => node.id);
		for (const node of this.nodes) {
			if (!node.frozen) {
				node.desk.setMembers(seen, 1, this.clock.now);
				node.granted.refreshOwners();
			}
		}
	}

	private makeNode(index: number): Node {
		const id = `d${index}`;
		const timeline = new Timeline({ vm: id, clock: new HybridClock(this.clock) });
		const node = {
			id,
			timeline,
			alive: true,
			frozen: false,
			due: [] as (() => void)[],
			connections: [] as (() => void)[],
		} as Node;
		node.router = new Router({
			vm: id,
			clock: this.clock,
			endpoints: this.endpoints,
			claims: new KvClaimStore(this.kv),
			metrics: noMetrics,
			timeline,
			limits: { requests: 100, bytes: 100_000 },
			stallMs: 1000,
			fetchPeerAnswer: (holder) => this.attachElsewhere(holder),
			defer: (callback) => void node.due.push(callback),
		});
		const indexOf = (name: string) => this.nodes.findIndex((other) => other.id === name);
		node.desk = new OwnedLedgers({
			self: id,
			sendReply: (to, reply) =>
				this.packets.push({ from: index, to: indexOf(to), reply: structuredClone(reply) }),
			newEpoch: () => this.clock.now,
			recordEvent: () => {},
		});
		node.granted = new GrantedPolicy({
			self: id,
			fleetSize: () => this.nodes.length,
			sendReport: (to, report) =>
				this.packets.push({ from: index, to: indexOf(to), report: structuredClone(report) }),
			ownerOf: (endpoint) => node.desk.ownerOf(endpoint),
			preempt: (ticket) => node.router.preempt(ticket),
			isPreemptable: (ticket) => node.router.isPreemptable(ticket),
			wake: () => node.router.scheduleDispatch(),
			firstSeq: 1,
		});
		return node;
	}
}
