/**
 * Steps about engine orders, with simulated engines that boot, drain and are lost.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { EngineOrder } from '../../src/core/duties/definitions.js';
import type { DutyHolder } from '../../src/core/duties/duty-holder.js';
import { EngineAutoscaler } from '../../src/core/duties/engine-autoscaler.js';
import type { EngineRegistration } from '../../src/core/engines/types.js';
import type { ScalingLimits } from '../../src/core/routing/types.js';
import { entry, seededRandom, seen, silentLog } from './relay-fakes.js';
import { SimulatedApi, SimulatedTime } from './simulated-platform.js';
import type { FleetWorld } from './world.js';

const stepMs = 50;
/** Time until a draining engine is gone. */
const drainMs = 3000;

interface SimulatedEngine extends EngineRegistration {
	servesAt: number;
	goneAt: number;
}

class SimulatedEngines {
	readonly time = new SimulatedTime();
	readonly api = new SimulatedApi(this.time, seededRandom(2));
	readonly autoscaler: EngineAutoscaler;
	/** Minimum number of serving engines so far. */
	minServing = Number.POSITIVE_INFINITY;
	demand = 0;
	isFleetKnown = true;
	private engines: SimulatedEngine[] = [];
	/** Engines that announce a rate limit. */
	rateLimited = 0;
	private executedCalls = 0;
	private nextId = 1;
	private raised = 0;

	constructor(
		each: number,
		domains: readonly string[],
		private readonly limits: ScalingLimits,
		callsPerSecond = 50,
	) {
		this.api.callsPerSecond = callsPerSecond;
		for (const domain of domains) {
			for (let count = 0; count < each; count++) {
				this.boot(domain, false, 0);
			}
		}
		const holder = {
			isLeaseValid: true,
			handleRefusal() {},
			recordCallResult: async () => {},
			raiseToken: async () => {
				this.raised++;
				return true;
			},
		};
		const token = () => 1000 + this.raised;
		Object.defineProperty(holder, 'actingToken', { get: token });
		this.autoscaler = new EngineAutoscaler({
			api: this.api.client(),
			holder: holder as unknown as DutyHolder,
			clock: {
				monotonic: () => this.time.now,
				sinceBoot: () => this.time.now,
				wall: () => this.time.now,
			},
			log: silentLog,
			vm: 'vm-1',
			sizing: 'peak',
			callsPerSecond: this.api.callsPerSecond,
			getServices: () => [{ name: 'pool', healthPath: '/', maxConnections: 1, scaling: limits }],
			getEngines: () => this.engines.filter((engine) => this.isRegistered(engine)),
			countRateLimitedEngines: () => this.rateLimited,
			estimateBusyEngines: () => this.demand,
			isUpToDate: () => this.isFleetKnown,
			onOrdered() {},
		});
	}

	async run(ms: number): Promise<void> {
		for (const until = this.time.now + ms; this.time.now < until; ) {
			await this.time.run(stepMs);
			this.executeOrders();
			void this.autoscaler.update();
			this.minServing = Math.min(this.minServing, this.serving().length);
		}
	}

	get tokensRaised(): number {
		return this.raised;
	}

	serving(): SimulatedEngine[] {
		return this.engines.filter((engine) => this.isRegistered(engine) && !engine.draining);
	}

	/** Drains all spot engines of a domain with two seconds' notice. */
	reclaimSpot(domain: string): void {
		this.api.spotUnavailable.add(domain);
		for (const engine of this.engines) {
			if (engine.spot && engine.domain === domain) {
				engine.draining = true;
				engine.goneAt = Math.min(engine.goneAt, this.time.now + 2000);
			}
		}
	}

	crashEvery(nth: number): void {
		for (const [index, engine] of this.serving().entries()) {
			if (index % nth === 0) {
				engine.goneAt = this.time.now;
			}
		}
	}

	private isRegistered({ servesAt, goneAt }: SimulatedEngine): boolean {
		return servesAt <= this.time.now && this.time.now < goneAt;
	}

	private executeOrders(): void {
		for (const { payload, isRefused } of this.api.calls.slice(this.executedCalls)) {
			if ('domain' in payload && !isRefused) {
				this.execute(payload);
			}
		}
		this.executedCalls = this.api.calls.length;
	}

	private execute({ domain, spot, count }: EngineOrder): void {
		const { now } = this.time;
		const here = this.engines.filter((one) => one.domain === domain && now < one.goneAt);
		const ofKind = here.filter((one) => one.spot === spot && !one.draining);
		const others = here.length - ofKind.length;
		const wanted = Math.min(count, this.limits.maxEngines - others);
		for (let missing = wanted - ofKind.length; missing > 0; missing--) {
			this.boot(domain, spot, this.limits.bootMs);
		}
		for (const extra of ofKind.slice(Math.max(0, wanted))) {
			extra.draining = true;
			extra.goneAt = now + drainMs;
		}
	}

	private boot(domain: string, spot: boolean, bootMs: number): void {
		const servesAt = this.time.now + bootMs;
		const goneAt = Number.POSITIVE_INFINITY;
		const id = `engine-${this.nextId++}`;
		this.engines.push({ ...entry(id), domain, spot, servesAt, goneAt });
	}
}

function enginesOf(world: FleetWorld): SimulatedEngines {
	return seen<SimulatedEngines>(world, 'engines');
}

cucumber.Given(
	'{int} engines in each of {int} failure domains, up to {int} each, that boot in {int} s',
	function (this: FleetWorld, each: number, domains: number, max: number, bootS: number) {
		const names = ['a', 'b', 'c', 'd', 'e', 'f'].slice(0, domains);
		const limits = {
			minEngines: 1,
			maxEngines: max,
			bootMs: bootS * 1000,
			spotPrice: 0.22,
			domains: names.map((name, index) => ({ name, price: 0.8 + 0.1 * index })),
		};
		this.state.set('setup', { limits, names });
		this.state.set('engines', new SimulatedEngines(each, names, limits));
	},
);

cucumber.Given(
	'{int}% of orders get no answer and are executed {int} ms late',
	function (this: FleetWorld, share: number, ms: number) {
		enginesOf(this).api.delayed = { share: share / 100, ms };
	},
);

cucumber.Given(
	'the platform accepts {int} calls per second',
	function (this: FleetWorld, calls: number) {
		const { limits, names } = seen<{ limits: ScalingLimits; names: string[] }>(this, 'setup');
		this.state.set('engines', new SimulatedEngines(20, names, limits, calls));
	},
);

cucumber.Then('at most {int} calls were throttled', function (this: FleetWorld, max: number) {
	const { throttledCalls } = enginesOf(this).api;
	assert.ok(throttledCalls <= max, `${throttledCalls} were`);
});

cucumber.Then('the token was never raised', function (this: FleetWorld) {
	assert.equal(enginesOf(this).tokensRaised, 0);
});

cucumber.Given('the holder receives no gossip', function (this: FleetWorld) {
	enginesOf(this).isFleetKnown = false;
});

cucumber.When('{int} engines announce a rate limit', function (this: FleetWorld, count: number) {
	enginesOf(this).rateLimited = count;
});

cucumber.When('no engine announces a rate limit', function (this: FleetWorld) {
	enginesOf(this).rateLimited = 0;
});

cucumber.When(
	/^(\d+) seconds? (?:go|goes) by at a demand of (\d+) engines$/,
	async function (this: FleetWorld, seconds: string, demand: string) {
		const engines = enginesOf(this);
		engines.demand = Number(demand);
		await engines.run(Number(seconds) * 1000);
	},
);

cucumber.When(
	'domain {string} loses all spot engines and has no new ones',
	function (this: FleetWorld, domain: string) {
		enginesOf(this).reclaimSpot(domain);
	},
);

cucumber.When(
	'every domain loses all spot engines and has no new ones',
	function (this: FleetWorld) {
		for (const domain of ['a', 'b', 'c', 'd']) {
			enginesOf(this).reclaimSpot(domain);
		}
	},
);

cucumber.When(
	/^spot engines are available again (?:in domain "(\w)"|everywhere)$/,
	function (this: FleetWorld, domain: string | null) {
		const { spotUnavailable } = enginesOf(this).api;
		if (domain) {
			spotUnavailable.delete(domain);
		} else {
			spotUnavailable.clear();
		}
	},
);

cucumber.When('every fourth engine crashes', function (this: FleetWorld) {
	enginesOf(this).crashEvery(4);
});

cucumber.Then(
	'at least {int} engines served all the time',
	function (this: FleetWorld, min: number) {
		assert.ok(enginesOf(this).minServing >= min, `${enginesOf(this).minServing} at some time`);
	},
);

cucumber.Then('at least {int} engines serve', function (this: FleetWorld, min: number) {
	const { length } = enginesOf(this).serving();
	assert.ok(length >= min, `${length} serve`);
});

cucumber.Then(
	'{int} to {int} engines serve',
	function (this: FleetWorld, min: number, max: number) {
		const { length } = enginesOf(this).serving();
		assert.ok(length >= min && length <= max, `${length} serve`);
	},
);

cucumber.Then('at most {int} regular engines serve', function (this: FleetWorld, max: number) {
	const { length } = enginesOf(this)
		.serving()
		.filter(({ spot }) => !spot);
	assert.ok(length <= max, `${length} serve`);
});

cucumber.Then('no regular engine serves', function (this: FleetWorld) {
	const left = enginesOf(this)
		.serving()
		.filter(({ spot }) => !spot);
	assert.equal(left.length, 0);
});

cucumber.Then('engines of all domains serve', function (this: FleetWorld) {
	const domains = new Set(
		enginesOf(this)
			.serving()
			.map(({ domain }) => domain),
	);
	assert.equal(domains.size, 4);
});

/** Latest accepted order of each domain and kind. */
function acceptedOrders(engines: SimulatedEngines): EngineOrder[] {
	const newest = new Map<string, EngineOrder>();
	for (const { payload, isRefused } of engines.api.calls) {
		if ('domain' in payload && !isRefused) {
			newest.set(`${payload.domain} ${payload.spot}`, payload);
		}
	}
	return [...newest.values()];
}

cucumber.Then(
	'engines for a demand of {int} are ordered',
	function (this: FleetWorld, demand: number) {
		const sum = acceptedOrders(enginesOf(this)).reduce((all, { count }) => all + count, 0);
		assert.ok(sum >= demand * 2, `${sum} are ordered`);
	},
);

cucumber.Then('no engine was ordered', function (this: FleetWorld) {
	assert.equal(enginesOf(this).api.calls.length, 0);
});

cucumber.Then(
	'no accepted order has a lower token than an earlier one',
	function (this: FleetWorld) {
		const highest = new Map<string, number>();
		for (const { caller, payload, isRefused } of enginesOf(this).api.calls) {
			const subject = 'domain' in payload ? payload.domain : '';
			assert.ok(isRefused || caller.token >= (highest.get(subject) ?? 0));
			highest.set(subject, Math.max(caller.token, highest.get(subject) ?? 0));
		}
	},
);
