/**
 * Steps for configuration changes by operators: conflicts, drains and limits.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { Configuration } from '../../src/core/configuration/index.js';
import type { EngineStats } from '../stand-ins/engine.js';
import type { FleetWorld } from './world.js';

function withChatDeadline(world: FleetWorld, deadlineMs: number): Configuration {
	const { configuration: cfg } = world;
	assert.ok(cfg);
	const classes = cfg.classes.map((cls) =>
		cls.name === 'chat' ? { ...cls, deadline_ms: deadlineMs } : cls,
	);
	return { ...cfg, classes };
}

cucumber.When(
	'two operators change the deadline of chat at once through different daemons',
	async function (this: FleetWorld) {
		const change = (index: number, by: string, deadlineMs: number) =>
			this.runningFleet.createControlClient(index).applyConfiguration.mutate({
				document: withChatDeadline(this, deadlineMs),
				base: 1,
				by,
			});
		const pending = [change(0, 'ann', 31_000), change(1, 'bob', 32_000)];
		this.state.set('changes', await Promise.allSettled(pending));
	},
);

cucumber.Then(
	'one change is accepted and the other is rejected with the author and changes of the accepted version',
	function (this: FleetWorld) {
		const changes = this.state.get('changes') as PromiseSettledResult<{ by: string }>[];
		const accepted = changes.find((change) => change.status === 'fulfilled');
		const rejected = changes.find((change) => change.status === 'rejected');
		assert.ok(accepted && rejected, 'expected one accepted and one rejected change');
		const message = String((rejected.reason as Error).message);
		assert.match(message, new RegExp(`Version 2 by ${accepted.value.by} was accepted first`));
		assert.match(message, /classes\.chat\.deadline_ms/);
	},
);

cucumber.When('an operator changes the deadline of chat', async function (this: FleetWorld) {
	const accepted = await this.runningFleet.createControlClient(0).applyConfiguration.mutate({
		document: withChatDeadline(this, 33_000),
		base: 1,
		by: 'ann',
	});
	this.state.set('accepted', accepted.version);
});

cucumber.Then(
	'the change is accepted as version {int}',
	function (this: FleetWorld, version: number) {
		assert.equal(this.state.get('accepted'), version);
	},
);

cucumber.Then(
	'every daemon has version {int} in force',
	async function (this: FleetWorld, version: number) {
		await this.runningFleet.waitForStatus((status) => status.configuration_version === version);
	},
);

cucumber.When(
	'the operator drains engine {int}',
	async function (this: FleetWorld, engine: number) {
		const { configuration: cfg } = this;
		assert.ok(cfg);
		const name = this.runningFleet.engines[engine - 1]?.name;
		const endpoints = cfg.endpoints.map((endpoint) =>
			endpoint.name === name ? { ...endpoint, state: 'drained' as const } : endpoint,
		);
		await this.runningFleet.applyConfiguration({ ...cfg, endpoints });
	},
);

cucumber.When(
	'an operator limits engine {int} to {int} slots',
	async function (this: FleetWorld, engine: number, slots: number) {
		const { configuration: cfg } = this;
		assert.ok(cfg);
		const name = this.runningFleet.engines[engine - 1]?.name;
		const endpoints = cfg.endpoints.map((endpoint) =>
			endpoint.name === name ? { ...endpoint, slots, max_slots: slots } : endpoint,
		);
		await this.runningFleet.applyConfiguration({ ...cfg, endpoints });
	},
);

cucumber.Then(
	'engine {int} never ran more than {int} requests at once',
	async function (this: FleetWorld, engine: number, maxRequests: number) {
		const stats = await this.runningFleet.fetchStats<EngineStats>(
			this.runningFleet.engines[engine - 1],
		);
		assert.ok(stats.peakBatch <= maxRequests, String(stats.peakBatch));
	},
);
