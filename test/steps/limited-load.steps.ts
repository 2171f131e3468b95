/**
 * Steps about rate limits of engines in simulated fleets.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { FleetLimits } from '../../src/core/limits/fleet-limits.js';
import { IssuerElection } from '../../src/core/limits/issuer-election.js';
import type { LimitedLoadOptions } from './limited-load.js';
import { LimitedLoad } from './limited-load.js';
import { clockOf, seededRandom, seen, silentLog } from './relay-fakes.js';
import type { SimulatedVm } from './simulated-fleet.js';
import type { FleetWorld } from './world.js';

/** Failure domains of a simulated fleet. */
const domains = 3;
/** Default demand as a multiple of the limits. */
const overload = 3;
/** Time after which demand moves to the next failure domain, in milliseconds. */
const moveIntervalMs = 2500;

type Distribution = (load: LimitedLoad, vm: SimulatedVm, at: number) => number;

/** Share of all requests that a VM gets. */
const demand: Readonly<Record<string, Distribution>> = {
	'all VMs': ({ fleet }) => 1 / fleet.running.length,
	'one VM': ({ fleet }, vm) => (vm === fleet.vms.at(-1) ? 1 : 0),
	'one domain after another': ({ fleet }, vm, at) => {
		const domain = `domain-${Math.floor(at / moveIntervalMs) % domains}`;
		const domainVms = fleet.vms.filter(({ registration: listed }) => listed.domain === domain);
		return domainVms.includes(vm) ? 1 / domainVms.length : 0;
	},
};

interface FleetOptions {
	vms: number;
	engines: number;
	limitPerS: number;
}

const loadOf = (world: FleetWorld) => seen<LimitedLoad>(world, 'load');

cucumber.Given(
	/^a simulated fleet of (\d+) VMs and (an engine|\d+ engines) limited to ([\d.]+) requests a second$/,
	function (this: FleetWorld, vms: number, engines: string, limitPerS: string) {
		const count = engines === 'an engine' ? 1 : Number.parseInt(engines, 10);
		this.state.set('fleet options', { vms, engines: count, limitPerS: Number(limitPerS) });
	},
);

type RequestKinds = Pick<LimitedLoadOptions, 'urgency' | 'waitMs'>;

function startLoad(
	world: FleetWorld,
	where: string,
	kinds: RequestKinds = {},
	times = overload,
): void {
	const { vms, engines, limitPerS } = seen<FleetOptions>(world, 'fleet options');
	const load: LimitedLoad = new LimitedLoad({
		vms,
		domains,
		engines,
		limitPerS,
		requestsPerS: (vm, at) => {
			const maxPerS = Math.max(limitPerS, load.engines[0]?.limitPerS ?? 0);
			return times * engines * maxPerS * (demand[where] as Distribution)(load, vm, at);
		},
		...kinds,
	});
	world.state.set('load', load);
}

cucumber.Given(
	/^demand is three times the limit, at (all VMs|one VM|one domain after another)$/,
	function (this: FleetWorld, where: string) {
		startLoad(this, where);
	},
);

cucumber.Given(
	'demand is three times the limit, at all VMs, half of it urgent',
	function (this: FleetWorld) {
		let count = 0;
		startLoad(this, 'all VMs', { urgency: () => (count++ % 2 === 0 ? 0 : 7) });
	},
);

cucumber.Given(
	'demand is ten times the limit, at all VMs, a third of it urgent with short waits',
	function (this: FleetWorld) {
		let count = 0;
		const urgency = () => (count++ % 3 === 0 ? 0 : 7);
		startLoad(this, 'all VMs', { urgency, waitMs: (level) => (level === 0 ? 30 : 250) }, 10);
	},
);

cucumber.When(
	'the fleet runs for {int} seconds',
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

cucumber.When('the issuer is killed', function (this: FleetWorld) {
	const load = loadOf(this);
	load.fleet.kill(issuerOf(load));
});

cucumber.When('the issuer shuts down', function (this: FleetWorld) {
	const load = loadOf(this);
	const issuer = issuerOf(load);
	issuer.limits.retire();
	issuer.exchange.retire();
	load.run(100);
	load.fleet.kill(issuer);
});

cucumber.When('the issuer restarts at once', function (this: FleetWorld) {
	const load = loadOf(this);
	load.fleet.start(issuerOf(load));
});

cucumber.When('the issuer is killed four times in a row', function (this: FleetWorld) {
	const load = loadOf(this);
	for (let times = 4; times > 0; times--) {
		load.fleet.kill(issuerOf(load));
		load.run(2600);
	}
});

cucumber.When('the fleet is partitioned for 6 seconds', function (this: FleetWorld) {
	const load = loadOf(this);
	load.fleet.vms.forEach((vm, index) => {
		vm.side = index % 2;
	});
	load.run(6000);
	endPartition(load);
});

function endPartition({ fleet }: LimitedLoad): void {
	for (const vm of fleet.vms) {
		vm.side = 0;
	}
}

cucumber.When('half of the VMs are killed', function (this: FleetWorld) {
	const { fleet } = loadOf(this);
	for (const vm of fleet.vms.filter((_, index) => index % 2 === 0)) {
		fleet.kill(vm);
	}
});

cucumber.When('all VMs restart without state', function (this: FleetWorld) {
	const { fleet } = loadOf(this);
	for (const vm of fleet.vms) {
		fleet.start(vm);
	}
	loadOf(this).restartLimitPeriods();
});

cucumber.When(
	'a tenth of the datagrams is lost and a tenth is duplicated',
	function (this: FleetWorld) {
		Object.assign(loadOf(this).fleet, { lossRate: 0.1, duplicationRate: 0.1 });
	},
);

cucumber.When(
	/^the limit changes to ([\d.]+) requests? a second$/,
	function (this: FleetWorld, limitPerS: string) {
		loadOf(this).changeLimit(Number(limitPerS));
	},
);

cucumber.When('the engine stops naming a limit', function (this: FleetWorld) {
	loadOf(this).changeLimit(undefined);
});

cucumber.When('one VM is partitioned from the others', function (this: FleetWorld) {
	const load = loadOf(this);
	const other = load.fleet.running.find((vm) => !vm.limits.isIssuer) as SimulatedVm;
	other.side = 1;
	this.state.set('partitioned VM', other);
});

cucumber.When('the partition ends', function (this: FleetWorld) {
	endPartition(loadOf(this));
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
	function (this: FleetWorld, min: number, max: number, seconds: number) {
		const load = loadOf(this);
		const vm = seen<SimulatedVm>(this, 'partitioned VM');
		const from = load.now - seconds * 1000;
		const sent = load.engines.flatMap(({ arrivals }) => arrivals);
		const count = sent.filter((one) => one.vm === vm && one.at > from).length;
		assert.ok(count >= min && count <= max, `${count} requests`);
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
		known.map(({ registration: listed }) => listed.name),
		[],
	);
});

cucumber.Given(
	'a VM that knows no peers, and an engine limited to {int} requests a second',
	function (this: FleetWorld, limitPerS: number) {
		const limits = new FleetLimits({
			clock: clockOf(this),
			log: silentLog,
			random: { next: seededRandom(5), hex: () => '' },
			ownAddress: '10.0.0.1:1',
			getEngineId: () => undefined,
			getRank: () => 0,
			countLiveVms: () => 1,
			getVmCount: () => undefined,
			sendPermitRequest() {},
			sendPermitResponse() {},
			onUpdate() {},
			onDueChanged() {},
		});
		limits.ledger.recordLimit(1, limitPerS);
		this.state.set('limits', limits);
	},
);

cucumber.When(
	'it requests permits for {int} seconds',
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
		this.state.set('granted', granted);
	},
);

cucumber.Then(
	'it gets {int} to {int} permits',
	function (this: FleetWorld, min: number, max: number) {
		const granted = seen<number>(this, 'granted');
		assert.ok(granted >= min && granted <= max, `${granted} permits`);
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
	this.state.set('election', election);
});

cucumber.Then('it issues no permits', function (this: FleetWorld) {
	const election = seen<IssuerElection>(this, 'election');
	assert.ok(!election.isIssuing);
	election.update();
	assert.ok(!election.isIssuing);
});

cucumber.Then('it accepts another issuer announced meanwhile', function (this: FleetWorld) {
	const election = seen<IssuerElection>(this, 'election');
	const other = { address: '10.0.0.2:1', term: 9, heartbeatSeq: 1, isResigned: false };
	election.merge(other);
	election.update();
	assert.ok(!election.isElected);
	assert.equal(election.issuerAddress, other.address);
});
