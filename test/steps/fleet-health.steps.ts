/**
 * Steps for engines that fail requests of several VMs, in a simulated fleet whose VMs send requests to random available engines.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { seededRandom, seen } from './relay-fakes.js';
import type { SimulatedVm } from './simulated-fleet.js';
import { SimulatedFleet } from './simulated-fleet.js';
import type { FleetWorld } from './world.js';

const stepMs = 20;
const settleMs = 1500;
const failingEngine = 7;

/** Whether a request of the VM fails at the engine; `chance` is random in [0, 1). */
type FailureRule = (vm: SimulatedVm, engine: number, chance: number) => boolean;

class RequestLoad {
	readonly fleet: SimulatedFleet;
	readonly engines: { ref: number }[];
	failed = 0;
	/** Number of requests sent to each engine. */
	sent = new Map<number, number>();
	private readonly nextRandom = seededRandom(7);

	constructor(
		vms: number,
		engines: number,
		private readonly perS: number,
	) {
		this.fleet = new SimulatedFleet(vms, 3);
		this.engines = Array.from({ length: engines }, (_, ref) => ({ ref }));
		this.fleet.run(settleMs);
	}

	run(ms: number, fails: FailureRule): void {
		this.failed = 0;
		this.sent = new Map();
		for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += stepMs) {
			for (const vm of this.fleet.running) {
				if (this.nextRandom() < (this.perS * stepMs) / 1000) {
					this.request(vm, fails);
				}
			}
			this.fleet.run(stepMs);
		}
	}

	private request(vm: SimulatedVm, fails: FailureRule): void {
		const available = vm.health.filterAvailable(this.engines);
		const engine = available[Math.floor(this.nextRandom() * available.length)] as { ref: number };
		this.sent.set(engine.ref, (this.sent.get(engine.ref) ?? 0) + 1);
		if (fails(vm, engine.ref, this.nextRandom())) {
			this.failed++;
			vm.health.recordFailure(engine);
		} else {
			vm.health.recordSuccess(engine);
		}
	}
}

cucumber.Given(
	'{int} VMs and {int} engines, with {int} requests a second per VM',
	function (this: FleetWorld, vms: number, engines: number, perS: number) {
		this.state.set('requests', new RequestLoad(vms, engines, perS));
	},
);

cucumber.Given(
	'{int} % of the gossip messages are lost',
	function (this: FleetWorld, percent: number) {
		seen<RequestLoad>(this, 'requests').fleet.lossRate = percent / 100;
	},
);

cucumber.When(
	'one engine fails {int} % of its requests for {int} s',
	function (this: FleetWorld, percent: number, seconds: number) {
		const fails: FailureRule = (_, engine, chance) =>
			engine === failingEngine && chance < percent / 100;
		seen<RequestLoad>(this, 'requests').run(seconds * 1000, fails);
	},
);

cucumber.When(
	'all engines fail {int} % of their requests for {int} s',
	function (this: FleetWorld, percent: number, seconds: number) {
		seen<RequestLoad>(this, 'requests').run(
			seconds * 1000,
			(_vm, _engine, chance) => chance < percent / 100,
		);
	},
);

cucumber.When(
	'all requests of one VM fail for {int} s',
	function (this: FleetWorld, seconds: number) {
		const requests = seen<RequestLoad>(this, 'requests');
		const [failingVm] = requests.fleet.vms;
		requests.run(seconds * 1000, (vm) => vm === failingVm);
	},
);

cucumber.Then('at most {int} requests fail', function (this: FleetWorld, max: number) {
	const { failed } = seen<RequestLoad>(this, 'requests');
	assert.ok(failed <= max, `${failed} failed`);
});

cucumber.Then(
	'{int} s later the engine gets work like the others',
	function (this: FleetWorld, seconds: number) {
		const requests = seen<RequestLoad>(this, 'requests');
		requests.run(seconds * 1000, () => false);
		requests.run(4000, () => false);
		const all = [...requests.sent.values()].reduce((sum, count) => sum + count, 0);
		const share = (requests.sent.get(failingEngine) ?? 0) / all;
		assert.ok(share > 0.5 / requests.engines.length, `${share} of the requests`);
	},
);

cucumber.Then('no other VM avoids an engine', function (this: FleetWorld) {
	const { fleet, engines } = seen<RequestLoad>(this, 'requests');
	const avoiding = fleet.vms
		.slice(1)
		.filter((vm) => vm.health.filterAvailable(engines) !== engines);
	assert.equal(avoiding.length, 0, `${avoiding.length} VMs avoid engines`);
});

cucumber.Then('each VM may use all engines', function (this: FleetWorld) {
	const { fleet, engines } = seen<RequestLoad>(this, 'requests');
	const avoiding = fleet.vms.filter(
		(vm) => vm.health.filterAvailable(engines).length < engines.length,
	);
	assert.equal(avoiding.length, 0, `${avoiding.length} VMs avoid engines`);
});
