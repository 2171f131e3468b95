/**
 * Steps about single decisions: the slot ledger and the limit learner, without processes.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { hashName } from '../../src/core/membership/rendezvous.js';
import { AdaptiveLimit } from '../../src/core/scheduling/adaptive-limit.js';
import { SlotLedger } from '../../src/core/scheduling/slot-ledger.js';
import type {
	EndpointObservations,
	HolderReport,
	OwnerReply,
	RunningSlot,
	SlotRequest,
} from '../../src/core/scheduling/types.js';
import type { FleetWorld } from './world.js';

/** A new owner listens first; decisions are asked for after that. */
const afterLearningMs = 1000;
const quiet: EndpointObservations = {
	completions: 0,
	failures: 0,
	interTokenMs: 0,
	interTokenTargetMs: 0,
};

function newLedger(slots: number): SlotLedger {
	const limits = { start: slots, max: slots, learns: false };
	return new SlotLedger({ endpoint: 'e1', limits, recordEvent: () => {}, epoch: 1, now: 0 });
}

function ticket(number: number, part: Partial<SlotRequest>): SlotRequest {
	const rest = { slack: 1000, late: false, waited: 0, urgent: false };
	return { ticket: number, tier: 2, classHash: 1, customerHash: 1, ...rest, ...part };
}

function running(number: number, part: Partial<RunningSlot>): RunningSlot {
	return {
		ticket: number,
		tier: 2,
		classHash: 1,
		customerHash: 1,
		isFloor: false,
		isPreemptable: true,
		...part,
	};
}

function report(want: SlotRequest[], runs: RunningSlot[] = []): HolderReport {
	const rest = { backlog: [], observed: quiet, limit: 0 };
	return {
		endpoint: 'e1',
		seq: 1,
		epoch: 0,
		lastGrantId: 0,
		running: runs,
		idleSlots: 0,
		slotRequests: want,
		...rest,
	};
}

function decide(world: FleetWorld, reports: Record<string, HolderReport>): void {
	const ledger = world.seen.get('ledger') as SlotLedger;
	for (const [entry, body] of Object.entries(reports)) {
		ledger.applyReport(entry, body, afterLearningMs);
	}
	ledger.allocateSlots(afterLearningMs);
	const replies = ledger.takeDueReplies(afterLearningMs).map(({ to, reply }) => [to, reply]);
	world.seen.set('replies', Object.fromEntries(replies));
}

function replyTo(world: FleetWorld, entry: string): OwnerReply {
	const reply = (world.seen.get('replies') as Record<string, OwnerReply>)[entry];
	assert.ok(reply);
	return reply;
}

cucumber.Given('an owner with {int} slots', function (this: FleetWorld, slots: number) {
	this.seen.set('ledger', newLedger(slots));
});

cucumber.Given(
	'an owner with {int} slots that serves the minimum of {string}',
	function (this: FleetWorld, slots: number, cls: string) {
		const ledger = newLedger(slots);
		ledger.setFloors([hashName(cls)]);
		this.seen.set('ledger', ledger);
	},
);

cucumber.When(
	'entry {string} wants {int} slots for customer {string} and entry {string} {int} for customer {string}, all of tier {int}',
	function (
		this: FleetWorld,
		a: string,
		manyA: number,
		customerA: string,
		b: string,
		manyB: number,
		customerB: string,
		tier: number,
	) {
		const wants = (many: number, customer: string) =>
			Array.from({ length: many }, (_, at) =>
				ticket(at, { tier, customerHash: hashName(customer) }),
			);
		this.seen.set('entries', { [customerA]: a, [customerB]: b });
		decide(this, { [a]: report(wants(manyA, customerA)), [b]: report(wants(manyB, customerB)) });
	},
);

cucumber.Then(
	'customer {string} has {int} slots',
	function (this: FleetWorld, customer: string, slots: number) {
		const entry = (this.seen.get('entries') as Record<string, string>)[customer] ?? '';
		assert.equal(replyTo(this, entry).grants.length, slots);
	},
);

cucumber.When(
	'entry {string} wants {int} slots in tier {int} due in {int} ms and entry {string} {int} in tier {int} due in {int} ms',
	function (
		this: FleetWorld,
		a: string,
		manyA: number,
		tierA: number,
		dueA: number,
		b: string,
		manyB: number,
		tierB: number,
		dueB: number,
	) {
		const wants = (many: number, tier: number, slack: number) =>
			Array.from({ length: many }, (_, at) => ticket(at, { tier, slackMs: slack }));
		decide(this, {
			[a]: report(wants(manyA, tierA, dueA)),
			[b]: report(wants(manyB, tierB, dueB)),
		});
	},
);

cucumber.Then(
	'entry {string} has {int} grants',
	function (this: FleetWorld, entry: string, grants: number) {
		assert.equal(replyTo(this, entry).grants.length, grants);
	},
);

cucumber.When(
	'entry {string} runs {int} requests of {string} and entry {string} waits {int} ms with {string}',
	function (
		this: FleetWorld,
		a: string,
		many: number,
		high: string,
		b: string,
		waited: number,
		low: string,
	) {
		const runs = Array.from({ length: many }, (_, at) =>
			running(at, { classHash: hashName(high) }),
		);
		const want = [ticket(1, { tier: 5, classHash: hashName(low), waitedMs: waited })];
		decide(this, { [a]: report([], runs), [b]: report(want) });
	},
);

cucumber.Then(
	'entry {string} has {int} grant outside the limit',
	function (this: FleetWorld, entry: string, grants: number) {
		const outside = replyTo(this, entry).grants.filter((grant) => grant.floorClass !== undefined);
		assert.equal(outside.length, grants);
	},
);

cucumber.When(
	'entry {string} runs {string} in tier {int} and as a minimum, and entry {string} is urgent in tier {int}',
	function (this: FleetWorld, a: string, cls: string, low: number, b: string, high: number) {
		const kind = { tier: low, cls: hashName(cls) };
		const runs = [running(1, kind), running(2, kind), running(3, { ...kind, isFloor: true })];
		const want = [ticket(1, { tier: high, requestsPreemption: true })];
		decide(this, { [a]: report([], runs), [b]: report(want) });
	},
);

cucumber.Then(
	'entry {string} is asked to cut off {int} request that is not a minimum',
	function (this: FleetWorld, entry: string, many: number) {
		const { preemptTickets: preempt } = replyTo(this, entry);
		assert.equal(preempt.length, many);
		assert.ok(!preempt.includes(3));
	},
);

interface Endpoint {
	learner: AdaptiveLimit;
	now: number;
	targetMs: number;
}

function endpointOf(world: FleetWorld): Endpoint {
	return world.seen.get('endpoint') as Endpoint;
}

cucumber.Given(
	'an endpoint of {int} slots with a target of {int} ms',
	function (this: FleetWorld, slots: number, targetMs: number) {
		const learner = new AdaptiveLimit({ initial: slots, max: slots, isAdaptive: true });
		this.seen.set('endpoint', { learner, now: 1000, targetMs });
	},
);

cucumber.When(
	'tokens come every {int} ms for {int} seconds',
	function (this: FleetWorld, gapMs: number, seconds: number) {
		const endpoint = endpointOf(this);
		for (let step = 0; step < seconds * 4; step++) {
			endpoint.now += 250;
			const { learner, now, targetMs } = endpoint;
			learner.observe({ ...quiet, interTokenMs: gapMs, interTokenTargetMs: targetMs }, now);
			learner.update(learner.limit(now), now);
		}
	},
);

cucumber.When('it fails {int} times', function (this: FleetWorld, failures: number) {
	const { learner, now } = endpointOf(this);
	learner.observe({ ...quiet, failures }, now);
});

cucumber.When('one request completes', function (this: FleetWorld) {
	const endpoint = endpointOf(this);
	endpoint.now += 600;
	endpoint.learner.observe({ ...quiet, completions: 1 }, endpoint.now);
});

cucumber.Then('its limit is below {int}', function (this: FleetWorld, bound: number) {
	const { learner, now } = endpointOf(this);
	assert.ok(learner.limit(now) < bound, String(learner.limit(now)));
});

cucumber.Then('its limit is {int} again', function (this: FleetWorld, limit: number) {
	const { learner, now } = endpointOf(this);
	assert.equal(learner.limit(now), limit);
});

cucumber.Then(
	'its limit is {int} at once and {int} after {int} ms',
	function (this: FleetWorld, atOnce: number, later: number, ms: number) {
		const { learner, now } = endpointOf(this);
		assert.equal(learner.limit(now), atOnce);
		assert.equal(learner.limit(now + ms), later);
	},
);
