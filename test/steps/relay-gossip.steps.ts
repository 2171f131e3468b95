/**
 * Steps about news between many VMs: that they are soon right everywhere, and what they cost.
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

/** Parts are 100 tokens each. */
const partTokens = 100;
const partEngine = 'engine-of-parts';

function fleetOf(world: FleetWorld): SimulatedFleet {
	return seen<SimulatedFleet>(world, 'simulated');
}

/** The VM with the most members. */
function busiest(fleet: SimulatedFleet): SimulatedVm {
	const ranked = [...fleet.running].sort((a, b) => b.fleet.members.length - a.fleet.members.length);
	return ranked[0] as SimulatedVm;
}

function memberOf(fleet: SimulatedFleet): SimulatedVm {
	return fleet.running.find((vm) => vm.fleet.aggregatorIntervalMs !== undefined) ?? lastOf(fleet);
}

function lastOf(fleet: SimulatedFleet): SimulatedVm {
	return fleet.running.at(-1) as SimulatedVm;
}

function assertKnown(fleet: SimulatedFleet): void {
	const engines = new Set(fleet.vms.flatMap((vm) => [...vm.work.keys()]));
	for (const engine of engines) {
		const wrong = fleet.findMismatches(engine);
		assert.deepEqual(wrong, [], `${engine} has ${fleet.runningAt(engine, 0)}`);
	}
}

cucumber.Given(
	'{int} VMs in {int} failure domains',
	function (this: FleetWorld, count: number, domains: number) {
		this.seen.set('simulated', new SimulatedFleet(count, domains));
	},
);

cucumber.Given(
	'a network that loses {int} and doubles {int} of 100 datagrams',
	function (this: FleetWorld, lost: number, doubled: number) {
		Object.assign(fleetOf(this), { lost: lost / 100, doubled: doubled / 100 });
	},
);

cucumber.Given(
	'each VM has a request at one of {int} engines',
	function (this: FleetWorld, engines: number) {
		const fleet = fleetOf(this);
		for (const [at, vm] of fleet.running.entries()) {
			fleet.addRequests(vm, `engine-${(at * 7) % engines}`, 1);
		}
	},
);

cucumber.When('{int} ms go by', function (this: FleetWorld, ms: number) {
	fleetOf(this).run(ms);
});

cucumber.When('the aggregator with the most members is killed', function (this: FleetWorld) {
	const fleet = fleetOf(this);
	fleet.kill(busiest(fleet));
});

cucumber.When('the aggregator with the most members stops as planned', function (this: FleetWorld) {
	busiest(fleetOf(this)).exchange.retire();
});

cucumber.When('every second VM is cut off from the others', function (this: FleetWorld) {
	for (const [at, vm] of fleetOf(this).vms.entries()) {
		vm.side = at % 2;
	}
});

cucumber.When('the cut ends', function (this: FleetWorld) {
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
	assertKnown(fleetOf(this));
});

cucumber.Given(
	'a fleet of {int} and one of {int} VMs with {int} changes a second a VM',
	function (this: FleetWorld, small: number, large: number, perSecond: number) {
		const fleets = [small, large].map((size) => new SimulatedFleet(size, 6));
		for (const fleet of fleets) {
			fleet.run(2000);
			fleet.resetCounts();
			for (let round = 0; round < 5 * perSecond; round++) {
				for (const [at, vm] of fleet.running.entries()) {
					fleet.addRequests(vm, `engine-${(at + round) % 60}`, 1);
				}
				fleet.run(1000 / perSecond);
			}
		}
		this.seen.set('fleets', fleets);
	},
);

/** Datagrams that a VM sends in a second, in the mean. */
function meanSent(fleet: SimulatedFleet): number {
	return fleet.vms.reduce((sum, vm) => sum + vm.sent, 0) / fleet.vms.length / 5;
}

cucumber.Then(
	'a VM of the larger sends at most {float} times as many datagrams',
	function (this: FleetWorld, factor: number) {
		const [small, large] = seen<SimulatedFleet[]>(this, 'fleets').map(meanSent) as [number, number];
		assert.ok(large <= small * factor, `${small} and ${large} a second`);
	},
);

cucumber.Then(
	'no VM sends more than {int} datagrams a second',
	function (this: FleetWorld, most: number) {
		for (const fleet of seen<SimulatedFleet[]>(this, 'fleets')) {
			const sent = Math.max(...fleet.vms.map((vm) => vm.sent / 5));
			assert.ok(sent <= most, `${sent} a second`);
		}
	},
);

cucumber.Then(
	'the larger fleet sends fewer than {int} datagrams a second a VM',
	function (this: FleetWorld, most: number) {
		const [, large] = seen<SimulatedFleet[]>(this, 'fleets').map(meanSent) as [number, number];
		assert.ok(large < most, `${large} a second`);
	},
);

cucumber.Then(
	'in the next {int} ms a VM hears at most {int} datagrams a second in the median',
	function (this: FleetWorld, ms: number, most: number) {
		const fleet = fleetOf(this);
		fleet.resetCounts();
		fleet.run(ms);
		const heard = fleet.vms.map((vm) => (vm.received * 1000) / ms).sort((a, b) => a - b);
		this.seen.set('heard', heard);
		const median = heard[Math.floor(heard.length / 2)] ?? 0;
		assert.ok(median <= most, `${median} a second`);
	},
);

cucumber.Then('an aggregator at most {int}', function (this: FleetWorld, most: number) {
	const [busiestHeard = 0] = seen<number[]>(this, 'heard').slice(-1);
	assert.ok(busiestHeard <= most, `${busiestHeard} a second`);
});

/** Something that befalls one VM. */
type Event = (fleet: SimulatedFleet, vm: SimulatedVm) => void;

const events: Record<string, Event> = {
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
	'after any {int} of these in a fleet of {int} VMs all know the work of the fleet',
	(length: number, size: number) => {
		const event = fc.record({
			kind: fc.constantFrom(...Object.keys(events)),
			vm: fc.nat(size - 1),
			pauseMs: fc.integer({ min: 0, max: 900 }),
		});
		const sequences = fc.array(event, { minLength: length, maxLength: length });
		fc.assert(
			fc.property(sequences, fc.nat(1000), (happening, seed) => {
				const fleet = new SimulatedFleet(size, 3, seed + 1);
				fleet.run(1000);
				fleet.lossRate = 0.05;
				for (const { kind, vm, pauseMs } of happening) {
					events[kind]?.(fleet, fleet.vms[vm] as SimulatedVm);
					fleet.run(Math.round(pauseMs / 5) * 5);
				}
				for (const vm of fleet.vms) {
					vm.side = 0;
				}
				fleet.lossRate = 0;
				fleet.run(6000);
				assertKnown(fleet);
			}),
			{ numRuns: 40, seed: 7 },
		);
	},
);

cucumber.When('a VM has {int} parts of prompts read', function (this: FleetWorld, count: number) {
	const vm = memberOf(fleetOf(this));
	// Some each 100 ms, as requests come.
	for (let at = 0; at < count; at += 20) {
		const parts = Array.from({ length: 20 }, (_, part) => ({
			id: `part-${at + part}`,
			tokens: partTokens,
		}));
		vm.fleet.recordPrefill(parts, partEngine, false);
		vm.exchange.markChanged();
		fleetOf(this).run(100);
	}
	this.seen.set('parts', count);
});

cucumber.Then('all VMs know which engine keeps each part', function (this: FleetWorld) {
	for (const vm of fleetOf(this).running) {
		for (let at = 0; at < seen<number>(this, 'parts'); at++) {
			const kept = vm.fleet.cachedTokensByEngine([{ id: `part-${at}`, tokens: partTokens }]);
			const { cached } = kept.get(rendezvous.hashText(partEngine)) ?? { cached: 0 };
			assert.equal(cached, partTokens, `${vm.registration.name} part ${at}`);
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

cucumber.Then(
	'all VMs have heard of configuration {int}',
	function (this: FleetWorld, version: number) {
		const behind = fleetOf(this).running.filter((vm) => vm.fleet.configurationVersion !== version);
		assert.deepEqual(
			behind.map((vm) => vm.registration.name),
			[],
		);
	},
);

cucumber.Given('one VM that is no aggregator reads the store', function (this: FleetWorld) {
	const fleet = fleetOf(this);
	fleet.run(1000);
	const reader = memberOf(fleet);
	reader.storeStatus = { contactAgeMs: 100, revision: 5, digest: 6, dutyToken: 0 };
	this.seen.set('reader', reader);
});

cucumber.When('it reads the store no more', function (this: FleetWorld) {
	seen<SimulatedVm>(this, 'reader').storeStatus = undefined;
});

cucumber.Then('all VMs know that it reads the store', function (this: FleetWorld) {
	const reader = seen<SimulatedVm>(this, 'reader');
	const others = fleetOf(this).running.filter((vm) => vm !== reader);
	assert.ok(others.every((vm) => vm.fleet.countStoreReaders(1500) === 1));
	assert.ok(others.every((vm) => vm.storeReaderAddresses.size === 1));
});

cucumber.Then('no VM knows of one that reads the store', function (this: FleetWorld) {
	assert.ok(fleetOf(this).running.every((vm) => vm.fleet.countStoreReaders(1500) === 0));
});

cucumber.When(
	'one VM that is no aggregator sees engines that read {int} tokens a ms',
	function (this: FleetWorld, speed: number) {
		const fleet = fleetOf(this);
		fleet.run(1000);
		const { costs } = memberOf(fleet);
		for (let at = 0; at < 100; at++) {
			const promptTokens = 200 + (at % 10) * 600;
			const delayMs = 10 + promptTokens / speed;
			const sizes = { promptTokens, aheadTokens: 0, copiedTokens: 0 };
			const now = fleet.clock.now;
			costs.firstEvent('pool', { ...sizes, delayMs, engine: 1, at: now, isQueued: false });
		}
	},
);

cucumber.Then(
	'all VMs expect engines to read {int} to {int} tokens a ms',
	function (this: FleetWorld, least: number, most: number) {
		for (const vm of fleetOf(this).running) {
			const speed = 1 / vm.costs.of('pool').readMsPerToken;
			assert.ok(speed >= least && speed <= most, `${vm.registration.name}: ${speed}`);
		}
	},
);
