/**
 * Steps for requests that are refused, or end, while something of them is still under way, in isolation.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { callTo, head, startStream, streamOf } from './silence-decisions.steps.js';
import type { FleetWorld } from './world.js';

/** Time-out of the routes, and a time in which its timer has run. */
const timeoutMs = 20;
const afterTimeoutMs = 60;

cucumber.Given(
	/^a request that may run (once|again) and waits for a permit for one of "(.*)"$/,
	function (this: FleetWorld, how: string, ids: string) {
		const opts = { hasSlowPermits: true, isStreamed: false, timeoutMs };
		const stream = startStream(this, ids.split(', '), 2, how === 'once', opts);
		this.state.set('observed stream', stream);
	},
);

cucumber.Given(
	/^a request that may run (once|again) and was sent to the first of "(.*)"$/,
	function (this: FleetWorld, how: string, ids: string) {
		const all = ids.split(', ');
		const runsOnce = how === 'once';
		const opts = { isStreamed: false, ...(runsOnce ? { timeoutMs } : {}) };
		const stream = startStream(this, all, all.length, runsOnce, opts);
		callTo(stream, all[0] ?? '').listener.onSent();
		this.state.set('observed stream', stream);
	},
);

cucumber.When('its deadline passes', async () => {
	await new Promise((done) => setTimeout(done, afterTimeoutMs));
});

cucumber.When('its caller leaves', function (this: FleetWorld) {
	streamOf(this).caller.leave();
});

cucumber.When('the daemon aborts it', function (this: FleetWorld) {
	streamOf(this).request.abort('the daemon stops');
});

cucumber.When(
	'{string} declares with {int} that it did not run it',
	function (this: FleetWorld, id: string, status: number) {
		const { listener } = callTo(streamOf(this), id);
		listener.onHead({ ...head, status, hasNotRun: true });
		listener.onEnd();
	},
);

cucumber.When('the late answer of {string} comes', function (this: FleetWorld, id: string) {
	const call = streamOf(this).calls.find(({ call: { engineId } }) => engineId === id);
	assert.ok(call, `no call to ${id}`);
	call.listener.onHead({ ...head, status: 503, hasNotRun: true });
	call.listener.onEnd();
});
