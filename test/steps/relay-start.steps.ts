/**
 * Steps for requests that arrive while a daemon starts.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { CallerRequest, CallerResponse } from '../../src/core/relay/definitions.js';
import { StartupQueue } from '../../src/core/relay/startup-queue.js';
import { clockOf, seen, silentLog } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

interface Start {
	queue: StartupQueue;
	isLoaded: boolean;
	processed: string[];
	heldIds: string[];
}

function start(world: FleetWorld): void {
	const startup: Partial<Start> = { isLoaded: false, processed: [], heldIds: [] };
	const isLoaded = () => startup.isLoaded === true;
	startup.queue = new StartupQueue({ clock: clockOf(world), log: silentLog, isLoaded });
	world.state.set('start', startup);
}

/** @returns a function that disconnects the caller */
function send(startup: Start, id: string): () => void {
	let disconnect = () => {};
	const res = {
		onDisconnect: (callback: () => void) => (disconnect = callback),
	} as unknown as CallerResponse;
	if (startup.queue.enqueue({ id } as CallerRequest, res, () => startup.processed.push(id))) {
		startup.heldIds.push(id);
	} else {
		startup.processed.push(id);
	}
	return () => disconnect();
}

cucumber.Given('a daemon that has just started', function (this: FleetWorld) {
	start(this);
});

cucumber.When(
	'requests {string} and {string} come and the caller of {string} leaves',
	function (this: FleetWorld, stays: string, leaves: string, _left: string) {
		const startup = seen<Start>(this, 'start');
		send(startup, stays);
		send(startup, leaves)();
	},
);

cucumber.When(
	'the daemon has read the store after {int} ms',
	function (this: FleetWorld, ms: number) {
		const startup = seen<Start>(this, 'start');
		clockOf(this).now += ms;
		startup.isLoaded = true;
		startup.queue.release();
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
		const startup = seen<Start>(this, 'start');
		assert.equal(startup.processed.join(', '), ids);
		assert.equal(startup.heldIds.length > 0, how === 'held');
	},
);
