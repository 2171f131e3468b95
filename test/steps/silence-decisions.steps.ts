/**
 * Steps for what the relay decides about one resumable stream while engines are silent, in isolation.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { CostModel } from '../../src/core/engines/cost-model.js';
import { Engine } from '../../src/core/engines/engine.js';
import { nominalPace } from '../../src/core/engines/engine-pace.js';
import { forwardRefusals } from '../../src/core/forwarding/types.js';
import type { PermitResult } from '../../src/core/limits/permit-client.js';
import { Quarantine } from '../../src/core/quarantine/quarantine.js';
import type { AnswerHead, CallListener, EngineCall } from '../../src/core/relay/definitions.js';
import { RelayedRequest } from '../../src/core/relay/relayed-request.js';
import { RetryBudget } from '../../src/core/relay/retry-budget.js';
import {
	alwaysHealthy,
	clockOf,
	entry,
	newFleetView,
	route,
	seen,
	silentLog,
	soundLinks,
} from './relay-fakes.js';
import type { FleetWorld } from './world.js';

/** Time after which an engine counts as silent, in milliseconds. */
const silentMs = 700;
const timeoutMs = 10_000;
/** Retries of a window, and how many of them a single VM uses. */
const retries = { ratio: 0, windowMs: 10_000, extra: 10 };
const usableRetries = 8;
/** More than is buffered of an answer. */
const largeBytes = 300 * 1024;

type PermitCallback = (result: PermitResult) => void;

interface StreamCall {
	call: EngineCall;
	listener: CallListener;
	hasEnded: boolean;
}

interface ObservedStream {
	request: RelayedRequest;
	engines: Engine[];
	calls: StreamCall[];
	budget: RetryBudget;
	/** Whether another VM forwards requests. */
	helpers: { exist: boolean };
	caller: { reads: boolean; leave: () => void };
	/** Grants of permits, for engines with limits. */
	permits: { areSlow: boolean; grant?: () => void };
	/** What the caller received; `|` marks the end and `!` a cut. */
	received: string[];
}

export const streamOf = (world: FleetWorld) => seen<ObservedStream>(world, 'observed stream');

export const head: AnswerHead = {
	status: 200,
	id: 'request-1',
	isSigned: true,
	hasNotRun: false,
	isFromOtherEngine: false,
	isEncoded: false,
	notice: { isDraining: false },
	headers: [],
};

cucumber.Given(
	/^a stream that (may run once, which )?engine "(.*)" of "(.*)" has begun, for up to (\d+) engines$/,
	function (this: FleetWorld, once: string | null, first: string, ids: string, max: string) {
		const stream = startStream(this, ids.split(', '), Number(max), once !== null);
		const begun = callTo(stream, first);
		begun.listener.onSent();
		begun.listener.onHead(head);
		begun.listener.onData(Buffer.from('id: 1\n\n'));
		this.state.set('observed stream', stream);
	},
);

cucumber.Given(
	'a stream that engine {string} of {string} begins with a large error, for up to {int} engines and no retries',
	function (this: FleetWorld, first: string, ids: string, maxEngines: number) {
		const stream = startStream(this, ids.split(', '), maxEngines);
		stream.budget.configure({ ...retries, extra: 0 });
		const { listener } = callTo(stream, first);
		listener.onSent();
		listener.onHead({ ...head, status: 500 });
		listener.onData(Buffer.alloc(largeBytes, 'e'));
		this.state.set('observed stream', stream);
	},
);

cucumber.When('retries are allowed again', function (this: FleetWorld) {
	streamOf(this).budget.configure(retries);
});

cucumber.When('all engines are silent for a while', function (this: FleetWorld) {
	clockOf(this).now += silentMs;
});

cucumber.When(
	'the relay looks {int} time(s) for an engine',
	function (this: FleetWorld, n: number) {
		for (let count = 0; count < n; count++) {
			streamOf(this).request.checkProgress(clockOf(this).now, false);
		}
	},
);

cucumber.When('the stream is sent to {string}', function (this: FleetWorld, id: string) {
	callTo(streamOf(this), id).listener.onSent();
});

cucumber.When('{string} answers {int}', function (this: FleetWorld, id: string, status: number) {
	const { listener } = callTo(streamOf(this), id);
	listener.onHead({ ...head, status });
	listener.onData(Buffer.from('error'));
	listener.onEnd();
});

cucumber.When('{string} sends event {int}', function (this: FleetWorld, id: string, event: number) {
	const { listener } = callTo(streamOf(this), id);
	listener.onHead(head);
	listener.onData(Buffer.from(`id: ${event}\n\n`));
});

cucumber.When('{string} begins an event', function (this: FleetWorld, id: string) {
	const { listener } = callTo(streamOf(this), id);
	listener.onData(Buffer.from('id: 2\n'));
});

cucumber.When('the caller reads no more', function (this: FleetWorld) {
	streamOf(this).caller.reads = false;
});

cucumber.When('permits for engines are slow', function (this: FleetWorld) {
	streamOf(this).permits.areSlow = true;
});

cucumber.When('the permit comes', function (this: FleetWorld) {
	streamOf(this).permits.grant?.();
});

cucumber.Then('the call to {string} is over', function (this: FleetWorld, id: string) {
	const { calls } = streamOf(this);
	assert.ok(calls.every(({ call, hasEnded }) => call.engineId !== id || hasEnded));
});

cucumber.When('{string} breaks off', function (this: FleetWorld, id: string) {
	endCall(streamOf(this), id).onError('other side closed', false);
});

cucumber.When('{string} cannot be reached', function (this: FleetWorld, id: string) {
	endCall(streamOf(this), id).onError('connection timed out', false);
});

cucumber.When(
	/^"(.*)" are reached through other VMs, of which (none|one) forwards$/,
	function (this: FleetWorld, ids: string, how: string) {
		const { engines, helpers } = streamOf(this);
		for (const engine of engines) {
			engine.isForwarded = ids.split(', ').includes(engine.id);
		}
		helpers.exist = how === 'one';
	},
);

cucumber.When('the VM that forwards to {string} refuses', function (this: FleetWorld, id: string) {
	endCall(streamOf(this), id).onNotForwarded(forwardRefusals.overloaded);
});

cucumber.When('the deadline passes while the VM is suspended', function (this: FleetWorld) {
	clockOf(this).suspendedMs += timeoutMs;
});

cucumber.Then('{int} retries are counted', function (this: FleetWorld, count: number) {
	const now = clockOf(this).now;
	const available = streamOf(this).budget.getAvailable('pool', now);
	assert.equal(Math.round(usableRetries - available), count);
	endAll(streamOf(this));
});

cucumber.Then(
	'it was sent to {string}, and the caller got {string}',
	function (this: FleetWorld, ids: string, received: string) {
		const stream = streamOf(this);
		assert.equal(stream.calls.map(({ call }) => call.engineId).join(', '), ids);
		assert.equal(stream.received.join(' '), received);
		endAll(stream);
	},
);

interface StartOptions {
	/** Whether the request has to wait for a permit. */
	hasSlowPermits?: boolean;
	isStreamed?: boolean;
	/** @default 10 s, by a timer of the system */
	timeoutMs?: number;
}

export function startStream(
	world: FleetWorld,
	ids: string[],
	maxEngines: number,
	runsOnce = false,
	opts: StartOptions = {},
): ObservedStream {
	const clock = clockOf(world);
	const engines = ids.map((id) => new Engine(entry(id)));
	const calls: StreamCall[] = [];
	const received: string[] = [];
	const helpers = { exist: true };
	const caller = { reads: true, leave() {} };
	const permits: ObservedStream['permits'] = { areSlow: opts.hasSlowPermits ?? false };
	const budget = new RetryBudget(retries, () => 1);
	const work = { engine: 0, running: 0, promptTokens: 0 };
	const figures = { uncachedTokens: 0, readingMs: 0, waitMs: 0, readMsPerToken: 0, work };
	const ctx = {
		clock,
		log: silentLog,
		engines: { getEligible: () => engines, getBackOffLeftMs: () => 0, revision: 1 },
		placement: {
			choose({ tried }: { tried: ReadonlySet<string> }) {
				const engine = engines.find(({ id }) => !tried.has(id));
				const found = {
					...figures,
					cachedTokens: 0,
					copiedTokens: 0,
					pace: nominalPace,
					reason: '',
				};
				return engine ? { ...found, engine } : { refusal: 'no engine is left', retryAfterS: 1 };
			},
		},
		transport: {
			send(call: EngineCall, listener: CallListener) {
				const sent: StreamCall = { call, listener, hasEnded: false };
				calls.push(sent);
				const abort = () => {
					sent.hasEnded = true;
				};
				return { pause() {}, resume() {}, abort };
			},
		},
		forwarding: {
			retryAfterS: 1,
			chooseHelper: () =>
				helpers.exist
					? {
							name: 'vm-2',
							address: '10.0.0.2:1',
							release() {},
							recordRefusal() {},
							recordFailure() {},
						}
					: undefined,
		},
		retryBudget: budget,
		quarantine: new Quarantine({
			clock,
			log: silentLog,
			onUpdate() {},
			onEntered() {},
			isPortClosed: async () => false,
		}),
		fleet: newFleetView(world),
		limits: {
			ledger: { getLimitPerS: () => (permits.areSlow ? 1 : undefined), recordNoLimit() {} },
			getRetrySchedule: () => ({ recordAdmission() {} }),
			permits: {
				getRetryDelayMs: () => 0,
				request(_engine: unknown, _urgency: number, _waitMs: number, done: PermitCallback) {
					permits.grant = () => done({ isGranted: true, retryAfterMs: 0 });
					return { cancel() {} };
				},
			},
		},
		fleetHealth: alwaysHealthy,
		links: soundLinks,
		costs: new CostModel(),
		metrics: new Proxy({}, { get: () => () => {} }),
		onWorkChanged() {},
	};
	const req = {
		method: 'POST',
		target: '/',
		host: 'a.example',
		id: 'request-1',
		promptSegments: [],
		promptTokens: 0,
		answerTokens: 0,
		headers: [],
		body: Buffer.alloc(0),
		arrivedAt: clock.sinceBoot(),
	};
	const terms = {
		repeatability: runsOnce ? 'once' : 'idempotent',
		isStreamed: opts.isStreamed ?? true,
		isResumable: !runsOnce,
		timeoutMs: opts.timeoutMs ?? timeoutMs,
		maxEngines,
	} as const;
	const routed = { req, route: route(terms), service: 'pool', urgency: 0, isLeastUrgent: false };
	const res = {
		writeHead: (status: number) => void received.push(String(status)),
		write: (bytes: Buffer) => received.push(nameOf(bytes)) > 0 && caller.reads,
		end: () => void received.push('|'),
		abort: () => void received.push('!'),
		onDrain() {},
		onDisconnect(callback: () => void) {
			caller.leave = callback;
		},
	};
	const request = new RelayedRequest(ctx as never, routed as never, res, () => {});
	request.start();
	return { request, engines, calls, budget, helpers, caller, permits, received };
}

const nameOf = (bytes: Buffer) =>
	bytes.length > 1024 ? 'large' : bytes.toString('latin1').trim().replaceAll(/\s+/g, '');

/** The last call to the engine that is still open. */
export function callTo({ calls }: ObservedStream, id: string): StreamCall {
	const open = calls.findLast(({ call, hasEnded }) => call.engineId === id && !hasEnded);
	assert.ok(open, `no call to ${id} is open`);
	return open;
}

/** The listener of a call that ends now. */
function endCall(stream: ObservedStream, id: string): CallListener {
	const ended = callTo(stream, id);
	ended.hasEnded = true;
	return ended.listener;
}

function endAll({ request }: ObservedStream): void {
	request.abort('the scenario ends');
}
