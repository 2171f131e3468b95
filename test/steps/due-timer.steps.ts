/**
 * Steps about the timer for whatever is due next, with timers that the test moves on.
 * @module
 */
import * as assert from 'node:assert/strict';
import { mock } from 'node:test';
import * as cucumber from '@cucumber/cucumber';
import { DueTimer } from '../../src/daemon/relay/due-timer.js';
import type { FleetWorld } from './world.js';

interface TimerTest {
	timer: DueTimer;
	now: number;
	dueAt: number;
	/** Times at which it fired. */
	fired: number[];
	/** Fires that came before anything was due. */
	early: number;
	everyMs: number;
}

const tests = new WeakMap<FleetWorld, TimerTest>();

function testOf(world: FleetWorld): TimerTest {
	const test = tests.get(world);
	assert.ok(test);
	return test;
}

/** The loop's timers see whole milliseconds, and fire when the loop's clock, which lags, says so. */
function pass(test: TimerTest, ms: number): void {
	for (let at = 0; at < ms; at++) {
		test.now++;
		mock.timers.tick(1);
	}
}

cucumber.Given("a timer whose clock is 1 ms ahead of the loop's", function (this: FleetWorld) {
	mock.timers.enable({ apis: ['setTimeout'] });
	const test = { now: 1000.4, dueAt: Number.POSITIVE_INFINITY, fired: [], early: 0, everyMs: 0 };
	const made = test as unknown as TimerTest;
	const clock = { monotonic: () => made.now, sinceBoot: () => made.now, wall: () => made.now };
	made.timer = new DueTimer(
		clock,
		() => made.dueAt,
		() => {
			made.fired.push(made.now);
			if (made.now < made.dueAt) {
				made.early++;
			} else {
				made.dueAt += made.everyMs;
			}
		},
	);
	tests.set(this, made);
});

cucumber.When(
	'something is due after {int} ms, {int} times over',
	function (this: FleetWorld, ms: number, times: number) {
		const test = testOf(this);
		test.everyMs = ms;
		test.dueAt = test.now + ms;
		test.timer.arm();
		// The clock goes back a little against the loop: what was armed late in a turn of the loop fires early.
		test.now--;
		while (test.fired.length < times) {
			pass(test, 1);
			if (test.fired.at(-1) === test.now) {
				test.now -= 0.7;
			}
		}
	},
);

cucumber.Then(
	'the timer fired {int} times, each time when it was due',
	function (this: FleetWorld, times: number) {
		const { fired, early } = testOf(this);
		assert.equal(fired.length, times);
		assert.equal(early, 0);
	},
);

cucumber.When(
	'what is due is put off to {int} ms after {int} ms',
	function (this: FleetWorld, laterMs: number, ms: number) {
		const test = testOf(this);
		test.fired = [];
		test.dueAt = test.now + 250;
		test.timer.arm();
		pass(test, ms);
		test.dueAt = test.now + laterMs - ms;
		test.timer.arm();
		pass(test, laterMs - ms - 1);
	},
);

cucumber.Then('the timer did not fire before', function (this: FleetWorld) {
	const test = testOf(this);
	assert.deepEqual(test.fired, []);
	pass(test, 10);
	assert.equal(test.fired.length, 1);
	test.timer.stop();
});

cucumber.After(() => mock.timers.reset());
