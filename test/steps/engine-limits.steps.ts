/**
 * Steps about the rate limits that engines name for all VMs together.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { Engine } from '../../src/core/engines/engine.js';
import { EngineNotices } from '../../src/core/engines/engine-notices.js';
import { LimitLedger } from '../../src/core/limits/limit-ledger.js';
import type { PermitResult } from '../../src/core/limits/permit-client.js';
import { RetrySchedule } from '../../src/core/limits/retry-schedule.js';
import { applyEngineNotice } from '../../src/core/relay/apply-engine-notice.js';
import type { Attempt } from '../../src/core/relay/attempt.js';
import type { RequestOutcome } from '../../src/core/relay/request-outcome.js';
import { RequestPlacement } from '../../src/core/relay/request-placement.js';
import type { RelayContext } from '../../src/core/relay/types.js';
import * as platform from '../../src/platform/index.js';
import { alwaysHealthy, clockOf, entry, route, soundLinks } from './relay-fakes.js';
import { engineOf, fixtureOf } from './relay-fixture.js';
import type { Answer, Vm } from './relay-world.js';
import type { FleetWorld } from './world.js';

/** Window over which arrivals are counted, in milliseconds. */
const windowMs = 4000;
/** Tolerance of a window: a factor on the limit and a number of extra requests. */
const toleranceFactor = 1.5;
const toleranceRequests = 5;
/** Time from the first answer that names a limit until it must be kept, in milliseconds. */
const propagationMs = 1500;
/** Pause between two requests of one caller, in milliseconds. */
const pauseMs = 20;

/** An answer and its duration, in milliseconds. */
interface TimedAnswer {
	answer: Answer;
	tookMs: number;
}

const timedAnswers = (world: FleetWorld): TimedAnswer[] => {
	const known = (world.state.get('timed') as TimedAnswer[] | undefined) ?? [];
	world.state.set('timed', known);
	return known;
};

cucumber.Given(
	/^engines? "([^"]+)" names? a limit of ([\d.]+) requests a second$/,
	function (this: FleetWorld, ids: string, limit: string) {
		for (const id of ids.split(', ')) {
			engineOf(this, id).limitPerS = Number(limit);
		}
	},
);

cucumber.When('engine {string} no longer names a limit', function (this: FleetWorld, id: string) {
	engineOf(this, id).limitPerS = undefined;
});

cucumber.When(
	'{string} is sent through all VMs for {int} ms',
	{ timeout: 30_000 },
	async function (this: FleetWorld, call: string, ms: number) {
		await Promise.all(fixtureOf(this).vms.map((vm) => sendFor(this, call, ms, vm)));
	},
);

cucumber.When(
	'{string} is sent through one VM for {int} ms',
	{ timeout: 30_000 },
	async function (this: FleetWorld, call: string, ms: number) {
		const vm = fixtureOf(this).vms[0] as Vm;
		await Promise.all([1, 2, 3].map(() => sendFor(this, call, ms, vm)));
	},
);

async function sendFor(world: FleetWorld, call: string, ms: number, vm: Vm): Promise<void> {
	const latest = performance.now() + ms;
	while (performance.now() < latest) {
		const sentAt = performance.now();
		const answer = await fixtureOf(world).send(call, '', { vm });
		timedAnswers(world).push({ answer, tookMs: performance.now() - sentAt });
		await new Promise((done) => setTimeout(done, pauseMs));
	}
}

/** Arrivals at an engine since its limit had to be kept, and that limit. */
function arrivals(world: FleetWorld, id: string): { times: number[]; limit: number } {
	const { receivedRequests: seen } = engineOf(world, id);
	const first = seen.find(({ notice }) => notice?.limitPerS !== undefined)?.notice;
	assert.ok(first?.limitPerS);
	const from = first.at + propagationMs;
	const times = seen.map(({ at }) => at).filter((at) => at >= from);
	return { times, limit: first.limitPerS };
}

cucumber.Then(
	'engine {string} got no more requests than its limit allows',
	function (this: FleetWorld, id: string) {
		const { times, limit } = arrivals(this, id);
		const allowed = (toleranceFactor * limit * windowMs) / 1000 + toleranceRequests;
		const counts = times.map(
			(from) => times.filter((at) => at >= from && at < from + windowMs).length,
		);
		assert.ok(
			Math.max(0, ...counts) <= allowed,
			`${Math.max(...counts)} in 4 s, allowed ${allowed}`,
		);
	},
);

cucumber.Then(
	'engine {string} got at least {float} of its limit',
	function (this: FleetWorld, id: string, share: number) {
		const { times, limit } = arrivals(this, id);
		const all = engineOf(this, id).receivedRequests;
		const from = (all[0]?.at ?? 0) + propagationMs;
		const durationS = ((all.at(-1)?.at ?? 0) - from) / 1000;
		const used = times.length / (limit * durationS);
		assert.ok(used >= share, `used ${used.toFixed(2)} of its limit`);
	},
);

cucumber.Then(
	'engine {string} got more than {int} requests in the last {int} ms',
	function (this: FleetWorld, id: string, min: number, ms: number) {
		const { receivedRequests: seen } = engineOf(this, id);
		const from = (seen.at(-1)?.at ?? 0) - ms;
		const count = seen.filter(({ at }) => at > from).length;
		assert.ok(count > min, `${count} requests`);
	},
);

cucumber.Then('all answers were 200', function (this: FleetWorld) {
	const unexpected = timedAnswers(this).filter(({ answer }) => answer.status !== 200);
	assert.equal(unexpected.length, 0);
});

cucumber.Then('all answers were 200 or 503', function (this: FleetWorld) {
	const unexpected = timedAnswers(this).filter(({ answer }) => ![200, 503].includes(answer.status));
	assert.equal(unexpected.length, 0);
});

cucumber.Then(
	'each refusal came within {int} ms and named a retry time',
	function (this: FleetWorld, ms: number) {
		const refusals = timedAnswers(this).filter(({ answer }) => answer.status === 503);
		assert.ok(refusals.length > 0);
		for (const { answer, tookMs } of refusals) {
			assert.ok(Number(answer.headers['retry-after']) > 0);
			assert.ok(tookMs < ms, `${tookMs} ms`);
		}
	},
);

/** Time of the refusals in the scenario about retry times, in monotonic milliseconds. */
const refusedAt = 10_000;

cucumber.Given(
	'{int} requests were admitted in the last {int} seconds',
	function (this: FleetWorld, count: number, seconds: number) {
		const schedule = new RetrySchedule();
		for (let at = count; at > 0; at--) {
			schedule.recordAdmission(refusedAt - ((at - 0.5) * seconds * 1000) / count);
		}
		this.state.set('schedule', schedule);
	},
);

cucumber.When(
	'{int} callers are refused, and the first engine accepts permit requests in {int} ms',
	function (this: FleetWorld, count: number, openMs: number) {
		const schedule = this.state.get('schedule') as RetrySchedule;
		const times = Array.from({ length: count }, () =>
			schedule.assignRetryAfterS(refusedAt, openMs),
		);
		this.state.set('times', times);
	},
);

cucumber.Then(
	'they are told to retry after {float} to {float} seconds, half a second apart',
	function (this: FleetWorld, min: number, max: number) {
		const times = this.state.get('times') as number[];
		assert.equal(times[0], min);
		assert.ok((times.at(-1) ?? 0) <= max);
		for (const [index, time] of times.slice(1).entries()) {
			assert.ok(Math.abs(time - (times[index] as number) - 0.5) < 0.11);
		}
	},
);

cucumber.Then(
	'a caller that is refused after many others is told to retry within {int} seconds',
	function (this: FleetWorld, seconds: number) {
		const schedule = this.state.get('schedule') as RetrySchedule;
		const times = Array.from({ length: 100 }, () => schedule.assignRetryAfterS(refusedAt, 300));
		assert.ok(Math.max(...times) <= seconds);
	},
);

/** Headers of an answer without a limit, as the engine sends them. */
const headersOf: Readonly<Record<string, readonly string[]>> = {
	signed: ['slategauge-attempt-id', 'r', 'slategauge-response-signature', 's'],
	unsigned: ['slategauge-attempt-id', 'r'],
	'as not run': ['slategauge-attempt-id', 'r', 'slategauge-not-executed', '1'],
	'as another engine': ['slategauge-instance-id', 'b'],
	'for another request': ['slategauge-attempt-id', 'q', 'slategauge-response-signature', 's'],
	'sent before the limit': ['slategauge-attempt-id', 'r', 'slategauge-response-signature', 's'],
};

cucumber.Given(
	'a VM that knows a limit of {int} for an engine',
	function (this: FleetWorld, limitPerS: number) {
		const clock = clockOf(this);
		const ledger = new LimitLedger({ clock, onChanged() {}, onLimitChanged() {} });
		ledger.recordLimit(1, limitPerS);
		this.state.set('ledger', ledger);
	},
);

cucumber.When(
	/^that engine answers a later request with (\d+), (.+), without a limit$/,
	function (this: FleetWorld, status: string, mark: string) {
		const ledger = this.state.get('ledger') as LimitLedger;
		const clock = clockOf(this);
		const sentAt = clock.now + (mark === 'sent before the limit' ? -1 : 1);
		const attempt = { engine: { ref: 1, notices: new EngineNotices() }, sentAt };
		const head = platform.decodeAnswer(Number(status), [...(headersOf[mark] ?? [])]);
		const ctx = { clock, limits: { ledger } } as unknown as RelayContext;
		const outcome = { log() {} } as unknown as RequestOutcome;
		applyEngineNotice(ctx, outcome, attempt as unknown as Attempt, head, 'r');
	},
);

cucumber.Then(/^the limit is (ended|active)$/, function (this: FleetWorld, state: string) {
	const ledger = this.state.get('ledger') as LimitLedger;
	assert.equal(ledger.getLimitPerS(1), state === 'ended' ? undefined : 3);
});

interface LatePermit {
	placement: RequestPlacement;
	/** Grants the second permit request, unless it was cancelled. */
	grant: () => void;
	sent: string[];
}

cucumber.Given(
	'a request that was denied one permit and waits for another',
	function (this: FleetWorld) {
		const engines = ['a', 'b'].map((id) => new Engine(entry(id)));
		const requested: string[] = [];
		let grant = () => {};
		const permits = {
			getRetryDelayMs: () => 0,
			request(
				ref: number,
				_urgency: number,
				_waitMs: number,
				done: (result: PermitResult) => void,
			) {
				const engine = engines.find((one) => one.ref === ref) as Engine;
				requested.push(engine.id);
				let isWanted = true;
				if (engine.id === 'a') {
					done({ isGranted: false, retryAfterMs: 100 });
				} else {
					grant = () => (isWanted ? done({ isGranted: true, retryAfterMs: 0 }) : undefined);
				}
				return {
					cancel() {
						isWanted = false;
					},
				};
			},
		};
		const choose = () => ({ engine: engines[requested.length] });
		const ctx = {
			clock: clockOf(this),
			engines: { getEligible: () => engines },
			placement: { choose },
			fleetHealth: alwaysHealthy,
			links: soundLinks,
			limits: {
				ledger: { getLimitPerS: () => 3 },
				permits,
				getRetrySchedule: () => new RetrySchedule(),
			},
			metrics: { recordPermitDenied() {} },
		} as unknown as RelayContext;
		const sent: string[] = [];
		const placement = new RequestPlacement({
			ctx,
			routed: { req: {}, route: route({}), service: 'pool', urgency: 0 } as never,
			outcome: { log() {} } as unknown as RequestOutcome,
			isRefusalFinal: () => true,
			onPlaced: ({ engine }) => sent.push(engine.id),
			onRefused() {},
			guard: (action) => action(),
		});
		placement.placeNext();
		assert.deepEqual(requested, ['a', 'b']);
		this.state.set('late permit', { placement, grant: () => grant(), sent });
	},
);

cucumber.When('the request ends before the permit is granted', function (this: FleetWorld) {
	const { placement, grant } = this.state.get('late permit') as LatePermit;
	placement.cancel();
	grant();
});

cucumber.Then('the request is sent to no engine', function (this: FleetWorld) {
	assert.deepEqual((this.state.get('late permit') as LatePermit).sent, []);
});
