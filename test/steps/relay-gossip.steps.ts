/**
 * Steps about gossip between many simulated VMs: convergence and message rates.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import fc from 'fast-check';
import * as rendezvous from '../../src/core/membership/rendezvous.js';
import { seen } from './relay-fakes.js';
import type { SimulatedVm } from './simulated-fleet.js';
import { SimulatedFleet } from './simulated-fleet.js';
import type { FleetWorld } from './world.js';

const segmentTokens = 100;
const cachingEngine = 'caching-engine';

function fleetOf(world: FleetWorld): SimulatedFleet {
	return seen<SimulatedFleet>(world, 'simulated');
}

function vmWithMostMembers(fleet: SimulatedFleet): SimulatedVm {
	const ranked = [...fleet.running].sort((a, b) => b.fleet.members.length - a.fleet.members.length);
	return ranked[0] as SimulatedVm;
}

function memberOf(fleet: SimulatedFleet): SimulatedVm {
	return fleet.running.find((vm) => vm.fleet.aggregatorIntervalMs !== undefined) ?? lastOf(fleet);
}

function lastOf(fleet: SimulatedFleet): SimulatedVm {
	return fleet.running.at(-1) as SimulatedVm;
}

function assertConverged(fleet: SimulatedFleet): void {
	const engines = new Set(fleet.vms.flatMap((vm) => [...vm.work.keys()]));
	for (const engine of engines) {
		const mismatches = fleet.findMismatches(engine);
		assert.deepEqual(mismatches, [], `${engine} has ${fleet.runningAt(engine, 0)}`);
	}
}

cucumber.Given(
	'{int} VMs in {int} failure domains',
	function (this: FleetWorld, count: number, domains: number) {
		this.state.set('simulated', new SimulatedFleet(count, domains));
	},
);

cucumber.Given(
	'{int} VMs in {int} failure domains, and losses drawn with seed {int}',
	function (this: FleetWorld, count: number, domains: number, seed: number) {
		this.state.set('simulated', new SimulatedFleet(count, domains, seed));
	},
);

cucumber.Given(
	'a network that loses {int} and doubles {int} of 100 datagrams',
	function (this: FleetWorld, lost: number, doubled: number) {
		Object.assign(fleetOf(this), { lossRate: lost / 100, duplicationRate: doubled / 100 });
	},
);

cucumber.Given(
	'each VM has a request at one of {int} engines',
	function (this: FleetWorld, engines: number) {
		const fleet = fleetOf(this);
		for (const [index, vm] of fleet.running.entries()) {
			fleet.addRequests(vm, `engine-${(index * 7) % engines}`, 1);
		}
	},
);

cucumber.When('{int} ms go by', function (this: FleetWorld, ms: number) {
	fleetOf(this).run(ms);
});

cucumber.When('the aggregator with the most members is killed', function (this: FleetWorld) {
	const fleet = fleetOf(this);
	fleet.kill(vmWithMostMembers(fleet));
});

cucumber.When('the aggregator with the most members shuts down', function (this: FleetWorld) {
	vmWithMostMembers(fleetOf(this)).exchange.retire();
});

cucumber.When('a network partition isolates every second VM', function (this: FleetWorld) {
	for (const [index, vm] of fleetOf(this).vms.entries()) {
		vm.side = index % 2;
	}
});

cucumber.When('the network partition heals', function (this: FleetWorld) {
	for (const vm of fleetOf(this).vms) {
		vm.side = 0;
	}
});

cucumber.When('all requests end', function (this: FleetWorld) {
	const fleet = fleetOf(this);
	for (const vm of fleet.running) {
		for (const [engine, running] of vm.work) {
			fleet.addRequests(vm, engine, -running);
		}
	}
});

cucumber.Then(/^all VMs know the work of (?:the fleet|their side)$/, function (this: FleetWorld) {
	assertConverged(fleetOf(this));
});

cucumber.Given(
	'a fleet of {int} and one of {int} VMs with {int} changes a second per VM',
	function (this: FleetWorld, small: number, large: number, perSecond: number) {
		const fleets = [small, large].map((size) => new SimulatedFleet(size, 6));
		for (const fleet of fleets) {
			fleet.run(2000);
			fleet.resetCounts();
			for (let round = 0; round < 5 * perSecond; round++) {
				for (const [index, vm] of fleet.running.entries()) {
					fleet.addRequests(vm, `engine-${(index + round) % 60}`, 1);
				}
				fleet.run(1000 / perSecond);
			}
		}
		this.state.set('fleets', fleets);
	},
);

/** Mean number of datagrams that a VM sends per second. */
function meanSendRate(fleet: SimulatedFleet): number {
	return fleet.vms.reduce((sum, vm) => sum + vm.sent, 0) / fleet.vms.length / 5;
}

cucumber.Then(
	'a VM of the larger fleet sends at most {float} times as many datagrams',
	function (this: FleetWorld, factor: number) {
		const [small, large] = seen<SimulatedFleet[]>(this, 'fleets').map(meanSendRate) as [
			number,
			number,
		];
		assert.ok(large <= small * factor, `${small} and ${large} a second`);
	},
);

cucumber.Then(
	'no VM sends more than {int} datagrams a second',
	function (this: FleetWorld, maxRate: number) {
		for (const fleet of seen<SimulatedFleet[]>(this, 'fleets')) {
			const sent = Math.max(...fleet.vms.map((vm) => vm.sent / 5));
			assert.ok(sent <= maxRate, `${sent} a second`);
		}
	},
);

cucumber.Then(
	'the larger fleet sends fewer than {int} datagrams a second per VM',
	function (this: FleetWorld, maxRate: number) {
		const [, large] = seen<SimulatedFleet[]>(this, 'fleets').map(meanSendRate) as [number, number];
		assert.ok(large < maxRate, `${large} a second`);
	},
);

cucumber.Then(
	'in the next {int} ms the median VM receives at most {int} datagrams a second',
	function (this: FleetWorld, ms: number, maxRate: number) {
		const fleet = fleetOf(this);
		fleet.resetCounts();
		fleet.run(ms);
		const rates = fleet.vms.map((vm) => (vm.received * 1000) / ms).sort((a, b) => a - b);
		this.state.set('rates', rates);
		const median = rates[Math.floor(rates.length / 2)] ?? 0;
		assert.ok(median <= maxRate, `${median} a second`);
	},
);

cucumber.Then('an aggregator receives at most {int}', function (this: FleetWorld, maxRate: number) {
	const [highest = 0] = seen<number[]>(this, 'rates').slice(-1);
	assert.ok(highest <= maxRate, `${highest} a second`);
});

/** A fault, recovery or change of one VM. */
type Fault = (fleet: SimulatedFleet, vm: SimulatedVm) => void;

const faults: Record<string, Fault> = {
	kill: (fleet, vm) => fleet.kill(vm),
	start: (fleet, vm) => fleet.start(vm),
	stop: (_, vm) => vm.isRunning && vm.exchange.retire(),
	cut: (_, vm) => {
		vm.side = 1;
	},
	heal: (_, vm) => {
		vm.side = 0;
	},
	work: (fleet, vm) => vm.isRunning && fleet.addRequests(vm, `engine-${vm.side}`, 1),
};

cucumber.Then(
	'after any {int} faults in a fleet of {int} VMs all know the work of the fleet',
	(length: number, size: number) => {
		const fault = fc.record({
			kind: fc.constantFrom(...Object.keys(faults)),
			vm: fc.nat(size - 1),
			pauseMs: fc.integer({ min: 0, max: 900 }),
		});
		const sequences = fc.array(fault, { minLength: length, maxLength: length });
		fc.assert(
			fc.property(sequences, fc.nat(1000), (sequence, seed) => {
				const fleet = new SimulatedFleet(size, 3, seed + 1);
				fleet.run(1000);
				fleet.lossRate = 0.05;
				for (const { kind, vm, pauseMs } of sequence) {
					faults[kind]?.(fleet, fleet.vms[vm] as SimulatedVm);
					fleet.run(Math.round(pauseMs / 5) * 5);
				}
				for (const vm of fleet.vms) {
					vm.side = 0;
				}
				fleet.lossRate = 0;
				fleet.run(6000);
				assertConverged(fleet);
			}),
			{ numRuns: 40, seed: 7 },
		);
	},
);

cucumber.When(
	'an engine prefills {int} prompt segments for a VM',
	function (this: FleetWorld, count: number) {
		const vm = memberOf(fleetOf(this));
		// Spread over time, since the queue of updates is bounded.
		for (let start = 0; start < count; start += 20) {
			const segments = Array.from({ length: 20 }, (_, offset) => ({
				id: `segment-${start + offset}`,
				tokens: segmentTokens,
			}));
			vm.fleet.recordPrefill(segments, cachingEngine, false);
			vm.exchange.markChanged();
			fleetOf(this).run(100);
		}
		this.state.set('segments', count);
	},
);

cucumber.Then('all VMs know which engine has each segment cached', function (this: FleetWorld) {
	for (const vm of fleetOf(this).running) {
		for (let index = 0; index < seen<number>(this, 'segments'); index++) {
			const cachedTokens = vm.fleet.cachedTokensByEngine([
				{ id: `segment-${index}`, tokens: segmentTokens },
			]);
			const { cached } = cachedTokens.get(rendezvous.hashText(cachingEngine)) ?? { cached: 0 };
			assert.equal(cached, segmentTokens, `${vm.registration.name} segment ${index}`);
		}
	}
});

cucumber.When(
	'one VM that is no aggregator has configuration {int}',
	function (this: FleetWorld, version: number) {
		const vm = memberOf(fleetOf(this));
		vm.fleet.configurationVersion = version;
		vm.exchange.sendNow();
	},
);

cucumber.Then('all VMs know of configuration {int}', function (this: FleetWorld, version: number) {
	const behind = fleetOf(this).running.filter((vm) => vm.fleet.configurationVersion !== version);
	assert.deepEqual(
		behind.map((vm) => vm.registration.name),
		[],
	);
});

cucumber.Given('one VM that is no aggregator reads the store', function (this: FleetWorld) {
	const fleet = fleetOf(this);
	fleet.run(1000);
	const reader = memberOf(fleet);
	reader.storeStatus = { contactAgeMs: 100, revision: 5, digest: 6, dutyToken: 0 };
	this.state.set('reader', reader);
});

cucumber.When('it stops reading the store', function (this: FleetWorld) {
	seen<SimulatedVm>(this, 'reader').storeStatus = undefined;
});

cucumber.Then('all VMs know that it reads the store', function (this: FleetWorld) {
	const reader = seen<SimulatedVm>(this, 'reader');
	const others = fleetOf(this).running.filter((vm) => vm !== reader);
	assert.ok(others.every((vm) => vm.fleet.countStoreReaders(1500) === 1));
	assert.ok(others.every((vm) => vm.storeReaderAddresses.size === 1));
});

cucumber.Then('no VM knows a reader of the store', function (this: FleetWorld) {
	assert.ok(fleetOf(this).running.every((vm) => vm.fleet.countStoreReaders(1500) === 0));
});

cucumber.When(
	'one VM that is no aggregator observes engines that prefill {int} tokens a ms',
	function (this: FleetWorld, speed: number) {
		const fleet = fleetOf(this);
		fleet.run(1000);
		const { costs } = memberOf(fleet);
		for (let index = 0; index < 100; index++) {
			const promptTokens = 200 + (index % 10) * 600;
			const delayMs = 10 + promptTokens / speed;
			const sizes = { promptTokens, aheadTokens: 0, copiedTokens: 0 };
			const now = fleet.clock.now;
			costs.recordFirstEvent('pool', { ...sizes, delayMs, engine: 1, at: now, isQueued: false });
		}
	},
);

cucumber.Then(
	'all VMs expect engines to prefill {int} to {int} tokens a ms',
	function (this: FleetWorld, min: number, max: number) {
		for (const vm of fleetOf(this).running) {
			const speed = 1 / vm.costs.of('pool').readMsPerToken;
			assert.ok(speed >= min && speed <= max, `${vm.registration.name}: ${speed}`);
		}
	},
);
