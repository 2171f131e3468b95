/**
 * Steps for VMs whose monotonic clock stands still while they are suspended.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { CostModel } from '../../src/core/engines/cost-model.js';
import { Engine } from '../../src/core/engines/engine.js';
import { nominalPace } from '../../src/core/engines/engine-pace.js';
import type { FleetView } from '../../src/core/fleet/fleet-view.js';
import { VmRegistry } from '../../src/core/fleet/vm-registry.js';
import { Quarantine } from '../../src/core/quarantine/quarantine.js';
import type {
	AnswerListener,
	CallerRequest,
	CallerResponse,
	EngineCall,
} from '../../src/core/relay/definitions.js';
import { RelayedRequest } from '../../src/core/relay/relayed-request.js';
import { RetryBudget } from '../../src/core/relay/retry-budget.js';
import type { RelayContext, RoutedRequest } from '../../src/core/relay/types.js';
import type { Store } from '../../src/core/store/definitions.js';
import { StoreError, storeFailures } from '../../src/core/store/definitions.js';
import { PrefixFollower } from '../../src/core/store/prefix-follower.js';
import { SuspensionMeter } from '../../src/core/time/suspension-meter.js';
import {
	alwaysHealthy,
	clockOf,
	entry,
	gossipMessage,
	newFleetView,
	noRequestLimits,
	route,
	seen,
	silentLog,
	soundLinks,
} from './relay-fakes.js';
import type { FleetWorld } from './world.js';

interface TwoClocks {
	monotonicMs: number;
	aheadMs: number;
	meter: SuspensionMeter;
}

cucumber.Given(
	'a VM whose wall clock was {int} ms ahead of its monotonic clock',
	function (this: FleetWorld, aheadMs: number) {
		const meter = new SuspensionMeter();
		meter.sample(0, aheadMs);
		this.state.set('clocks', { monotonicMs: 0, aheadMs, meter });
	},
);

cucumber.When(
	'its wall clock gains {int} ms on the monotonic clock',
	function (this: FleetWorld, ms: number) {
		const clocks = seen<TwoClocks>(this, 'clocks');
		clocks.monotonicMs += 10;
		clocks.aheadMs += ms;
		clocks.meter.sample(clocks.monotonicMs, clocks.monotonicMs + clocks.aheadMs);
	},
);

cucumber.Then('it was suspended for {int} ms', function (this: FleetWorld, ms: number) {
	assert.equal(seen<TwoClocks>(this, 'clocks').meter.totalMs, ms);
});

cucumber.When(/^(?:it|its VM) is suspended for (\d+) ms$/, function (this: FleetWorld, ms: string) {
	clockOf(this).suspendedMs += Number(ms);
});

/** Pending sleeps in order of their start; steps end them. */
interface Sleeps {
	waiting: { ms: number; end: () => void }[];
}

cucumber.Given(
	'a VM that is registered and renews every {int} ms',
	async function (this: FleetWorld, intervalMs: number) {
		const sleeps: Sleeps = { waiting: [] };
		const renewals = { count: 0 };
		const store = {
			range: async () => ({ items: [], revision: 1 }),
			grantLease: async () => 1,
			put: async () => {},
			renewLease: async () => {
				renewals.count++;
			},
		} as unknown as Store;
		const registry = new VmRegistry({
			store,
			clock: clockOf(this),
			random: { next: () => 0.5, hex: () => '' },
			log: silentLog,
			prefix: 'vms/',
			self: { name: 'vm-1', domain: 'z', cores: 1, address: { host: '10.0.0.1', port: 1 } },
			sleep: (ms) => new Promise((end) => sleeps.waiting.push({ ms, end })),
			renewalIntervalMs: () => intervalMs,
			isStoreUnavailable: () => false,
			onStoreUnreachable() {},
		});
		void registry.run();
		this.state.set('sleeps', sleeps);
		this.state.set('renewals', renewals);
		// Ends the pause before the second read of the registered VMs.
		await flushTasks();
		sleeps.waiting.shift()?.end();
		await flushTasks();
	},
);

cucumber.Then('it renews within {int} ms', async function (this: FleetWorld, ms: number) {
	const { waiting } = seen<Sleeps>(this, 'sleeps');
	const sleep = waiting.shift();
	assert.ok(sleep && sleep.ms <= ms);
	clockOf(this).now += sleep.ms;
	sleep.end();
	await flushTasks();
	assert.equal(seen<{ count: number }>(this, 'renewals').count, 1);
});

cucumber.Given(
	'a VM that received gossip of a store reader with recent contact',
	function (this: FleetWorld) {
		const fleet = newFleetView(this);
		const reader = { address: '10.0.0.2:1', contactAgeMs: 0, revision: 1, digest: 1, dutyToken: 0 };
		fleet.merge(gossipMessage({ storeReaders: [reader] }));
		assert.equal(fleet.countStoreReaders(1500), 1);
		this.state.set('fleet', fleet);
	},
);

cucumber.Then('it knows no store reader with recent contact', function (this: FleetWorld) {
	assert.equal(seen<FleetView>(this, 'fleet').countStoreReaders(1500), 0);
});

cucumber.Given('a VM that follows the store', async function (this: FleetWorld) {
	const answers: (() => void)[] = [];
	const store = {
		range: () => new Promise((done) => answers.push(() => done({ items: [], revision: 1 }))),
		watch: (_prefix: string, _revision: number, _waitMs: number, signal: AbortSignal) =>
			new Promise((_, fail) => {
				signal.addEventListener('abort', () => fail(new StoreError(storeFailures.unknown, 'cut')));
			}),
	} as unknown as Store;
	const follower = new PrefixFollower({
		store,
		prefix: 'servers/',
		clock: clockOf(this),
		random: { next: () => 0.5, hex: () => '' },
		log: silentLog,
		listener: { applySnapshot() {}, applyChanges() {}, handleStoreLost() {} },
		beforeFirstWatch: async () => {},
		watchMs: () => 1000,
		pauseMs: 0,
		maxBackoffMs: () => 100,
		sleep: async () => {},
		backOff: async () => {},
	});
	void follower.follow();
	await flushTasks();
	answers.shift()?.();
	await flushTasks();
	assert.equal(follower.isReachable, true);
	this.state.set('follower', follower);
	this.state.set('answers', answers);
});

cucumber.When('it wakes from a suspension', async function (this: FleetWorld) {
	seen<PrefixFollower>(this, 'follower').invalidate();
	await flushTasks();
});

cucumber.Then('its data from the store is stale', function (this: FleetWorld) {
	assert.equal(seen<PrefixFollower>(this, 'follower').isReachable, false);
});

cucumber.When('the store answers', async function (this: FleetWorld) {
	seen<(() => void)[]>(this, 'answers').shift()?.();
	await flushTasks();
});

cucumber.Then('its data from the store is current', function (this: FleetWorld) {
	const follower = seen<PrefixFollower>(this, 'follower');
	assert.equal(follower.isReachable, true);
	follower.stop();
});

export interface RequestInFlight {
	calls: EngineCall[];
	listeners: AnswerListener[];
	statuses: number[];
}

cucumber.Given(
	'a request with {int} ms that was sent to an engine',
	function (this: FleetWorld, deadlineMs: number) {
		const inFlight: RequestInFlight = { calls: [], listeners: [], statuses: [] };
		const terms = termsOf(this, 'request-1', deadlineMs);
		const request = new RelayedRequest(
			contextOf(this, inFlight),
			terms,
			response(inFlight),
			() => {},
		);
		request.start();
		inFlight.listeners[0]?.onSent();
		this.state.set('in flight', inFlight);
	},
);

/** An idempotent request as it comes from the route table. */
export function termsOf(world: FleetWorld, id: string, deadlineMs: number): RoutedRequest {
	const req: CallerRequest = {
		method: 'GET',
		target: '/',
		host: 'a.example',
		id,
		deadlineMs,
		promptSegments: [],
		promptTokens: 0,
		answerTokens: 0,
		headers: [],
		body: Buffer.alloc(0),
		arrivedAt: clockOf(world).sinceBoot(),
	};
	return {
		req,
		route: route({ repeatability: 'idempotent', timeoutMs: 10_000, maxEngines: 2 }),
		service: 'pool',
		isLeastUrgent: false,
		urgency: 0,
		configurationVersion: 1,
	};
}

export function contextOf(world: FleetWorld, inFlight: RequestInFlight): RelayContext {
	const clock = clockOf(world);
	const engines = ['a', 'b'].map((id) => new Engine(entry(id)));
	const isPortClosed = async () => false;
	const work = { engine: 0, running: 0, promptTokens: 0 };
	const estimates = {
		uncachedTokens: 0,
		readingMs: 0,
		waitMs: 0,
		readMsPerToken: 0,
		pace: nominalPace,
	};
	const tokens = { ...estimates, cachedTokens: 0, copiedTokens: 0, work, reason: '' };
	const retries = { ratio: 1, windowMs: 10_000, extra: 10 };
	return {
		clock,
		log: silentLog,
		engines: { getEligible: () => engines, getBackOffLeftMs: () => 0 },
		placement: {
			choose({ tried }: { tried: ReadonlySet<string> }) {
				const engine = engines.find(({ id }) => !tried.has(id));
				return engine ? { ...tokens, engine } : { refusal: 'no engine is left', retryAfterS: 1 };
			},
		},
		transport: {
			send(call: EngineCall, listener: AnswerListener) {
				inFlight.calls.push(call);
				inFlight.listeners.push(listener);
				return { pause() {}, resume() {}, abort() {} };
			},
		},
		retryBudget: new RetryBudget(retries, () => 1),
		quarantine: new Quarantine({
			clock,
			log: silentLog,
			onUpdate() {},
			onEntered() {},
			isPortClosed,
		}),
		fleet: newFleetView(world),
		limits: noRequestLimits,
		fleetHealth: alwaysHealthy,
		links: soundLinks,
		costs: new CostModel(),
		metrics: {
			recordEnded() {},
			recordDenied() {},
			recordRetry() {},
			recordReplacement() {},
			recordRequestDefect() {},
			recordCircuitOpened() {},
		},
		onWorkChanged() {},
	} as unknown as RelayContext;
}

function response({ statuses }: RequestInFlight): CallerResponse {
	const head = (status: number) => void statuses.push(status);
	return {
		writeHead: head,
		write: () => true,
		end() {},
		abort() {},
		onDrain() {},
		onDisconnect() {},
	};
}

cucumber.When('the engine aborts its answer', function (this: FleetWorld) {
	seen<RequestInFlight>(this, 'in flight').listeners[0]?.onError('other side closed', false);
});

cucumber.Then('it is retried with {int} ms', function (this: FleetWorld, ms: number) {
	const { calls, listeners } = seen<RequestInFlight>(this, 'in flight');
	assert.equal(calls[1]?.deadlineMs, ms);
	listeners[1]?.onError('the scenario ends', false);
});

cucumber.Then(
	'it is sent to no other engine and its caller gets {int}',
	function (this: FleetWorld, status: number) {
		const { calls, statuses } = seen<RequestInFlight>(this, 'in flight');
		assert.equal(calls.length, 1);
		assert.deepEqual(statuses, [status]);
	},
);

function flushTasks(): Promise<void> {
	return new Promise((done) => setImmediate(done));
}
