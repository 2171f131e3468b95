/**
 * Steps about orders of engines: a supply that boots, drains and takes away engines, and the orders that it gets.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { EngineOrder } from '../../src/core/duties/definitions.js';
import type { DutyHolder } from '../../src/core/duties/duty-holder.js';
import { EngineAutoscaler } from '../../src/core/duties/engine-autoscaler.js';
import type { EngineEntry } from '../../src/core/engines/types.js';
import type { ScalingLimits } from '../../src/core/routing/types.js';
import { entry, seen, sequence, silentLog } from './relay-fakes.js';
import { SimulatedApi, SimulatedTime } from './simulated-platform.js';
import type { FleetWorld } from './world.js';

const lookMs = 50;
/** An engine that leaves is gone after this time. */
const drainMs = 3000;

interface SuppliedEngine extends EngineEntry {
	servesAt: number;
	goneAt: number;
}

class SimulatedSupply {
	readonly time = new SimulatedTime();
	readonly api = new SimulatedApi(this.time, sequence(2));
	readonly orders: EngineAutoscaler;
	/** Fewest engines that served at any time. */
	fewest = Number.POSITIVE_INFINITY;
	demand = 0;
	hearsFleet = true;
	private engines: SuppliedEngine[] = [];
	/** Engines that name a limit. */
	limited = 0;
	private carriedOut = 0;
	private nextId = 1;
	private raised = 0;

	constructor(
		each: number,
		domains: readonly string[],
		private readonly supply: ScalingLimits,
		callsPerSecond = 50,
	) {
		this.api.callsPerSecond = callsPerSecond;
		for (const domain of domains) {
			for (let at = 0; at < each; at++) {
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
		this.orders = new EngineAutoscaler({
			api: this.api.seenBy(),
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
			services: () => [{ name: 'pool', healthPath: '/', maxConnections: 1, scaling: supply }],
			engines: () => this.engines.filter((engine) => this.isRegistered(engine)),
			rateLimitedEngines: () => this.limited,
			busyEngines: () => this.demand,
			isUpToDate: () => this.hearsFleet,
			onOrdered() {},
		});
	}

	async run(ms: number): Promise<void> {
		for (const until = this.time.now + ms; this.time.now < until; ) {
			await this.time.run(lookMs);
			this.carryOutOrders();
			void this.orders.update();
			this.fewest = Math.min(this.fewest, this.serving().length);
		}
	}

	/** Times that the holder took a higher token. */
	get tokensRaised(): number {
		return this.raised;
	}

	serving(): SuppliedEngine[] {
		return this.engines.filter((engine) => this.isRegistered(engine) && !engine.draining);
	}

	/** All engines of a domain that may be taken away leave with two seconds' notice. */
	takeAway(domain: string): void {
		this.api.dry.add(domain);
		for (const engine of this.engines) {
			if (engine.spot && engine.domain === domain) {
				engine.draining = true;
				engine.goneAt = Math.min(engine.goneAt, this.time.now + 2000);
			}
		}
	}

	crashEvery(nth: number): void {
		for (const [at, engine] of this.serving().entries()) {
			if (at % nth === 0) {
				engine.goneAt = this.time.now;
			}
		}
	}

	private isRegistered({ servesAt, goneAt }: SuppliedEngine): boolean {
		return servesAt <= this.time.now && this.time.now < goneAt;
	}

	private carryOutOrders(): void {
		for (const { what, isRefused } of this.api.calls.slice(this.carriedOut)) {
			if ('domain' in what && !isRefused) {
				this.carryOut(what);
			}
		}
		this.carriedOut = this.api.calls.length;
	}

	private carryOut({ domain, spot, count }: EngineOrder): void {
		const { now } = this.time;
		const here = this.engines.filter((one) => one.domain === domain && now < one.goneAt);
		const ofKind = here.filter((one) => one.spot === spot && !one.draining);
		const others = here.length - ofKind.length;
		const wanted = Math.min(count, this.supply.maxEngines - others);
		for (let missing = wanted - ofKind.length; missing > 0; missing--) {
			this.boot(domain, spot, this.supply.bootMs);
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

function supplyOf(world: FleetWorld): SimulatedSupply {
	return seen<SimulatedSupply>(world, 'supply');
}

cucumber.Given(
	'{int} engines in each of {int} failure domains, up to {int} each, that boot in {int} s',
	function (this: FleetWorld, each: number, domains: number, most: number, bootS: number) {
		const names = ['a', 'b', 'c', 'd', 'e', 'f'].slice(0, domains);
		const supply = {
			minEngines: 1,
			maxEngines: most,
			bootMs: bootS * 1000,
			spotPrice: 0.22,
			domains: names.map((name, at) => ({ name, price: 0.8 + 0.1 * at })),
		};
		this.seen.set('made of', { supply, names });
		this.seen.set('supply', new SimulatedSupply(each, names, supply));
	},
);

cucumber.Given(
	'{int} of 100 orders get no answer and are carried out {int} ms late',
	function (this: FleetWorld, share: number, ms: number) {
		supplyOf(this).api.late = { share: share / 100, ms };
	},
);

cucumber.Given(
	'the platform takes {int} calls a second',
	function (this: FleetWorld, calls: number) {
		const { supply, names } = seen<{ supply: ScalingLimits; names: string[] }>(this, 'made of');
		this.seen.set('supply', new SimulatedSupply(20, names, supply, calls));
	},
);

cucumber.Then('at most {int} calls were turned down', function (this: FleetWorld, most: number) {
	const { turnedDown } = supplyOf(this).api;
	assert.ok(turnedDown <= most, `${turnedDown} were`);
});

cucumber.Then('the token was never raised', function (this: FleetWorld) {
	assert.equal(supplyOf(this).tokensRaised, 0);
});

cucumber.Given('the holder does not hear the fleet', function (this: FleetWorld) {
	supplyOf(this).hearsFleet = false;
});

cucumber.When('{int} engines name a limit', function (this: FleetWorld, count: number) {
	supplyOf(this).limited = count;
});

cucumber.When('no engine names a limit', function (this: FleetWorld) {
	supplyOf(this).limited = 0;
});

cucumber.When(
	/^(\d+) seconds? (?:go|goes) by at a demand of (\d+) engines$/,
	async function (this: FleetWorld, seconds: string, demand: string) {
		const supply = supplyOf(this);
		supply.demand = Number(demand);
		await supply.run(Number(seconds) * 1000);
	},
);

cucumber.When(
	'all that may be taken away leave domain {string}, and there are none to be had there',
	function (this: FleetWorld, domain: string) {
		supplyOf(this).takeAway(domain);
	},
);

cucumber.When(
	'all that may be taken away leave every domain, and there are none to be had',
	function (this: FleetWorld) {
		for (const domain of ['a', 'b', 'c', 'd']) {
			supplyOf(this).takeAway(domain);
		}
	},
);

cucumber.When(
	/^there are engines to be had again (?:in domain "(\w)"|everywhere)$/,
	function (this: FleetWorld, domain: string | null) {
		const { dry } = supplyOf(this).api;
		if (domain) {
			dry.delete(domain);
		} else {
			dry.clear();
		}
	},
);

cucumber.When('every fourth engine crashes for good', function (this: FleetWorld) {
	supplyOf(this).crashEvery(4);
});

cucumber.Then(
	'at least {int} engines served all the time',
	function (this: FleetWorld, least: number) {
		assert.ok(supplyOf(this).fewest >= least, `${supplyOf(this).fewest} at some time`);
	},
);

cucumber.Then('at least {int} engines serve', function (this: FleetWorld, least: number) {
	const { length } = supplyOf(this).serving();
	assert.ok(length >= least, `${length} serve`);
});

cucumber.Then(
	'{int} to {int} engines serve',
	function (this: FleetWorld, least: number, most: number) {
		const { length } = supplyOf(this).serving();
		assert.ok(length >= least && length <= most, `${length} serve`);
	},
);

cucumber.Then('at most {int} of the others serve', function (this: FleetWorld, most: number) {
	const { length } = supplyOf(this)
		.serving()
		.filter(({ spot }) => !spot);
	assert.ok(length <= most, `${length} serve`);
});

cucumber.Then('none of the others is left', function (this: FleetWorld) {
	const left = supplyOf(this)
		.serving()
		.filter(({ spot }) => !spot);
	assert.equal(left.length, 0);
});

cucumber.Then('engines of all domains serve', function (this: FleetWorld) {
	const domains = new Set(
		supplyOf(this)
			.serving()
			.map(({ domain }) => domain),
	);
	assert.equal(domains.size, 4);
});

/** The newest order that was taken of each domain and kind. */
function ordersTaken(supply: SimulatedSupply): EngineOrder[] {
	const newest = new Map<string, EngineOrder>();
	for (const { what, isRefused } of supply.api.calls) {
		if ('domain' in what && !isRefused) {
			newest.set(`${what.domain} ${what.spot}`, what);
		}
	}
	return [...newest.values()];
}

cucumber.Then(
	'engines for a demand of {int} are ordered',
	function (this: FleetWorld, demand: number) {
		const sum = ordersTaken(supplyOf(this)).reduce((all, { count }) => all + count, 0);
		assert.ok(sum >= demand * 2, `${sum} are ordered`);
	},
);

cucumber.Then('no engine was ordered', function (this: FleetWorld) {
	assert.equal(supplyOf(this).api.calls.length, 0);
});

cucumber.Then(
	'no engine was ordered under a lower token than one before',
	function (this: FleetWorld) {
		const highest = new Map<string, number>();
		for (const { caller, what, isRefused } of supplyOf(this).api.calls) {
			const subject = 'domain' in what ? what.domain : '';
			assert.ok(isRefused || caller.token >= (highest.get(subject) ?? 0));
			highest.set(subject, Math.max(caller.token, highest.get(subject) ?? 0));
		}
	},
);
