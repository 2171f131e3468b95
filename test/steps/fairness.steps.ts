/**
 * Steps about room that is shared out among customers, and about who is let in.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { Admission } from '../../src/core/admission/admission.js';
import { ReturnTimes } from '../../src/core/admission/return-times.js';
import { maxMinShare, partWithin } from '../../src/core/fairness/max-min.js';
import type { CustomerWork } from '../../src/core/fairness/types.js';
import type { BurstOptions, BurstReplay, BurstTally } from './burst-replay.js';
import { seen, sequence } from './relay-fakes.js';
import type { SimulatedFleet, SimulatedVm } from './simulated-fleet.js';
import type { FleetWorld } from './world.js';

const service = 'pool';
/** What the second and each further customer ask of each VM. */
const askedMs = 300;
const plenty = { letIn: 1, engines: 1000 };

cucumber.Given(
	'{int} customers, of whom the first sends {int} times as many long prompts',
	function (this: FleetWorld, customers: number, rush: number) {
		Object.assign(seen<BurstOptions>(this, 'burst'), { customers, rush });
	},
);

cucumber.Given(
	'it repeats {int} times at once what is refused',
	function (this: FleetWorld, repeats: number) {
		Object.assign(seen<BurstOptions>(this, 'burst'), { repeats });
	},
);

function percentInTime(tallies: readonly BurstTally[]): number {
	const sent = tallies.reduce((sum, tally) => sum + tally.sent, 0);
	return (100 * tallies.reduce((sum, tally) => sum + tally.inTime, 0)) / sent;
}

function ofFirst(world: FleetWorld): number {
	return percentInTime(seen<BurstReplay>(world, 'replay').byCustomer.slice(0, 1));
}

cucumber.Then(
	"at least {int} % of the other customers' long prompts are in time",
	function (this: FleetWorld, least: number) {
		const percent = percentInTime(seen<BurstReplay>(this, 'replay').byCustomer.slice(1));
		assert.ok(percent >= least, `${percent}`);
	},
);

cucumber.Then(
	/^at least (\d+) % of the first customer's(?: long prompts are in time)?$/,
	function (this: FleetWorld, least: string) {
		assert.ok(ofFirst(this) >= Number(least), `${ofFirst(this)}`);
	},
);

cucumber.Then("at most {int} % of the first customer's", function (this: FleetWorld, most: number) {
	assert.ok(ofFirst(this) <= most, `${ofFirst(this)}`);
});

function numbersOf(text: string): number[] {
	return text.split(', ').map(Number);
}

cucumber.Given(
	/^customers that ask for (.+) engines, (.+) of it urgent$/,
	function (this: FleetWorld, asked: string, urgent: string) {
		const parts = numbersOf(urgent);
		const customers = numbersOf(asked).map((each, customer) => {
			return { customer, asked: each, urgent: parts[customer] ?? 0 };
		});
		this.seen.set('customers', customers);
	},
);

cucumber.Then(
	/^with room for (.+) of what can be refused the parts within the shares are (.+)$/,
	function (this: FleetWorld, part: string, within: string) {
		const customers = seen<CustomerWork[]>(this, 'customers');
		const roomOf = ({ asked, urgent }: CustomerWork) => urgent + (asked - urgent) * Number(part);
		const room = customers.reduce((sum, each) => sum + roomOf(each), 0);
		const share = maxMinShare(customers, room);
		for (const [at, wanted] of numbersOf(within).entries()) {
			const found = partWithin(customers[at] as CustomerWork, share);
			assert.ok(Math.abs(found - wanted) < 0.02, `${at}: ${found}`);
		}
	},
);

function fleetOf(world: FleetWorld): SimulatedFleet {
	return seen<SimulatedFleet>(world, 'simulated');
}

cucumber.Given(
	'customers ask each VM for work, the first of {int} ten times as much',
	function (this: FleetWorld, customers: number) {
		for (const { fleet } of fleetOf(this).vms) {
			for (let at = 0; at < customers; at++) {
				const workMs = at === 0 ? askedMs * 10 : askedMs;
				fleet.shares.asked(service, `customer-${at}`, at < 2 ? workMs : askedMs / 100, false);
			}
		}
	},
);

function askedOf(vm: SimulatedVm, customer: number): number {
	return vm.fleet.shares.standingOf(service, `customer-${customer}`, plenty).asked;
}

cucumber.Then(
	'all VMs know that the first asks for {int} times as much as the second, within {int} %',
	function (this: FleetWorld, times: number, percent: number) {
		const fleet = fleetOf(this);
		for (const vm of fleet.running) {
			const ratio = askedOf(vm, 0) / askedOf(vm, 1) / times;
			assert.ok(Math.abs(ratio - 1) <= percent / 100, `${vm.listed.name}: ${ratio}`);
			const least = (fleet.running.length * askedMs * times) / 3000 / 4;
			assert.ok(askedOf(vm, 0) >= least, `${vm.listed.name}: ${askedOf(vm, 0)}`);
		}
	},
);

cucumber.When('all VMs but {int} are killed', function (this: FleetWorld, left: number) {
	const fleet = fleetOf(this);
	for (const vm of fleet.vms.slice(left)) {
		fleet.kill(vm);
	}
});

cucumber.Then(
	'no VM that runs counts more than was asked of those {int}',
	function (this: FleetWorld, left: number) {
		const most = (left * askedMs * 10) / 3000;
		for (const vm of fleetOf(this).running) {
			assert.ok(askedOf(vm, 0) <= most, `${vm.listed.name}: ${askedOf(vm, 0)}`);
		}
	},
);

cucumber.Then('no VM counts more than a twentieth of what was asked', function (this: FleetWorld) {
	const fleet = fleetOf(this);
	const asked = (fleet.running.length * askedMs * 10) / 3000;
	for (const vm of fleet.running) {
		assert.ok(askedOf(vm, 0) <= asked / 20, `${vm.listed.name}: ${askedOf(vm, 0)}`);
	}
});

/** An admission and the time that it goes by. */
interface Judged {
	admission: Admission;
	now: number;
}

function judge(world: FleetWorld, urgency: number, queueMs: number, leftMs: number) {
	const judged = (world.seen.get('judged') as Judged) ?? { admission: new Admission(), now: 0 };
	world.seen.set('judged', judged);
	const awaited = { queueMs, ownMs: 50, medianQueueMs: queueMs };
	const terms = { targetMs: 600, leftMs, urgency, leastUrgent: urgency === 2 };
	const ask = { ...terms, awaited, busyShare: 0, lot: () => 0 };
	return judged.admission.refusal(ask, judged.now)?.cause;
}

cucumber.Then(
	/^a request of urgency (\d) that waits (\d+) of (\d+) ms left is (let in|refused for its deadline)$/,
	function (this: FleetWorld, urgency: string, queue: string, left: string, outcome: string) {
		const cause = judge(this, Number(urgency), Number(queue), Number(left));
		assert.equal(cause, outcome === 'let in' ? undefined : 'deadline');
	},
);

cucumber.When('a request of urgency {int} is let in', function (this: FleetWorld, urgency: number) {
	assert.equal(judge(this, urgency, 0, 3000), undefined);
});

cucumber.When('{int} ms go by without another', function (this: FleetWorld, ms: number) {
	seen<Judged>(this, 'judged').now += ms;
});

cucumber.Given(
	'it does so for {float} s, and callers come back when they are told to within {int} ms',
	function (this: FleetWorld, rushS: number, deadlineMs: number) {
		Object.assign(seen<BurstOptions>(this, 'burst'), { rushS, deadlineMs });
	},
);

cucumber.Then(
	"at most {int} % of the first customer's callers that come back are refused again",
	function (this: FleetWorld, most: number) {
		const [first] = seen<BurstReplay>(this, 'replay').byCustomer;
		const { returned = 0, refusedAgain = 0 } = first ?? {};
		const percent = (100 * refusedAgain) / returned;
		assert.ok(returned > 0 && percent <= most, `${refusedAgain} of ${returned}`);
	},
);

cucumber.Given(
	/^(\d+) callers of urgency 1 beyond their share, (\d+) of urgency 1 and (\d+) of urgency 0 are refused, each with (\d+) ms left$/,
	function (this: FleetWorld, beyond: string, usual: string, urgent: string, left: string) {
		const returns = new ReturnTimes();
		const next = sequence(1);
		const timesOf = (count: string, urgency: number, isOverShare: boolean) => {
			const caller = { openMs: 200, spacingMs: 150, leftMs: Number(left), urgency, isOverShare };
			return Array.from({ length: Number(count) }, () =>
				returns.nextS({ ...caller, lot: next() }, 1000),
			);
		};
		// The worst order: those come last that go first.
		const times = [timesOf(beyond, 1, true), timesOf(usual, 1, false), timesOf(urgent, 0, false)];
		this.seen.set('times to come back', times);
	},
);

function returnTimes(world: FleetWorld): number[][] {
	return seen<number[][]>(world, 'times to come back');
}

cucumber.Then(
	'their times to come back are apart by at least {int} ms in each group',
	function (this: FleetWorld, ms: number) {
		for (const times of returnTimes(this)) {
			for (const [at, time] of times.slice(1).entries()) {
				assert.ok(time - (times[at] as number) >= ms / 1000 - 0.001, times.join(', '));
			}
		}
	},
);

cucumber.Then(
	'those of urgency 0 do not wait for those of urgency 1, nor these for those beyond their share',
	function (this: FleetWorld) {
		const first = returnTimes(this).map(([time]) => time);
		assert.deepEqual(first, [0.2, 0.2, 0.2]);
	},
);

cucumber.Then('none comes back later than after {int} ms', function (this: FleetWorld, ms: number) {
	const times = returnTimes(this).flat();
	assert.ok(Math.max(...times) <= ms / 1000, times.join(', '));
});

cucumber.Then(
	'no more than {int} come back within any {int} ms',
	function (this: FleetWorld, most: number, ms: number) {
		const times = returnTimes(this).flat();
		for (const from of times) {
			const within = times.filter((time) => time >= from && time < from + ms / 1000 - 0.001);
			assert.ok(within.length <= most, `${within.length} from ${from}`);
		}
	},
);
