/**
 * Steps about answers of the store that are lost or old while the store answers everything else.
 * @module
 */
import * as cucumber from '@cucumber/cucumber';
import { fixtureOf } from './relay-fixture.js';
import type { Vm } from './relay-world.js';
import { until } from './relay-world.js';
import type { FleetWorld } from './world.js';

cucumber.When(
	/^the watches of (each|every 2nd) VM that wait at the store get no answer$/,
	function (this: FleetWorld, whose: string) {
		const { store, vms } = fixtureOf(this);
		const step = whose === 'each' ? 1 : 2;
		const affected = vms.filter((_, index) => index % step === 0).map(({ address }) => address);
		store.loseWaitingWatches((vm) => affected.includes(vm));
	},
);

cucumber.When(
	'each watch that begins within {int} ms gets no answer',
	function (this: FleetWorld, ms: number) {
		const { store } = fixtureOf(this);
		store.loseWaitingWatches();
		store.loseNewWatches(ms);
	},
);

cucumber.When('the next watch of each VM gets no answer', function (this: FleetWorld) {
	// Longer than the pause between two watches.
	fixtureOf(this).store.loseNewWatches(700);
});

cucumber.When(
	'stale reads of the store are answered with its present content from now on',
	function (this: FleetWorld) {
		fixtureOf(this).store.holdStaleReads();
	},
);

cucumber.When(
	'VM {int} is killed and started again',
	async function (this: FleetWorld, vm: number) {
		const fixture = fixtureOf(this);
		const { address, ports, process, ended } = fixture.vms[vm - 1] as Vm;
		process.kill('SIGKILL');
		await ended;
		const next = await fixture.startVm(address, `vm-${vm}`, ports);
		fixture.vms[vm - 1] = next;
		await until(() => fixture.isReady(next));
	},
);
