/**
 * Steps about the first moments of a daemon.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { CallerRequest, CallerResponse } from '../../src/core/relay/definitions.js';
import { StartupQueue } from '../../src/core/relay/startup-queue.js';
import { clockOf, seen, silentLog } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

interface Start {
	hold: StartupQueue;
	known: boolean;
	wentOn: string[];
	heldIds: string[];
}

function start(world: FleetWorld): void {
	const made: Partial<Start> = { known: false, wentOn: [], heldIds: [] };
	const isKnown = () => made.known === true;
	made.hold = new StartupQueue({ clock: clockOf(world), log: silentLog, isLoaded: isKnown });
	world.seen.set('start', made);
}

/** @returns tells that the caller left */
function send(made: Start, id: string): () => void {
	let left = () => {};
	const res = { onClosed: (told: () => void) => (left = told) } as unknown as CallerResponse;
	if (made.hold.enqueue({ id } as CallerRequest, res, () => made.wentOn.push(id))) {
		made.heldIds.push(id);
	} else {
		made.wentOn.push(id);
	}
	return () => left();
}

cucumber.Given('a daemon that has just started', function (this: FleetWorld) {
	start(this);
});

cucumber.When(
	'requests {string} and {string} come and the caller of {string} leaves',
	function (this: FleetWorld, stays: string, leaves: string, _left: string) {
		const made = seen<Start>(this, 'start');
		send(made, stays);
		send(made, leaves)();
	},
);

cucumber.When(
	'the daemon has read the store after {int} ms',
	function (this: FleetWorld, ms: number) {
		const made = seen<Start>(this, 'start');
		clockOf(this).now += ms;
		made.known = true;
		made.hold.release();
	},
);

cucumber.When(
	'the daemon starts anew and {int} ms pass without the store',
	function (this: FleetWorld, ms: number) {
		start(this);
		clockOf(this).now += ms;
	},
);

cucumber.Then(
	/^"(.*)" went on, (held|not held)$/,
	function (this: FleetWorld, ids: string, how: string) {
		const made = seen<Start>(this, 'start');
		assert.equal(made.wentOn.join(', '), ids);
		assert.equal(made.heldIds.length > 0, how === 'held');
	},
);
