/**
 * Steps for decisions about forwarding, without a network: detecting lost links, choosing helpers, admission.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { Engine } from '../../src/core/engines/engine.js';
import { LinkMonitor } from '../../src/core/forwarding/link-monitor.js';
import { entry, ManualClock, seededRandom, seen, silentLog } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

const tickMs = 100;
const stepMs = 10;
const connectMs = 4;
const connectTimeoutMs = 400;
/** Interval between the bytes of an engine with requests in flight. */
const activityIntervalMs = 50;

/** Outcome of a connection, after its delay. */
interface ConnectResult {
	isOpen: boolean;
	delayMs: number;
}

/** A VM with requests in flight at all engines, and simulated time. */
class SimulatedLinks {
	readonly clock = new ManualClock();
	readonly engines: Engine[];
	readonly monitor: LinkMonitor;
	/** Engines whose links are cut, by id. */
	readonly cut = new Set<string>();
	/** Engines that send nothing, by id. */
	readonly silent = new Set<string>();
	cutResult: ConnectResult = { isOpen: false, delayMs: connectTimeoutMs };
	/** Duration of the first connection. */
	firstConnectMs = connectMs;
	probes = 0;
	wasCutOff = false;
	private readonly timers: { at: number; isConnection: boolean; run: () => void }[] = [];

	constructor(first: number, second: number) {
		const create = (service: string, count: number) =>
			Array.from(
				{ length: count },
				(_, index) =>
					new Engine({ ...entry(`${service}-${index}`), service, address: `${service}-${index}` }),
			);
		this.engines = [...create('one', first), ...create('two', second)];
		this.monitor = new LinkMonitor({
			clock: this.clock,
			log: silentLog,
			random: { next: seededRandom(3), hex: () => '' },
			getServices: () => ['one', 'two'],
			getEngines: (service) => this.engines.filter((item) => item.registration.service === service),
			canConnect: (address) => this.connect(address),
			onChecked() {},
			sleep: (ms) => this.wait(ms),
		});
		for (const engine of this.engines) {
			engine.directHealth.recordSent(this.clock.now, 0);
		}
	}

	/** Runs simulated time; resolves once all callbacks of that time have run. */
	async run(ms: number): Promise<void> {
		const end = this.clock.now + ms;
		while (this.clock.now < end) {
			this.clock.now += stepMs;
			this.recordActivity();
			await this.runTimers();
			if (this.clock.now % tickMs === 0) {
				this.monitor.update();
			}
			this.wasCutOff ||= this.monitor.isCutOff('one');
		}
	}

	/** Whether the condition held within a time. */
	async runUntil(condition: () => boolean, ms: number): Promise<boolean> {
		for (let elapsedMs = 0; elapsedMs < ms && !condition(); elapsedMs += stepMs) {
			await this.run(stepMs);
		}
		return condition();
	}

	/** Tries to send a request over a new connection. */
	async sendToCut(): Promise<void> {
		const engine = this.engines.find(({ id }) => this.cut.has(id));
		if (engine) {
			await this.wait(this.cutResult.delayMs);
			this.monitor.recordUnreachable(engine);
		}
	}

	private recordActivity(): void {
		if (this.clock.now % activityIntervalMs !== 0) {
			return;
		}
		for (const engine of this.engines) {
			if (!this.cut.has(engine.id) && !this.silent.has(engine.id)) {
				engine.directHealth.recordActivity(this.clock.now);
			}
		}
	}

	/** The VM does not run for a while; then timers fire before events of the network are read. */
	async stall(ms: number): Promise<void> {
		this.clock.now += ms;
		this.timers.sort((a, b) => Number(a.isConnection) - Number(b.isConnection));
		await this.runTimers();
	}

	private async connect(address: string): Promise<boolean> {
		this.probes++;
		const delayMs = this.probes === 1 ? this.firstConnectMs : connectMs;
		const result = this.cut.has(address) ? this.cutResult : { isOpen: true, delayMs };
		await this.wait(result.delayMs, true);
		return result.isOpen;
	}

	private wait(ms: number, isConnection = false): Promise<void> {
		return new Promise((run) => {
			this.timers.push({ at: this.clock.now + ms, isConnection, run });
		});
	}

	private async runTimers(): Promise<void> {
		const due = this.timers.filter(({ at }) => at <= this.clock.now);
		for (const timer of due) {
			this.timers.splice(this.timers.indexOf(timer), 1);
			timer.run();
		}
		await new Promise((done) => setImmediate(done));
	}
}

function linksOf(world: FleetWorld): SimulatedLinks {
	return seen<SimulatedLinks>(world, 'links');
}

cucumber.Given(
	'{int} engine(s) of a service and {int} of another, with requests in flight at all',
	function (this: FleetWorld, first: number, second: number) {
		this.state.set('links', new SimulatedLinks(first, second));
	},
);

cucumber.When(
	'the links to {int} % of the engines {string}',
	function (this: FleetWorld, percent: number, fail: string) {
		const links = linksOf(this);
		const isRefused = fail === 'refuse';
		links.cutResult = { isOpen: false, delayMs: isRefused ? connectMs : connectTimeoutMs };
		const ofEach = ['one', 'two'].map((service) =>
			links.engines.filter((engine) => engine.registration.service === service),
		);
		for (const engines of ofEach) {
			for (const { id } of engines.slice(0, Math.round((engines.length * percent) / 100))) {
				links.cut.add(id);
			}
		}
		if (isRefused) {
			void links.sendToCut();
		}
	},
);

cucumber.Then(
	/^the VM counts as cut off within (\d+) ms: (yes|no)$/,
	async function (this: FleetWorld, ms: string, expected: string) {
		const links = linksOf(this);
		const isCutOff = await links.runUntil(() => links.monitor.isCutOff('one'), Number(ms));
		assert.equal(isCutOff, expected === 'yes');
	},
);

cucumber.Then('at most {int} connections were tried', function (this: FleetWorld, most: number) {
	const { probes } = linksOf(this);
	assert.ok(probes <= most, String(probes));
});

cucumber.Then(
	'once the links are back, the VM counts as connected within {int} ms',
	async function (this: FleetWorld, ms: number) {
		const links = linksOf(this);
		await links.run(3000);
		links.cut.clear();
		assert.ok(await links.runUntil(() => links.monitor.cutOffServices.length === 0, ms));
	},
);

cucumber.When(
	'{int} of the engines send nothing for {int} ms',
	async function (this: FleetWorld, count: number, ms: number) {
		const links = linksOf(this);
		for (const { id } of links.engines.slice(0, count)) {
			links.silent.add(id);
		}
		await links.run(ms);
		links.silent.clear();
		await links.run(3000);
	},
);

cucumber.When(
	'a connection takes {int} ms, and the VM stalls for {int} ms as it tries further ones',
	async function (this: FleetWorld, connectionMs: number, stallMs: number) {
		const links = linksOf(this);
		for (const { id } of links.engines) {
			links.silent.add(id);
		}
		links.firstConnectMs = connectionMs;
		assert.ok(await links.runUntil(() => links.probes > 2, 1500));
		await links.stall(stallMs);
		links.silent.clear();
		await links.run(3000);
	},
);

cucumber.Then('the VM never counts as cut off', function (this: FleetWorld) {
	assert.equal(linksOf(this).wasCutOff, false);
});
