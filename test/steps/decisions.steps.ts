/**
 * Steps for scheduling decisions of the slot ledger and the adaptive limit, in one process.
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

/** Time after the warm-up of a new owner, when it grants slots. */
const afterWarmupMs = 1000;
const noObservations: EndpointObservations = {
	completions: 0,
	failures: 0,
	interTokenMs: 0,
	interTokenTargetMs: 0,
};

function newLedger(slots: number): SlotLedger {
	const limits = { initial: slots, max: slots, isAdaptive: false };
	return new SlotLedger({ endpoint: 'e1', limits, recordEvent: () => {}, epoch: 1, now: 0 });
}

function slotRequest(ticket: number, overrides: Partial<SlotRequest>): SlotRequest {
	const defaults = { slackMs: 1000, isLate: false, waitedMs: 0, requestsPreemption: false };
	return { ticket, tier: 2, classHash: 1, customerHash: 1, ...defaults, ...overrides };
}

function runningSlot(ticket: number, overrides: Partial<RunningSlot>): RunningSlot {
	return {
		ticket,
		tier: 2,
		classHash: 1,
		customerHash: 1,
		isFloor: false,
		isPreemptable: true,
		...overrides,
	};
}

function report(slotRequests: SlotRequest[], running: RunningSlot[] = []): HolderReport {
	const defaults = { waitingByTier: [], observations: noObservations, knownLimit: 0 };
	return {
		endpoint: 'e1',
		seq: 1,
		epoch: 0,
		lastGrantId: 0,
		running,
		idleSlots: 0,
		slotRequests,
		...defaults,
	};
}

function allocateSlots(world: FleetWorld, reports: Record<string, HolderReport>): void {
	const ledger = world.state.get('ledger') as SlotLedger;
	for (const [daemon, body] of Object.entries(reports)) {
		ledger.applyReport(daemon, body, afterWarmupMs);
	}
	ledger.allocateSlots(afterWarmupMs);
	const replies = ledger.takeDueReplies(afterWarmupMs).map(({ to, reply }) => [to, reply]);
	world.state.set('replies', Object.fromEntries(replies));
}

function replyTo(world: FleetWorld, daemon: string): OwnerReply {
	const reply = (world.state.get('replies') as Record<string, OwnerReply>)[daemon];
	assert.ok(reply);
	return reply;
}

cucumber.Given('an owner with {int} slots', function (this: FleetWorld, slots: number) {
	this.state.set('ledger', newLedger(slots));
});

cucumber.Given(
	'an owner with {int} slots that serves the floor of {string}',
	function (this: FleetWorld, slots: number, cls: string) {
		const ledger = newLedger(slots);
		ledger.setFloors([hashName(cls)]);
		this.state.set('ledger', ledger);
	},
);

cucumber.When(
	'daemon {string} requests {int} slots for customer {string} and daemon {string} {int} for customer {string}, all of tier {int}',
	function (
		this: FleetWorld,
		a: string,
		countA: number,
		customerA: string,
		b: string,
		countB: number,
		customerB: string,
		tier: number,
	) {
		const requests = (count: number, customer: string) =>
			Array.from({ length: count }, (_, index) =>
				slotRequest(index, { tier, customerHash: hashName(customer) }),
			);
		this.state.set('daemons', { [customerA]: a, [customerB]: b });
		allocateSlots(this, {
			[a]: report(requests(countA, customerA)),
			[b]: report(requests(countB, customerB)),
		});
	},
);

cucumber.Then(
	'customer {string} has {int} slots',
	function (this: FleetWorld, customer: string, slots: number) {
		const daemon = (this.state.get('daemons') as Record<string, string>)[customer] ?? '';
		assert.equal(replyTo(this, daemon).grants.length, slots);
	},
);

cucumber.When(
	'daemon {string} requests {int} slots in tier {int} due in {int} ms and daemon {string} {int} in tier {int} due in {int} ms',
	function (
		this: FleetWorld,
		a: string,
		countA: number,
		tierA: number,
		dueA: number,
		b: string,
		countB: number,
		tierB: number,
		dueB: number,
	) {
		const requests = (count: number, tier: number, slackMs: number) =>
			Array.from({ length: count }, (_, index) => slotRequest(index, { tier, slackMs }));
		allocateSlots(this, {
			[a]: report(requests(countA, tierA, dueA)),
			[b]: report(requests(countB, tierB, dueB)),
		});
	},
);

cucumber.Then(
	'daemon {string} has {int} grants',
	function (this: FleetWorld, daemon: string, grants: number) {
		assert.equal(replyTo(this, daemon).grants.length, grants);
	},
);

cucumber.When(
	'daemon {string} runs {int} requests of {string} and daemon {string} waits {int} ms with {string}',
	function (
		this: FleetWorld,
		a: string,
		count: number,
		high: string,
		b: string,
		waitedMs: number,
		low: string,
	) {
		const runs = Array.from({ length: count }, (_, index) =>
			runningSlot(index, { classHash: hashName(high) }),
		);
		const waiting = [slotRequest(1, { tier: 5, classHash: hashName(low), waitedMs })];
		allocateSlots(this, { [a]: report([], runs), [b]: report(waiting) });
	},
);

cucumber.Then(
	'daemon {string} has {int} grant outside the limit',
	function (this: FleetWorld, daemon: string, grants: number) {
		const outside = replyTo(this, daemon).grants.filter((grant) => grant.floorClass !== undefined);
		assert.equal(outside.length, grants);
	},
);

cucumber.When(
	'daemon {string} runs {string} in tier {int} and in a floor slot, and daemon {string} requests preemption in tier {int}',
	function (this: FleetWorld, a: string, cls: string, low: number, b: string, high: number) {
		const lowRun = { tier: low, classHash: hashName(cls) };
		const runs = [
			runningSlot(1, lowRun),
			runningSlot(2, lowRun),
			runningSlot(3, { ...lowRun, isFloor: true }),
		];
		const waiting = [slotRequest(1, { tier: high, requestsPreemption: true })];
		allocateSlots(this, { [a]: report([], runs), [b]: report(waiting) });
	},
);

cucumber.Then(
	'daemon {string} is asked to preempt {int} request outside the floor slot',
	function (this: FleetWorld, daemon: string, count: number) {
		const { preemptTickets } = replyTo(this, daemon);
		assert.equal(preemptTickets.length, count);
		assert.ok(!preemptTickets.includes(3));
	},
);

interface Endpoint {
	adaptiveLimit: AdaptiveLimit;
	now: number;
	targetMs: number;
}

function endpointOf(world: FleetWorld): Endpoint {
	return world.state.get('endpoint') as Endpoint;
}

cucumber.Given(
	'an endpoint of {int} slots with a target of {int} ms',
	function (this: FleetWorld, slots: number, targetMs: number) {
		const adaptiveLimit = new AdaptiveLimit({ initial: slots, max: slots, isAdaptive: true });
		this.state.set('endpoint', { adaptiveLimit, now: 1000, targetMs });
	},
);

cucumber.When(
	'tokens arrive every {int} ms for {int} seconds',
	function (this: FleetWorld, interTokenMs: number, seconds: number) {
		const endpoint = endpointOf(this);
		for (let step = 0; step < seconds * 4; step++) {
			endpoint.now += 250;
			const { adaptiveLimit, now, targetMs } = endpoint;
			adaptiveLimit.observe({ ...noObservations, interTokenMs, interTokenTargetMs: targetMs }, now);
			adaptiveLimit.update(adaptiveLimit.getLimit(now), now);
		}
	},
);

cucumber.When('it fails {int} times', function (this: FleetWorld, failures: number) {
	const { adaptiveLimit, now } = endpointOf(this);
	adaptiveLimit.observe({ ...noObservations, failures }, now);
});

cucumber.When('one request completes', function (this: FleetWorld) {
	const endpoint = endpointOf(this);
	endpoint.now += 600;
	endpoint.adaptiveLimit.observe({ ...noObservations, completions: 1 }, endpoint.now);
});

cucumber.Then('its limit is below {int}', function (this: FleetWorld, bound: number) {
	const { adaptiveLimit, now } = endpointOf(this);
	assert.ok(adaptiveLimit.getLimit(now) < bound, String(adaptiveLimit.getLimit(now)));
});

cucumber.Then('its limit is {int} again', function (this: FleetWorld, limit: number) {
	const { adaptiveLimit, now } = endpointOf(this);
	assert.equal(adaptiveLimit.getLimit(now), limit);
});

cucumber.Then(
	'its limit is {int} at once and {int} after {int} ms',
	function (this: FleetWorld, atOnce: number, later: number, ms: number) {
		const { adaptiveLimit, now } = endpointOf(this);
		assert.equal(adaptiveLimit.getLimit(now), atOnce);
		assert.equal(adaptiveLimit.getLimit(now + ms), later);
	},
);
