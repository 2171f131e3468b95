/**
 * Steps about limits of engines in simulated fleets.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { FleetLimits } from '../../src/core/limits/fleet-limits.js';
import { IssuerElection } from '../../src/core/limits/issuer-election.js';
import type { LimitedLoadOptions } from './limited-load.js';
import { LimitedLoad } from './limited-load.js';
import { clockOf, seen, sequence, silentLog } from './relay-fakes.js';
import type { SimulatedVm } from './simulated-fleet.js';
import type { FleetWorld } from './world.js';

/** Failure domains of a simulated fleet. */
const domains = 3;
/** Work that comes, as a multiple of what the engines take. */
const overload = 3;
/** Demand moves to the next failure domain after so long, in milliseconds. */
const moveMs = 2500;

type Where = (load: LimitedLoad, vm: SimulatedVm, at: number) => number;

/** Share of all requests that comes to a VM. */
const demand: Readonly<Record<string, Where>> = {
	'to all VMs': ({ fleet }) => 1 / fleet.running.length,
	'to one VM': ({ fleet }, vm) => (vm === fleet.vms.at(-1) ? 1 : 0),
	'from domain to domain': ({ fleet }, vm, at) => {
		const domain = `domain-${Math.floor(at / moveMs) % domains}`;
		const here = fleet.vms.filter(({ listed }) => listed.domain === domain);
		return here.includes(vm) ? 1 / here.length : 0;
	},
};

interface Fleet {
	vms: number;
	engines: number;
	perS: number;
}

const loadOf = (world: FleetWorld) => seen<LimitedLoad>(world, 'load');

cucumber.Given(
	/^a simulated fleet of (\d+) VMs before (an engine|\d+ engines) that takes? ([\d.]+) requests a second$/,
	function (this: FleetWorld, vms: number, engines: string, perS: string) {
		const count = engines === 'an engine' ? 1 : Number.parseInt(engines, 10);
		this.seen.set('made of', { vms, engines: count, perS: Number(perS) });
	},
);

type Kinds = Pick<LimitedLoadOptions, 'urgency' | 'waitMs'>;

function startLoad(world: FleetWorld, where: string, kinds: Kinds = {}, times = overload): void {
	const { vms, engines, perS } = seen<Fleet>(world, 'made of');
	const load: LimitedLoad = new LimitedLoad({
		vms,
		domains,
		engines,
		limitPerS: perS,
		requestsPerS: (vm, at) => {
			const most = Math.max(perS, load.engines[0]?.limitPerS ?? 0);
			return times * engines * most * (demand[where] as Where)(load, vm, at);
		},
		...kinds,
	});
	world.seen.set('load', load);
}

cucumber.Given(
	/^three times as much work comes (to all VMs|to one VM|from domain to domain)$/,
	function (this: FleetWorld, where: string) {
		startLoad(this, where);
	},
);

cucumber.Given(
	'three times as much work comes to all VMs, half of it urgent',
	function (this: FleetWorld) {
		let count = 0;
		startLoad(this, 'to all VMs', { urgency: () => (count++ % 2 === 0 ? 0 : 7) });
	},
);

cucumber.Given(
	'ten times as much work comes to all VMs, a third of it urgent with little time',
	function (this: FleetWorld) {
		let count = 0;
		const urgency = () => (count++ % 3 === 0 ? 0 : 7);
		startLoad(this, 'to all VMs', { urgency, waitMs: (level) => (level === 0 ? 30 : 250) }, 10);
	},
);

cucumber.When(
	'the fleet works for {int} seconds',
	{ timeout: 60_000 },
	function (this: FleetWorld, seconds: number) {
		loadOf(this).run(seconds * 1000);
	},
);

function issuerOf({ fleet }: LimitedLoad): SimulatedVm {
	const issuer = fleet.running.find(({ limits }) => limits.isIssuer);
	assert.ok(issuer, 'no VM issues permits');
	return issuer;
}

cucumber.When('the VM that issues permits is killed', function (this: FleetWorld) {
	const load = loadOf(this);
	load.fleet.kill(issuerOf(load));
});

cucumber.When('the VM that issues permits stops as planned', function (this: FleetWorld) {
	const load = loadOf(this);
	const issuer = issuerOf(load);
	issuer.limits.retire();
	issuer.exchange.retire();
	load.run(100);
	load.fleet.kill(issuer);
});

cucumber.When('the VM that issues permits starts again at once', function (this: FleetWorld) {
	const load = loadOf(this);
	load.fleet.start(issuerOf(load));
});

cucumber.When('the VM that issues permits is killed four times over', function (this: FleetWorld) {
	const load = loadOf(this);
	for (let times = 4; times > 0; times--) {
		load.fleet.kill(issuerOf(load));
		load.run(2600);
	}
});

cucumber.When('the fleet is cut in two for 6 seconds', function (this: FleetWorld) {
	const load = loadOf(this);
	load.fleet.vms.forEach((vm, at) => {
		vm.side = at % 2;
	});
	load.run(6000);
	healed(load);
});

function healed({ fleet }: LimitedLoad): void {
	for (const vm of fleet.vms) {
		vm.side = 0;
	}
}

cucumber.When('half of the VMs are killed', function (this: FleetWorld) {
	const { fleet } = loadOf(this);
	for (const vm of fleet.vms.filter((_, at) => at % 2 === 0)) {
		fleet.kill(vm);
	}
});

cucumber.When('all VMs start again with nothing known', function (this: FleetWorld) {
	const { fleet } = loadOf(this);
	for (const vm of fleet.vms) {
		fleet.start(vm);
	}
	loadOf(this).restartLimitPeriods();
});

cucumber.When('a tenth of the datagrams is lost, a tenth comes twice', function (this: FleetWorld) {
	Object.assign(loadOf(this).fleet, { lost: 0.1, doubled: 0.1 });
});

cucumber.When(
	/^the engine takes ([\d.]+) requests? a second from now on$/,
	function (this: FleetWorld, perS: string) {
		loadOf(this).changeLimit(Number(perS));
	},
);

cucumber.When('the engine names no limit from now on', function (this: FleetWorld) {
	loadOf(this).changeLimit(undefined);
});

cucumber.When('one VM is cut off from the others', function (this: FleetWorld) {
	const load = loadOf(this);
	const other = load.fleet.running.find((vm) => !vm.limits.isIssuer) as SimulatedVm;
	other.side = 1;
	this.seen.set('cut', other);
});

cucumber.When('all VMs hear each other again', function (this: FleetWorld) {
	healed(loadOf(this));
});

cucumber.Then('the limit was kept at all times', function (this: FleetWorld) {
	for (const engine of loadOf(this).engines) {
		assert.deepEqual(loadOf(this).findViolations(engine), []);
	}
});

cucumber.Then(
	'at least {float} of it was used after {int} seconds',
	function (this: FleetWorld, share: number, seconds: number) {
		const used = loadOf(this).getUtilization(seconds * 1000 + 1000);
		assert.ok(used >= share, `${used.toFixed(2)} was used`);
	},
);

cucumber.Then(
	'at least {float} of it was used in the last {int} seconds',
	function (this: FleetWorld, share: number, seconds: number) {
		const load = loadOf(this);
		const used = load.getUtilization(load.now - seconds * 1000);
		assert.ok(!(used < share), `${used.toFixed(2)} was used`);
	},
);

cucumber.Then(
	'that VM sent {int} to {int} requests in the last {int} seconds',
	function (this: FleetWorld, least: number, most: number, seconds: number) {
		const load = loadOf(this);
		const vm = seen<SimulatedVm>(this, 'cut');
		const from = load.now - seconds * 1000;
		const sent = load.engines.flatMap(({ arrivals }) => arrivals);
		const count = sent.filter((one) => one.vm === vm && one.at > from).length;
		assert.ok(count >= least && count <= most, `${count} requests`);
	},
);

const shareOf = (load: LimitedLoad, isUrgent: boolean) => {
	const all = load.engines.flatMap(({ arrivals }) => arrivals).filter(({ at }) => at > 5000);
	return all.filter(({ urgency }) => (urgency === 0) === isUrgent).length / all.length;
};

cucumber.Then('the urgent requests got most of the permits', function (this: FleetWorld) {
	assert.ok(shareOf(loadOf(this), true) > 0.6, `${shareOf(loadOf(this), true)}`);
});

cucumber.Then(
	'the others got at least {float} of them',
	function (this: FleetWorld, share: number) {
		assert.ok(shareOf(loadOf(this), false) >= share, `${shareOf(loadOf(this), false)}`);
	},
);

cucumber.Then('no VM knows a limit', function (this: FleetWorld) {
	const known = loadOf(this).fleet.running.filter(({ limits }) => limits.ledger.size > 0);
	assert.deepEqual(
		known.map(({ listed }) => listed.name),
		[],
	);
});

cucumber.Given(
	'a VM that knows no other, and an engine that takes {int} requests a second',
	function (this: FleetWorld, perS: number) {
		const limits = new FleetLimits({
			clock: clockOf(this),
			log: silentLog,
			random: { next: sequence(5), hex: () => '' },
			ownAddress: '10.0.0.1:1',
			engineId: () => undefined,
			getRank: () => 0,
			heardVms: () => 1,
			vms: () => undefined,
			sendPermitRequest() {},
			sendPermitResponse() {},
			onNews() {},
			onDueChanged() {},
		});
		limits.ledger.recordLimit(1, perS);
		this.seen.set('limits', limits);
	},
);

cucumber.When(
	'it asks for {int} seconds whether it may send',
	function (this: FleetWorld, seconds: number) {
		const clock = clockOf(this);
		const limits = seen<FleetLimits>(this, 'limits');
		let granted = 0;
		for (const until = clock.now + seconds * 1000; clock.now < until; clock.now += 10) {
			limits.update();
			limits.run();
			limits.permits.request(1, 0, 0, ({ isGranted }) => {
				granted += isGranted ? 1 : 0;
			});
		}
		this.seen.set('granted', granted);
	},
);

cucumber.Then(
	'it may send {int} to {int} requests',
	function (this: FleetWorld, least: number, most: number) {
		const granted = seen<number>(this, 'granted');
		assert.ok(granted >= least && granted <= most, `${granted} requests`);
	},
);

cucumber.Given('an election that this VM has won', function (this: FleetWorld) {
	const clock = clockOf(this);
	const election = new IssuerElection({
		clock,
		log: silentLog,
		ownAddress: '10.0.0.1:1',
		getRank: () => 0,
		isNeeded: () => true,
		onChanged() {},
	});
	for (let ticks = 0; ticks < 10; ticks++) {
		election.update();
		clock.now += 100;
	}
	election.update();
	assert.ok(election.isIssuing);
	this.seen.set('election', election);
});

cucumber.Then('it issues no permits', function (this: FleetWorld) {
	const election = seen<IssuerElection>(this, 'election');
	assert.ok(!election.isIssuing);
	election.update();
	assert.ok(!election.isIssuing);
});

cucumber.Then('it has given way to another that was heard meanwhile', function (this: FleetWorld) {
	const election = seen<IssuerElection>(this, 'election');
	const other = { address: '10.0.0.2:1', term: 9, heartbeatSeq: 1, isResigned: false };
	election.merge(other);
	election.update();
	assert.ok(!election.isElected);
	assert.equal(election.issuerAddress, other.address);
});
