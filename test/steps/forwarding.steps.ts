/**
 * Steps for decisions about forwarding, without a network: detecting lost links, choosing helpers, admission.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import { createRng } from '../../bench/random.js';
import { Engine } from '../../src/core/engines/engine.js';
import type { ForwardingAdmissionOptions } from '../../src/core/forwarding/forwarding-admission.js';
import { ForwardingAdmission } from '../../src/core/forwarding/forwarding-admission.js';
import { HelperSelection } from '../../src/core/forwarding/helper-selection.js';
import { LinkMonitor } from '../../src/core/forwarding/link-monitor.js';
import type { ForwardOrder, ForwardRefusal } from '../../src/core/forwarding/types.js';
import { forwardRefusals } from '../../src/core/forwarding/types.js';
import { entry, ManualClock, seededRandom, seen, silentLog } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

const tickMs = 100;
const stepMs = 10;
const connectMs = 4;
const connectTimeoutMs = 400;
/** Interval between the bytes of an engine with requests in flight. */
const activityIntervalMs = 50;

/** Time after which a request to a silent engine is retried. */
const retryMs = 600;

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
	/** Whether engines with requests in flight send something all the time. */
	hasStreams = false;
	private readonly random = createRng(3);
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
	}

	/** Sends a request to each engine. */
	sendToAll(): void {
		for (const engine of this.engines) {
			engine.directHealth.recordSent(this.clock.now, 0);
		}
	}

	/** Sends a request to a random engine, which answers after a time. */
	async request(ms: number): Promise<void> {
		const index = Math.floor(this.random() * this.engines.length);
		const { directHealth } = this.engines[index] as Engine;
		directHealth.recordSent(this.clock.now, 0);
		await this.wait(ms);
		directHealth.recordActivity(this.clock.now);
		directHealth.recordEnd(0);
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

	/** After a while tries to send a request over a new connection. */
	async retryAtCut(afterMs: number): Promise<void> {
		await this.wait(afterMs);
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
			if (this.hasStreams && !this.cut.has(engine.id) && !this.silent.has(engine.id)) {
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
	/^(\d+) engines? of a service and (\d+) of another, with (no requests in flight|requests in flight at all)$/,
	function (this: FleetWorld, first: string, second: string, inFlight: string) {
		const links = new SimulatedLinks(Number(first), Number(second));
		if (inFlight === 'requests in flight at all') {
			links.hasStreams = true;
			links.sendToAll();
		}
		this.state.set('links', links);
	},
);

cucumber.When(
	'a request of {int} ms is sent each {int} ms for {int} s',
	async function (this: FleetWorld, ms: number, intervalMs: number, seconds: number) {
		const links = linksOf(this);
		for (let elapsedMs = 0; elapsedMs < seconds * 1000; elapsedMs += intervalMs) {
			void links.request(ms);
			await links.run(intervalMs);
		}
	},
);

cucumber.When(
	'it is idle for {int} ms, and then has requests in flight at all engines',
	async function (this: FleetWorld, ms: number) {
		const links = linksOf(this);
		await links.run(ms);
		links.hasStreams = true;
		links.sendToAll();
		await links.run(tickMs);
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
		// A request to a silent engine is retried, which opens a connection.
		void links.retryAtCut(isRefused ? 0 : retryMs);
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

/** Duration of a request, and of asking a VM that refuses. */
const requestMs = 600;
const refusalMs = 4;

/** VMs that send requests through others, in simulated time. */
class SimulatedHelpers {
	readonly clock = new ManualClock();
	readonly vms: { name: string; domain: string; isCutOff: boolean; forwarded: number }[];
	requests = 0;
	served = 0;
	asked = 0;
	private readonly random = createRng(5);
	private readonly selections = new Map<string, HelperSelection>();
	private readonly releases: { at: number; run: () => void }[] = [];

	constructor(count: number, cutOff: number, where: string) {
		this.vms = Array.from({ length: count }, (_, index) => ({
			name: `vm-${index}`,
			domain: `d${where === 'spread' ? index % 3 : Math.floor((index * 3) / count)}`,
			isCutOff: index < cutOff,
			forwarded: 0,
		}));
		const registered = this.vms.map(({ name, domain }, index) => ({
			name,
			domain,
			address: { host: name, port: index },
			cores: 0.675,
		}));
		for (const { name, domain } of this.vms.filter(({ isCutOff }) => isCutOff)) {
			const others = registered.filter((vm) => vm.name !== name);
			const random = { next: this.random, hex: () => '' };
			const ports = { clock: this.clock, random, getOthers: () => others, onAddressUnused() {} };
			this.selections.set(name, new HelperSelection({ ...ports, domain }));
		}
	}

	get helpers() {
		return this.vms.filter(({ isCutOff }) => !isCutOff);
	}

	run(ms: number, perS: number): void {
		const end = this.clock.now + ms;
		while (this.clock.now < end) {
			this.clock.now += stepMs;
			this.release();
			for (const selection of this.selections.values()) {
				if (this.random() < (perS * stepMs) / 1000) {
					this.request(selection);
				}
			}
		}
	}

	private request(selection: HelperSelection): void {
		this.requests++;
		for (let call = selection.choose(0); call; call = selection.choose(0)) {
			const { release, recordAnswer, recordRefusal, name } = call;
			this.asked++;
			const vm = this.vms.find((candidate) => candidate.name === name);
			if (vm && !vm.isCutOff) {
				vm.forwarded++;
				this.served++;
				recordAnswer();
				this.releases.push({ at: this.clock.now + requestMs, run: release });
				return;
			}
			recordRefusal(forwardRefusals.cutOff);
			this.releases.push({ at: this.clock.now + refusalMs, run: release });
		}
	}

	private release(): void {
		while (this.releases[0] && this.releases[0].at <= this.clock.now) {
			this.releases.shift()?.run();
		}
	}
}

cucumber.Given(
	/^(\d+) VMs in 3 failure domains, of which (\d+) are cut off, (.*)$/,
	function (this: FleetWorld, count: string, cutOff: string, where: string) {
		this.state.set('helpers', new SimulatedHelpers(Number(count), Number(cutOff), where));
	},
);

cucumber.When(
	'each of these sends {int} requests a second for {int} s through others',
	function (this: FleetWorld, perS: number, seconds: number) {
		seen<SimulatedHelpers>(this, 'helpers').run(seconds * 1000, perS);
	},
);

cucumber.Then(
	'at least {int} % of the requests find a VM that forwards them',
	function (this: FleetWorld, percent: number) {
		const { served, requests } = seen<SimulatedHelpers>(this, 'helpers');
		assert.ok(served * 100 >= requests * percent, `${served} of ${requests}`);
	},
);

cucumber.Then(
	'the mean request asks at most {float} VMs',
	function (this: FleetWorld, most: number) {
		const { asked, requests } = seen<SimulatedHelpers>(this, 'helpers');
		assert.ok(asked <= requests * most, `${asked} for ${requests}`);
	},
);

cucumber.Then(
	'the busiest VM forwards at most {float} times the mean',
	function (this: FleetWorld, most: number) {
		const { helpers, served } = seen<SimulatedHelpers>(this, 'helpers');
		const busiest = Math.max(...helpers.map(({ forwarded }) => forwarded));
		assert.ok(busiest <= (served / helpers.length) * most, `${busiest} of ${served}`);
	},
);

const askedEngine = 'a';
const sender = '10.0.0.9';

cucumber.Given('a VM that is asked to forward requests', function (this: FleetWorld) {
	const options: ForwardingAdmissionOptions = {
		isRegistered: (ip) => ip === sender,
		isStopping: () => false,
		getEngine: (id) => (id === askedEngine ? engine : undefined),
		enginesRevision: () => 10,
		hasLink: () => true,
		loopDelayMs: () => 0,
		sinceBoot: () => 1000,
	};
	const engine = new Engine(entry(askedEngine));
	this.state.set('admission', options);
	this.state.set('engine', engine);
	this.state.set('order', {
		requestId: 'r',
		sender,
		engineId: askedEngine,
		engineAddress: '10.0.0.1:1',
		enginesRevision: 10,
		urgency: 0,
	});
});

function changeAdmission(world: FleetWorld, change: Partial<ForwardingAdmissionOptions>): void {
	Object.assign(seen<ForwardingAdmissionOptions>(world, 'admission'), change);
}

function changeOrder(world: FleetWorld, change: Partial<ForwardOrder>): void {
	Object.assign(seen<ForwardOrder>(world, 'order'), change);
}

cucumber.When('its event loop is {int} ms late', function (this: FleetWorld, ms: number) {
	changeAdmission(this, { loopDelayMs: () => ms });
});

cucumber.When('the sender is not registered', function (this: FleetWorld) {
	changeOrder(this, { sender: '10.0.0.10' });
});

cucumber.When('it stops', function (this: FleetWorld) {
	changeAdmission(this, { isStopping: () => true });
});

cucumber.When('it has lost its own link to the engine', function (this: FleetWorld) {
	changeAdmission(this, { hasLink: () => false });
});

cucumber.When('the engine drains', function (this: FleetWorld) {
	seen<Engine>(this, 'engine').notices.apply({ isDraining: true }, 0);
});

cucumber.When('the engine has left by a list that is not older', function (this: FleetWorld) {
	changeOrder(this, { engineId: 'gone' });
});

cucumber.When('the engine is in a newer list of the sender only', function (this: FleetWorld) {
	changeOrder(this, { engineId: 'new', enginesRevision: 11 });
});

function refusalOf(world: FleetWorld, urgency: number): ForwardRefusal | undefined {
	const admission = new ForwardingAdmission(seen<ForwardingAdmissionOptions>(world, 'admission'));
	return admission.getRefusal({ ...seen<ForwardOrder>(world, 'order'), urgency });
}

cucumber.Then('it refuses as {string}', function (this: FleetWorld, refusal: string) {
	assert.equal(refusalOf(this, 0), refusal);
});

cucumber.Then(
	'it accepts requests of urgency {int} to {int}, and refuses those of {int} to {int} as {string}',
	function (this: FleetWorld, from: number, to: number, first: number, last: number, as: string) {
		for (let urgency = from; urgency <= to; urgency++) {
			assert.equal(refusalOf(this, urgency), undefined, String(urgency));
		}
		for (let urgency = first; urgency <= last; urgency++) {
			assert.equal(refusalOf(this, urgency), as, String(urgency));
		}
	},
);
