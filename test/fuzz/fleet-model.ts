/**
 * A fleet of daemons that run the real core logic over fakes, and the invariants checked on it.
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
const slotsPerEndpoint = 2;
const endpointNames = ['e1', 'e2'];

/** Configuration of all daemons in the model. */
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
		slots: slotsPerEndpoint,
		max_slots: slotsPerEndpoint,
	})),
});

type Message = { from: number; to: number; report?: HolderReport; reply?: OwnerReply };

/** Records the answer that a caller receives. */
class Caller implements CallerSink {
	tokens: string[] = [];
	outcome?: string;

	start(): void {}

	writeEvents(events: readonly StreamEvent[]): boolean {
		assert.equal(this.outcome, undefined, 'events arrived after the end of the answer');
		this.tokens.push(
			...events.filter((event) => event.data !== '[DONE]').map((event) => event.data),
		);
		return true;
	}

	writeBytes(): boolean {
		return true;
	}

	finish(): void {
		assert.equal(this.outcome, undefined, 'the answer ended twice');
		this.outcome = 'complete';
	}

	fail(_err: UserError, outcome: string): void {
		assert.equal(this.outcome, undefined, 'the answer ended twice');
		this.outcome = outcome;
	}

	onDrain(): void {}
}

interface DaemonNode {
	id: string;
	router: Router;
	ledgers: OwnedLedgers;
	granted: GrantedPolicy;
	timeline: Timeline;
	isAlive: boolean;
	isFrozen: boolean;
	deferred: (() => void)[];
	/** Breaks the connections that other daemons have open to this one. */
	connectionClosers: (() => void)[];
}

interface Submission {
	req: Request;
	caller: Caller;
	node: DaemonNode;
}

export class FleetModel {
	readonly clock = new FakeClock();
	readonly endpoints = new FakeEndpoints();
	readonly kv = new FakeKv();
	readonly nodes: DaemonNode[];
	readonly submissions: Submission[] = [];
	/** Whether a message was lost or a daemon killed or frozen, which suspends the slot limit checks. */
	hasHadFaults = false;
	private readonly onceFrozen = new Set<string>();
	private messages: Message[] = [];
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
			node.ledgers.configure(view, this.clock.now);
			node.router.configure(view, policy === 'granted' ? node.granted : new IndependentPolicy());
		}
		this.applyMembers();
	}

	submit(nodeIndex: number, cls: (typeof classNames)[number], key?: string): void {
		const node = this.nodes[nodeIndex % this.nodes.length];
		if (!node?.isAlive || node.isFrozen) {
			return;
		}
		const requestClass = modelConfiguration.classes.find((item) => item.name === cls);
		assert.ok(requestClass);
		const now = this.clock.now;
		const ticket = this.nextTicket++;
		const req: Request = {
			id: `r${ticket}`,
			ticket,
			cls: requestClass,
			customer: 'c1',
			weight: 1,
			target: 'model:m',
			repeatable: requestClass.repeatable,
			idempotencyKey: key,
			arrivedAt: now,
			firstTokenBy: now + requestClass.first_token_ms,
			deadlineAt: now + requestClass.deadline_ms,
			queueTimeoutAt: now + requestClass.deadline_ms,
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

	/** Advances the clock in small steps, running timers and delivering messages at each. */
	async advanceTime(ms: number): Promise<void> {
		const until = this.clock.now + ms;
		while (this.clock.now < until) {
			this.clock.now = Math.min(this.clock.now + 25, until);
			for (const node of this.nodes) {
				if (node.isAlive && !node.isFrozen) {
					node.router.shedExpired();
				}
			}
			await this.settle();
		}
	}

	/** Runs deferred callbacks and delivers messages for a few rounds. */
	async settle(): Promise<void> {
		for (let round = 0; round < 4; round++) {
			for (const node of this.nodes) {
				if (node.isAlive && !node.isFrozen) {
					this.runDeferred(node);
				}
			}
			this.deliverMessages();
			await new Promise<void>((done) => queueMicrotask(done));
			await Promise.resolve();
		}
	}

	/** Drops all messages in flight. */
	dropMessages(): void {
		this.hasHadFaults = this.hasHadFaults || this.messages.length > 0;
		this.messages = [];
	}

	duplicateMessages(): void {
		this.messages.push(...this.messages);
	}

	/** Kills a daemon: its runs end, and the other daemons remove it from the membership. */
	kill(nodeIndex: number): void {
		const node = this.nodes[nodeIndex % this.nodes.length];
		if (!node || this.nodes.filter((other) => other.isAlive).length < 2) {
			return;
		}
		this.hasHadFaults = true;
		node.isAlive = false;
		for (const breakConnection of node.connectionClosers) {
			breakConnection();
		}
		for (const run of this.endpoints.activeRuns) {
			if (this.submissions.some((ask) => ask.req.id === run.call.id && ask.node === node)) {
				run.isOver = true;
			}
		}
		for (const other of this.nodes) {
			other.ledgers.removeMember(node.id);
		}
		this.applyMembers();
	}

	/** Suspends a daemon, and the other daemons remove it from the membership. */
	freeze(nodeIndex: number): void {
		const node = this.nodes[nodeIndex % this.nodes.length];
		if (
			node?.isAlive &&
			!node.isFrozen &&
			this.nodes.filter((n) => n.isAlive && !n.isFrozen).length > 1
		) {
			this.hasHadFaults = true;
			node.isFrozen = true;
			this.onceFrozen.add(node.id);
			for (const other of this.nodes) {
				other.ledgers.removeMember(node.id);
			}
			this.applyMembers();
		}
	}

	/** Resumes all suspended daemons. */
	thaw(): void {
		for (const node of this.nodes) {
			if (node.isFrozen) {
				node.isFrozen = false;
				node.granted.dropGrants();
				node.ledgers.clear();
			}
		}
		this.applyMembers();
	}

	/** Clears all faults and runs the fleet until every request has ended, within a bounded time. */
	async recover(): Promise<void> {
		this.kv.isDown = false;
		this.endpoints.unreachableUrls.clear();
		this.thaw();
		for (let round = 0; round < 400 && this.listOpenRequests().length > 0; round++) {
			await this.advanceTime(100);
			for (const run of this.endpoints.activeRuns) {
				this.endpoints.advance(run);
			}
		}
		await this.settle();
	}

	/** Asserts what must hold after every command. */
	checkInvariants(): void {
		for (const { req, caller } of this.submissions) {
			const reached = this.endpoints.runCounts.get(req.id) ?? 0;
			assert.ok(
				req.repeatable || reached <= 1,
				`${req.id} is not repeatable but ran ${reached} times`,
			);
			assert.ok(
				caller.outcome !== 'not-run' || reached === 0,
				`${req.id} was reported as not run but ran ${reached} times`,
			);
			const expected = caller.tokens.map((_token, index) => `t${index}`);
			assert.deepEqual(caller.tokens, expected, `${req.id} received wrong tokens`);
			const isWhole = caller.tokens.length === answerTokens;
			assert.ok(
				caller.outcome !== 'complete' || isWhole,
				`${req.id} was reported as complete with tokens missing`,
			);
		}
		this.checkIdempotencyKeys();
		if (!this.hasHadFaults) {
			this.checkSlotLimits();
		}
	}

	/** Asserts what must hold once the fleet has recovered. */
	checkFinalState(): void {
		this.checkInvariants();
		assert.deepEqual(this.listOpenRequests(), [], 'requests without an outcome');
		assert.equal(
			this.countPriorityInversions(),
			0,
			'requests were shed while lower-tier requests ran',
		);
	}

	/** Adds the recorded events to the counts by kind and outcome. */
	countEvents(counts: Map<string, number>): void {
		for (const node of this.nodes) {
			for (const event of node.timeline.getEventsSince(0)) {
				const key = event.outcome === undefined ? event.kind : `${event.kind} ${event.outcome}`;
				counts.set(key, (counts.get(key) ?? 0) + 1);
			}
		}
	}

	/** Number of requests that were shed while requests of lower tiers started. */
	countPriorityInversions(): number {
		const merged = mergeTimelines(this.nodes.map((node) => node.timeline.getEventsSince(0)));
		// A frozen daemon can't request slots, so requests that it sheds later don't count.
		const events = merged.filter(
			(event) => event.kind !== 'request.shed' || !this.onceFrozen.has(event.vm),
		);
		const deadlines = new Map(modelConfiguration.classes.map((cls) => [cls.name, cls.deadline_ms]));
		const findings = checkTimeline(events, deadlines, new Set(endpointNames));
		return findings.shedForLower;
	}

	private listOpenRequests(): string[] {
		return this.submissions
			.filter(({ node, caller }) => node.isAlive && caller.outcome === undefined)
			.map(({ req }) => req.id);
	}

	/** Asserts that at most one non-repeatable request per idempotency key reached an endpoint. */
	private checkIdempotencyKeys(): void {
		const reached = new Map<string, number>();
		for (const { req } of this.submissions) {
			if (req.idempotencyKey !== undefined && !req.repeatable) {
				const count = this.endpoints.runCounts.get(req.id) ?? 0;
				reached.set(req.idempotencyKey, (reached.get(req.idempotencyKey) ?? 0) + count);
			}
		}
		for (const [key, count] of reached) {
			assert.ok(count <= 1, `requests with key ${key} ran ${count} times`);
		}
	}

	private checkSlotLimits(): void {
		const floors = modelConfiguration.classes.length;
		for (const endpoint of modelConfiguration.endpoints) {
			const running = this.endpoints.activeRuns.filter(
				(run) => run.call.url === endpoint.url,
			).length;
			assert.ok(
				running <= slotsPerEndpoint + floors,
				`${endpoint.name} runs ${running} requests, above its limit`,
			);
		}
	}

	private runDeferred(node: DaemonNode): void {
		const callbacks = node.deferred;
		node.deferred = [];
		for (const callback of callbacks) {
			callback();
		}
		node.ledgers.allocateSlots(this.clock.now);
		const state = node.router.getState();
		if (state && this.policy === 'granted') {
			node.granted.sendDueReports(state);
		}
	}

	private deliverMessages(): void {
		const messages = this.messages;
		this.messages = [];
		for (const { from, to, report, reply } of messages) {
			const node = this.nodes[to];
			const sender = this.nodes[from];
			if (!node?.isAlive || node.isFrozen || !sender) {
				continue;
			}
			if (report) {
				node.ledgers.applyReport(sender.id, report, this.clock.now);
			}
			if (reply) {
				node.granted.applyReply(sender.id, reply, this.clock.now);
			}
		}
	}

	private fetchPeerAnswer(holder: ClaimRecord): Promise<StoredAnswer | undefined> {
		const node = this.nodes.find((other) => other.id === holder.vm);
		if (!node?.isAlive || node.isFrozen) {
			return Promise.resolve(undefined);
		}
		const broken = new Promise<undefined>((done) =>
			node.connectionClosers.push(() => done(undefined)),
		);
		return Promise.race([node.router.answers.wait(holder.attempt), broken]);
	}

	private applyMembers(): void {
		const members = this.nodes
			.filter((node) => node.isAlive && !node.isFrozen)
			.map((node) => node.id);
		for (const node of this.nodes) {
			if (!node.isFrozen) {
				node.ledgers.setMembers(members, 1, this.clock.now);
				node.granted.refreshOwners();
			}
		}
	}

	private makeNode(index: number): DaemonNode {
		const id = `d${index}`;
		const timeline = new Timeline({ vm: id, clock: new HybridClock(this.clock) });
		const node = {
			id,
			timeline,
			isAlive: true,
			isFrozen: false,
			deferred: [] as (() => void)[],
			connectionClosers: [] as (() => void)[],
		} as DaemonNode;
		node.router = new Router({
			vm: id,
			clock: this.clock,
			endpoints: this.endpoints,
			claims: new KvClaimStore(this.kv),
			metrics: noMetrics,
			timeline,
			limits: { requests: 100, bytes: 100_000 },
			stallMs: 1000,
			fetchPeerAnswer: (holder) => this.fetchPeerAnswer(holder),
			defer: (callback) => void node.deferred.push(callback),
		});
		const indexOf = (name: string) => this.nodes.findIndex((other) => other.id === name);
		node.ledgers = new OwnedLedgers({
			self: id,
			sendReply: (to, reply) =>
				this.messages.push({ from: index, to: indexOf(to), reply: structuredClone(reply) }),
			newEpoch: () => this.clock.now,
			recordEvent: () => {},
		});
		node.granted = new GrantedPolicy({
			self: id,
			fleetSize: () => this.nodes.length,
			sendReport: (to, report) =>
				this.messages.push({ from: index, to: indexOf(to), report: structuredClone(report) }),
			ownerOf: (endpoint) => node.ledgers.ownerOf(endpoint),
			preempt: (ticket) => node.router.preempt(ticket),
			isPreemptable: (ticket) => node.router.isPreemptable(ticket),
			wake: () => node.router.scheduleDispatch(),
			firstSeq: 1,
		});
		return node;
	}
}
