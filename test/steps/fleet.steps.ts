/**
 * Steps about the priority order across the fleet, checked by the oracle.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { buildConfiguration, lakeshore } from '../../bench/deployments.js';
import { customerApiKey, stopProcess } from '../../bench/fleet.js';
import { makeTrace } from '../../bench/make-trace.js';
import type { Findings } from '../../bench/oracle.js';
import { checkTimeline } from '../../bench/oracle.js';
import type { ReplayResult } from '../../src/core/replay/types.js';
import type { TimelineEvent } from '../../src/core/timeline/index.js';
import { mergeTimelines } from '../../src/core/timeline/index.js';
import { ReplayClient } from '../../src/infra/replay-client.js';
import { fuzz, fuzzSeed } from '../fuzz/commands.js';
import type { FleetWorld } from './world.js';

const burstMs = 6000;
const faultAtMs = 1500;

cucumber.Given(
	'a fleet of {int} daemons and {int} engines of {int} slots',
	async function (this: FleetWorld, daemons: number, engines: number, slots: number) {
		const settings = () => '[drills]\nenabled = true';
		await this.start(
			daemons,
			Array.from({ length: engines }, () => ({ stepBaseMs: 10 })),
			1,
			{ settings },
		);
		const policy = { name: 'granted', learn_limits: false };
		const cfg = buildConfiguration(lakeshore, this.runningFleet, policy, {
			slots,
			max_slots: slots,
		});
		await this.runningFleet.applyConfiguration(cfg);
		await this.runningFleet.waitForStatus((status) => status.members.length === daemons);
		this.configuration = cfg;
	},
);

async function replayBurst(
	world: FleetWorld,
	fault: () => void | Promise<void>,
	cls = 'archive',
	other = { class: 'rundown', customer: 'newsroom' },
): Promise<void> {
	const span = { fromMs: 0, untilMs: burstMs, stream: true };
	const keys = new Map(lakeshore.customers.map(({ name }) => [name, customerApiKey(name)]));
	const low = makeTrace(
		lakeshore,
		[{ class: cls, customers: ['archive-desk'], requestsPerS: 20, medianTokens: 30, ...span }],
		1,
	);
	const high = makeTrace(
		lakeshore,
		[
			{
				class: other.class,
				customers: [other.customer],
				requestsPerS: 2,
				medianTokens: 20,
				...span,
			},
		],
		2,
	);
	const urls = world.runningFleet.daemonUrls;
	const replay = (trace: typeof low, daemon: number) =>
		new ReplayClient({ daemonUrls: [urls[daemon] ?? ''], keys, timeoutMs: 130_000 }).replay(trace);
	const timer = setTimeout(() => void fault(), faultAtMs);
	const [archive, rundown] = await Promise.all([replay(low, 0), replay(high, 1)]);
	clearTimeout(timer);
	world.state.set('archive', archive);
	world.state.set('rundown', rundown);
}

cucumber.When(
	'archive floods daemon 1 while rundown arrives at daemon 2',
	async function (this: FleetWorld) {
		await replayBurst(this, () => {});
	},
);

cucumber.When(
	'chat floods daemon 1 while rundown arrives at daemon 2',
	async function (this: FleetWorld) {
		await replayBurst(this, () => {}, 'chat');
	},
);

cucumber.When(
	'chat floods daemon 1 while archive arrives at daemon 2',
	async function (this: FleetWorld) {
		const archive = { class: 'archive', customer: 'archive-desk' };
		await replayBurst(this, () => {}, 'chat', archive);
	},
);

cucumber.Then(
	'archive ran in its reserved slots during the burst',
	async function (this: FleetWorld) {
		const events = await eventsOf(this);
		const floors = events.filter((event) => event.cls === 'archive' && event.floor === true);
		assert.ok(floors.length > 0);
	},
);

cucumber.When(
	'archive floods daemon 1 while rundown arrives at daemon 2 and daemon 3 is killed',
	async function (this: FleetWorld) {
		await replayBurst(this, () => stopProcess(this.runningFleet.daemons[2] as never));
	},
);

cucumber.When(
	'archive floods daemon 1 while rundown arrives at daemon 2 and daemon 3 is frozen',
	async function (this: FleetWorld) {
		const child = this.runningFleet.daemons[2]?.child;
		await replayBurst(this, () => void child?.kill('SIGSTOP'));
		child?.kill('SIGCONT');
	},
);

cucumber.Then('every rundown is complete', function (this: FleetWorld) {
	const results = this.state.get('rundown') as ReplayResult[];
	assert.ok(results.length > 0);
	const wrong = results.filter((result) => result.outcome !== 'complete' || result.wrong);
	assert.deepEqual(wrong, []);
});

/** Merged events of the daemons that are still running. */
async function eventsOf(world: FleetWorld): Promise<TimelineEvent[]> {
	const timelines: TimelineEvent[][] = [];
	for (const [index, daemon] of world.runningFleet.daemons.entries()) {
		if (daemon.child.exitCode === null && daemon.child.signalCode === null) {
			const events = await world.runningFleet.createControlClient(index).events.query({ since: 0 });
			timelines.push(events as TimelineEvent[]);
		}
	}
	return mergeTimelines(timelines);
}

async function findingsOf(world: FleetWorld, cls?: string): Promise<Findings> {
	const merged = await eventsOf(world);
	// For a single class, the oracle still needs the starts of the others.
	const events = merged.filter(
		(event) => cls === undefined || event.cls === cls || event.kind === 'request.started',
	);
	const deadlines = new Map(
		(world.configuration?.classes ?? []).map((item) => [item.name, item.deadline_ms]),
	);
	const engines = new Set(world.runningFleet.engines.map((engine) => engine.name));
	return checkTimeline(events, deadlines, engines);
}

cucumber.Then('nothing was shed or preempted for lower work', async function (this: FleetWorld) {
	const findings = await findingsOf(this);
	assert.equal(findings.shedForLower, 0);
	assert.equal(findings.preemptedForLower, 0);
	assert.deepEqual(findings.starvedWindows, []);
});

cucumber.Then('no rundown was overtaken by lower work', async function (this: FleetWorld) {
	const findings = await findingsOf(this, 'rundown');
	assert.equal(findings.overtaken, 0);
});

cucumber.Then('archive made progress during the burst', function (this: FleetWorld) {
	const results = this.state.get('archive') as ReplayResult[];
	assert.ok(results.some((result) => result.outcome === 'complete'));
	assert.deepEqual(
		results.filter((result) => result.wrong),
		[],
	);
});

cucumber.When('the fuzz run tests the independent policy', async function (this: FleetWorld) {
	const run = fuzz(200, fuzzSeed, 'independent');
	this.state.set('finding', await run.then(() => undefined).catch((err: unknown) => err));
});

cucumber.When(
	'the fuzz run tests {int} command sequences',
	async function (this: FleetWorld, runs: number) {
		const run = fuzz(runs, fuzzSeed);
		this.state.set('finding', await run.then(() => undefined).catch((err: unknown) => err));
	},
);

cucumber.Then('the fuzz run reports a violation', function (this: FleetWorld) {
	assert.match(String(this.state.get('finding')), /Property failed/);
});

cucumber.Then('the fuzz run reports no violation', function (this: FleetWorld) {
	assert.equal(this.state.get('finding'), undefined, String(this.state.get('finding')));
});
