/**
 * Puts one daemon together and runs it.
 * @module
 */
import type * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import xxhash from 'xxhash-wasm';
import { KvClaimStore } from '../core/claims/claims.js';
import { ConfigurationFollower } from '../core/configuration/follower.js';
import type { VersionedConfiguration } from '../core/configuration/index.js';
import { ConfigurationView } from '../core/configuration/index.js';
import { ConfigurationWriter } from '../core/configuration/writer.js';
import type { Log } from '../core/definitions.js';
import * as errors from '../core/errors/index.js';
import { Router } from '../core/requests/router.js';
import { IndependentPolicy } from '../core/scheduling/independent-policy.js';
import type { Settings } from '../core/settings/index.js';
import { eventKinds, HybridClock, Timeline } from '../core/timeline/index.js';
import { CallersServer } from '../infra/callers/callers-server.js';
import { createControlServer } from '../infra/control/control-server.js';
import { HttpKvStore } from '../infra/http-kv-store.js';
import { StatsdMetrics } from '../infra/statsd-metrics.js';
import { SystemClock } from '../infra/system-clock.js';
import { SystemRandom } from '../infra/system-random.js';
import { UndiciEndpointClient } from '../infra/undici-endpoint-client.js';
import { DaemonControl } from './daemon-control.js';
import { LoadPoller } from './load-poller.js';

/** Time between two looks for requests to give up, in milliseconds. */
const sweepMs = 50;
/** Time between two looks whether a planned stop is done, in milliseconds. */
const stopPollMs = 50;

export class Daemon {
	readonly clock = new SystemClock();
	readonly random = new SystemRandom();
	readonly timeline: Timeline;
	readonly router: Router;
	readonly follower: ConfigurationFollower;
	readonly writer: ConfigurationWriter;
	readonly kv: HttpKvStore;
	private readonly metrics: StatsdMetrics;
	private readonly endpoints = new UndiciEndpointClient();
	private readonly independent = new IndependentPolicy();
	private readonly loads: LoadPoller;
	private view?: ConfigurationView;
	private callers?: CallersServer;
	private control?: http.Server;
	private stopping = false;
	private readonly timers: NodeJS.Timeout[] = [];

	constructor(
		readonly settings: Settings,
		readonly log: Log,
	) {
		const hybrid = new HybridClock(this.clock);
		this.timeline = new Timeline({ vm: settings.vm.id, clock: hybrid });
		this.metrics = this.makeMetrics();
		this.kv = new HttpKvStore({
			url: settings.platform.kv,
			timeoutMs: settings.platform.timeout_ms,
		});
		this.router = this.makeRouter();
		this.follower = this.makeFollower();
		this.writer = new ConfigurationWriter({ ...this, sleep });
		this.loads = new LoadPoller({
			endpoints: this.endpoints,
			random: this.random,
			report: (endpoint, report) => this.independent.reportLoad(endpoint, report),
		});
	}

	get configuration(): ConfigurationView | undefined {
		return this.view;
	}

	/** Why no new requests are taken. */
	refusal(): errors.ErrorData | undefined {
		if (this.stopping) {
			return errors.data.Stopping;
		}
		return this.view ? undefined : errors.data.NotReady;
	}

	async start(): Promise<void> {
		const { h32 } = await xxhash();
		const { vm, listen: ports, limits } = this.settings;
		this.callers = new CallersServer({
			router: this.router,
			clock: this.clock,
			random: this.random,
			log: this.log,
			limits,
			configuration: () => this.view,
			refuses: () => this.refusal(),
			hashPrefix: (text) => h32(text),
		});
		this.control = createControlServer(new DaemonControl(this));
		const callersPort = await listenOn(this.callers.server, vm.address, ports.callers_port);
		const controlPort = await listenOn(this.control, vm.address, ports.control_port);
		this.timers.push(setInterval(() => this.router.sweep(), sweepMs));
		void this.follower.follow();
		this.log.info('daemon.listening', { callers_port: callersPort, control_port: controlPort });
	}

	/** Planned stop: no new requests, the held ones finish. */
	async stop(): Promise<void> {
		if (this.stopping) {
			return;
		}
		this.stopping = true;
		this.timeline.record(eventKinds.stopping, { value: this.router.size });
		this.log.info('daemon.stopping', { requests: this.router.size });
		const latest = this.clock.monotonic() + this.settings.limits.stop_ms;
		while (this.router.size > 0 && this.clock.monotonic() < latest) {
			await sleep(stopPollMs);
		}
		this.sayWhatIsCut();
		await this.close();
	}

	/** Names the requests that an end now would cut off. */
	sayWhatIsCut(): void {
		for (const run of this.router.all()) {
			this.log.warn('daemon.cuts', { request: run.req.id, class: run.req.cls.name });
		}
	}

	private async close(): Promise<void> {
		for (const timer of this.timers) {
			clearInterval(timer);
		}
		this.follower.stop();
		this.loads.stop();
		this.callers?.server.close();
		this.callers?.server.closeAllConnections();
		this.control?.close();
		this.control?.closeAllConnections();
		await this.endpoints.close();
		await this.kv.close();
		this.metrics.close();
		this.log.info('daemon.stopped', {});
	}

	private apply(versioned: VersionedConfiguration): void {
		this.view = new ConfigurationView(versioned);
		this.router.configure(this.view, this.independent);
		this.loads.follow(this.view.document.endpoints);
		this.timeline.record(eventKinds.configurationApplied, { value: versioned.version });
		this.log.info('configuration.applied', { version: versioned.version, by: versioned.by });
	}

	private makeMetrics(): StatsdMetrics {
		const { vm, metrics } = this.settings;
		return new StatsdMetrics({
			host: metrics.statsd_host,
			port: metrics.statsd_port,
			vm: vm.id,
			domain: vm.failure_domain,
		});
	}

	private makeRouter(): Router {
		const { limits, vm } = this.settings;
		return new Router({
			vm: vm.id,
			clock: this.clock,
			endpoints: this.endpoints,
			claims: new KvClaimStore(this.kv),
			metrics: this.metrics,
			timeline: this.timeline,
			limits: { requests: limits.queue_requests, bytes: limits.queue_bytes },
			stallMs: limits.stall_ms,
			soon: (callback) => void setImmediate(callback),
		});
	}

	private makeFollower(): ConfigurationFollower {
		return new ConfigurationFollower({
			kv: this.kv,
			clock: this.clock,
			random: this.random,
			log: this.log,
			apply: (versioned) => this.apply(versioned),
			isWatcher: () => true,
			sleep,
		});
	}
}

function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}

async function listenOn(server: http.Server, address: string, port: number): Promise<number> {
	await new Promise<void>((done, failed) => {
		server.once('error', failed);
		server.listen(port, address, done);
	});
	return (server.address() as AddressInfo).port;
}
