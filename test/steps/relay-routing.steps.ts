/**
 * Steps about routes, urgency, the retry budget and configurations, without processes.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { EngineDirectory } from '../../src/core/engines/engine-directory.js';
import { RetryBudget } from '../../src/core/relay/retry-budget.js';
import { ConfigurationState } from '../../src/core/routing/configuration-state.js';
import { RouteTable } from '../../src/core/routing/route-table.js';
import * as platform from '../../src/platform/index.js';
import { clockOf, configuration, route, seen, silentLog } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

cucumber.When(/^(\d+) seconds? pass(?:es)?$/, function (this: FleetWorld, seconds: string) {
	clockOf(this).now += Number(seconds) * 1000;
	seen<EngineDirectory | undefined>(this, 'directory')?.sweep();
});

cucumber.Given(
	'routes {string}, {string} and {string}',
	function (this: FleetWorld, a: string, b: string, c: string) {
		const routes = [a, b, c].map((name) => {
			const [host = '', pathPrefix = ''] = name.split(' ');
			return route({ name, host, pathPrefix });
		});
		this.state.set('table', new RouteTable(configuration({ routes })));
	},
);

cucumber.Then(
	'{string} {string} goes to {string}',
	function (this: FleetWorld, host: string, target: string, name: string) {
		assert.equal(seen<RouteTable>(this, 'table').match(host, target)?.name, name);
	},
);

cucumber.Then(
	'{string} {string} goes nowhere',
	function (this: FleetWorld, host: string, target: string) {
		assert.equal(seen<RouteTable>(this, 'table').match(host, target), undefined);
	},
);

cucumber.Given(
	'routes of tiers {int} and {int} and customers of tiers {int} and {int}',
	function (this: FleetWorld, a: number, b: number, c: number, d: number) {
		const routes = [a, b].map((tier) => route({ name: `${tier}`, tier }));
		const customers = [c, d].map((tier) => ({ name: `${tier}`, keys: [], tier }));
		this.state.set('table', new RouteTable(configuration({ routes, customers })));
	},
);

cucumber.Then('urgency orders them {string}', function (this: FleetWorld, expected: string) {
	const table = seen<RouteTable>(this, 'table');
	const { routes, customers } = table.configuration;
	const pairs = routes.flatMap((to) =>
		customers.map((by) => ({
			name: `${to.tier}/${by.tier}`,
			urgency: table.getUrgency(to, by, 10),
		})),
	);
	const ordered = pairs.sort((a, b) => a.urgency - b.urgency).map((pair) => pair.name);
	assert.equal(ordered.join(', '), expected);
	assert.equal(new Set(pairs.map((pair) => pair.urgency)).size, pairs.length);
});

cucumber.Given(
	'a retry budget of {float} and {int} in 10 s shared by {int} VMs',
	function (this: FleetWorld, ratio: number, extra: number, vms: number) {
		const budget = new RetryBudget({ ratio, extra, windowMs: 10_000 }, () => vms);
		this.state.set('budget', budget);
	},
);

cucumber.When('{int} requests come in', function (this: FleetWorld, count: number) {
	for (let index = 0; index < count; index++) {
		seen<RetryBudget>(this, 'budget').recordRequest('pool', clockOf(this).now);
	}
});

cucumber.Then(
	'{int} retries are taken of {int}',
	function (this: FleetWorld, taken: number, tries: number) {
		const budget = seen<RetryBudget>(this, 'budget');
		const results = Array.from({ length: tries }, () =>
			budget.tryConsume('pool', clockOf(this).now),
		);
		assert.equal(results.filter(Boolean).length, taken);
	},
);

cucumber.Given(
	'a configuration of version {int} in force',
	function (this: FleetWorld, version: number) {
		const state = new ConfigurationState({
			log: silentLog,
			key: platform.storeKeys.configuration,
			decode: platform.decodeConfiguration,
			onApplied() {},
		});
		state.applyIfNewer(JSON.stringify({ version, routes: [], services: [] }), 'test');
		this.state.set('state', state);
	},
);

cucumber.When('version {int} is offered', function (this: FleetWorld, version: number) {
	const text = JSON.stringify({ version, routes: [], services: [] });
	seen<ConfigurationState>(this, 'state').applyIfNewer(text, 'test');
});

cucumber.When('a text that is no configuration is offered', function (this: FleetWorld) {
	seen<ConfigurationState>(this, 'state').applyIfNewer('{"version":9,"routes":3}', 'test');
	seen<ConfigurationState>(this, 'state').applyIfNewer('not even JSON', 'test');
});

cucumber.Then('version {int} is in force', function (this: FleetWorld, version: number) {
	assert.equal(seen<ConfigurationState>(this, 'state').version, version);
});
