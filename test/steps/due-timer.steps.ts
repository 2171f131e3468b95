/**
 * Steps for `DueTimer`, with mocked timers.
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
	/** Times at which the callback ran. */
	firedAt: number[];
	/** Number of runs before the deadline. */
	earlyRuns: number;
	/** Each run on time moves the deadline on by this. */
	intervalMs: number;
}

const tests = new WeakMap<FleetWorld, TimerTest>();

function testOf(world: FleetWorld): TimerTest {
	const test = tests.get(world);
	assert.ok(test);
	return test;
}

/** Advances the clock and the mocked timers, which fire at whole milliseconds, by one millisecond at a time. */
function advance(test: TimerTest, ms: number): void {
	for (let elapsedMs = 0; elapsedMs < ms; elapsedMs++) {
		test.now++;
		mock.timers.tick(1);
	}
}

cucumber.Given("a timer whose clock is 1 ms ahead of the loop's", function (this: FleetWorld) {
	mock.timers.enable({ apis: ['setTimeout'] });
	const test = {
		now: 1000.4,
		dueAt: Number.POSITIVE_INFINITY,
		firedAt: [],
		earlyRuns: 0,
		intervalMs: 0,
	};
	const timerTest = test as unknown as TimerTest;
	const clock = {
		monotonic: () => timerTest.now,
		sinceBoot: () => timerTest.now,
		wall: () => timerTest.now,
	};
	timerTest.timer = new DueTimer(
		clock,
		() => timerTest.dueAt,
		() => {
			timerTest.firedAt.push(timerTest.now);
			if (timerTest.now < timerTest.dueAt) {
				timerTest.earlyRuns++;
			} else {
				timerTest.dueAt += timerTest.intervalMs;
			}
		},
	);
	tests.set(this, timerTest);
});

cucumber.When(
	'something is due after {int} ms, {int} times over',
	function (this: FleetWorld, ms: number, times: number) {
		const test = testOf(this);
		test.intervalMs = ms;
		test.dueAt = test.now + ms;
		test.timer.arm();
		// Lets the clock lag behind the timers, as if the timer had been set late in a turn of the event loop.
		test.now--;
		while (test.firedAt.length < times) {
			advance(test, 1);
			if (test.firedAt.at(-1) === test.now) {
				test.now -= 0.7;
			}
		}
	},
);

cucumber.Then(
	'the timer fired {int} times, each time when it was due',
	function (this: FleetWorld, times: number) {
		const { firedAt, earlyRuns } = testOf(this);
		assert.equal(firedAt.length, times);
		assert.equal(earlyRuns, 0);
	},
);

cucumber.When(
	'what is due is put off to {int} ms after {int} ms',
	function (this: FleetWorld, laterMs: number, ms: number) {
		const test = testOf(this);
		test.firedAt = [];
		test.dueAt = test.now + 250;
		test.timer.arm();
		advance(test, ms);
		test.dueAt = test.now + laterMs - ms;
		test.timer.arm();
		advance(test, laterMs - ms - 1);
	},
);

cucumber.Then('the timer did not fire before', function (this: FleetWorld) {
	const test = testOf(this);
	assert.deepEqual(test.firedAt, []);
	advance(test, 10);
	assert.equal(test.firedAt.length, 1);
	test.timer.stop();
});

cucumber.After(() => mock.timers.reset());
