/**
 * Assembles a daemon from its components, starts and stops it.
 * @module
 */
import type * as http from 'node:http';
import { KvClaimStore } from '../core/claims/claims.js';
import { ConfigurationFollower } from '../core/configuration/follower.js';
import type { Endpoint, VersionedConfiguration } from '../core/configuration/index.js';
import { ConfigurationView, policies } from '../core/configuration/index.js';
import { ConfigurationWriter } from '../core/configuration/writer.js';
import { ConnectionLedger } from '../core/connections/connection-ledger.js';
import {
	deriveLimits,
	derivePeerLimits,
	SocketPool,
} from '../core/connections/connection-limits.js';
import { ReadTurns } from '../core/connections/read-turns.js';
import type { LoadReport, Log } from '../core/definitions.js';
import * as errors from '../core/errors/index.js';
import * as rendezvous from '../core/membership/rendezvous.js';
import { OrderSender } from '../core/orders/order-sender.js';
import { Router } from '../core/requests/router.js';
import { IndependentPolicy } from '../core/scheduling/independent-policy.js';
import type { Settings } from '../core/settings/index.js';
import { eventKinds, HybridClock, Timeline } from '../core/timeline/index.js';
import { CallersServer } from '../infra/callers/callers-server.js';
import { createControlServer } from '../infra/control/control-server.js';
import { HttpKvStore } from '../infra/http-kv-store.js';
import { HttpVmList } from '../infra/http-vm-list.js';
import { HttpWeightStore } from '../infra/http-weight-store.js';
import { UdpTransport } from '../infra/peers/udp-transport.js';
import { StatsdMetrics } from '../infra/statsd-metrics.js';
import { SystemClock } from '../infra/system-clock.js';
import { SystemRandom } from '../infra/system-random.js';
import { UndiciEndpointClient } from '../infra/undici-endpoint-client.js';
import { DaemonControl } from './daemon-control.js';
import { FleetNode } from './fleet-node.js';
import { listenOn, listenOnTcpAndUdp } from './listen.js';
import { LoadPoller } from './load-poller.js';
import { PeerAnswerFetcher } from './peer-answer-fetcher.js';
import { PeerConfigurationFetcher } from './peer-configuration-fetcher.js';

const shedIntervalMs = 50;
/** Daemons per failure domain that watch the key-value service. */
const watchersPerDomain = 2;
const stopPollIntervalMs = 50;

export class Daemon {
	readonly clock = new SystemClock();
	readonly random = new SystemRandom();
	readonly timeline: Timeline;
	readonly router: Router;
	readonly follower: ConfigurationFollower;
	readonly writer: ConfigurationWriter;
	readonly orders: OrderSender;
	readonly kv: HttpKvStore;
	private readonly metrics: StatsdMetrics;
	private readonly endpoints = new UndiciEndpointClient();
	private readonly independentPolicy = new IndependentPolicy();
	private readonly loadPoller: LoadPoller;
	readonly transport: UdpTransport;
	/** Peers whose messages a drill blocks. */
	readonly blockedPeers = new Set<string>();
	private fleetNode?: FleetNode;
	private view?: ConfigurationView;
	private ownedEndpoints: readonly Endpoint[] = [];
	private readonly peerConfiguration: PeerConfigurationFetcher;
	private readonly peerAnswers: PeerAnswerFetcher;
	private callers?: CallersServer;
	private control?: http.Server;
	private isStopping = false;
	/** The platform's VM list marks this VM as leaving. */
	private isListedLeaving = false;
	private readonly timers: NodeJS.Timeout[] = [];

	constructor(
		readonly settings: Settings,
		readonly log: Log,
	) {
		const hybrid = new HybridClock(this.clock);
		this.timeline = new Timeline({ vm: settings.vm.id, clock: hybrid });
		this.transport = this.makeTransport(hybrid);
		this.metrics = this.makeMetrics();
		this.kv = new HttpKvStore({
			url: settings.platform.kv,
			timeoutMs: settings.platform.timeout_ms,
		});
		this.router = this.makeRouter();
		this.follower = this.makeFollower();
		this.writer = new ConfigurationWriter({ ...this, sleep });
		this.orders = new OrderSender({
			kv: this.kv,
			clock: this.clock,
			random: this.random,
			log,
			endpoints: this.endpoints,
			weights: this.makeWeightStore(),
			vm: settings.vm.id,
			sleep,
		});
		this.loadPoller = new LoadPoller({
			endpoints: this.endpoints,
			random: this.random,
			onReport: (endpoint, report) => this.handleLoadReport(endpoint, report),
		});
		this.peerAnswers = new PeerAnswerFetcher({
			token: settings.peers.token,
			log,
			membership: () => this.fleetNode?.membership,
		});
		this.peerConfiguration = new PeerConfigurationFetcher({
			token: settings.peers.token,
			log,
			random: this.random,
			offer: (versioned) => this.follower.applyIfNewer(versioned),
		});
	}

	/** Undefined before the start. */
	get fleet(): FleetNode | undefined {
		return this.fleetNode;
	}

	get configuration(): ConfigurationView | undefined {
		return this.view;
	}

	/** Why new requests are refused; undefined if they are accepted. */
	getRefusal(): errors.ErrorData | undefined {
		if (this.isStopping || this.isListedLeaving) {
			return errors.data.Stopping;
		}
		return this.view ? undefined : errors.data.NotReady;
	}

	async start(): Promise<void> {
		const { vm, listen: ports, limits } = this.settings;
		const machine = { memoryMb: limits.memory_mb, maxDescriptors: limits.max_descriptors };
		const sockets = new SocketPool(machine);
		const turns = new ReadTurns(this.clock, (callback) => void setImmediate(callback));
		const callersLedger = new ConnectionLedger(deriveLimits(machine), sockets);
		const controlLedger = new ConnectionLedger(derivePeerLimits(machine), sockets);
		this.callers = new CallersServer({
			meter: { ledger: callersLedger, turns },
			router: this.router,
			clock: this.clock,
			random: this.random,
			log: this.log,
			limits,
			configuration: () => this.view,
			getRefusal: () => this.getRefusal(),
		});
		this.control = createControlServer({ ledger: controlLedger, turns }, new DaemonControl(this));
		const callersPort = await listenOn(this.callers.server, vm.address, ports.callers_port);
		const controlPort = await listenOnTcpAndUdp(
			this.control,
			this.transport,
			vm.address,
			ports.control_port,
		);
		this.fleetNode = this.makeFleetNode(controlPort);
		this.fleetNode.start();
		this.timers.push(setInterval(() => this.router.shedExpired(), shedIntervalMs));
		void this.follower.follow();
		this.log.info('daemon.listening', { callers_port: callersPort, control_port: controlPort });
	}

	/** Graceful shutdown: refuses new requests and lets the active ones finish. */
	async stop(): Promise<void> {
		if (this.isStopping) {
			return;
		}
		this.isStopping = true;
		this.timeline.record(eventKinds.stopping, { value: this.router.activeCount });
		this.log.info('daemon.stopping', { requests: this.router.activeCount });
		const deadline = this.clock.monotonic() + this.settings.limits.stop_ms;
		while (this.router.activeCount > 0 && this.clock.monotonic() < deadline) {
			await sleep(stopPollIntervalMs);
		}
		this.logAbortedRequests();
		await this.close();
	}

	/** Logs the requests that are still active and would be aborted now. */
	logAbortedRequests(): void {
		for (const active of this.router.getActiveRequests()) {
			this.log.warn('daemon.cuts', { request: active.req.id, class: active.req.cls.name });
		}
	}

	private async close(): Promise<void> {
		this.fleetNode?.stop();
		this.transport.close();
		for (const timer of this.timers) {
			clearInterval(timer);
		}
		this.follower.stop();
		this.loadPoller.stop();
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
		this.fleetNode?.configure(this.view);
		const isGranted = this.view.document.policy.name === policies.granted;
		const policy = isGranted && this.fleetNode ? this.fleetNode.policy : this.independentPolicy;
		this.router.configure(this.view, policy);
		this.updateLoadPolling();
		this.timeline.record(eventKinds.configurationApplied, { value: versioned.version });
		this.log.info('configuration.applied', { version: versioned.version, by: versioned.by });
	}

	/** Polls all endpoints under the independent policy, otherwise only the owned ones. */
	private updateLoadPolling(): void {
		const document = this.view?.document;
		const isIndependent = document?.policy.name === policies.independent;
		this.loadPoller.setEndpoints(isIndependent ? document.endpoints : this.ownedEndpoints);
	}

	private handleLoadReport(endpoint: string, report: LoadReport): void {
		this.independentPolicy.applyLoadReport(endpoint, report);
		const drained = this.view?.findEndpoint(endpoint)?.state !== 'active';
		this.fleetNode?.ownedLedgers.setUnavailable(endpoint, report.isDraining || drained);
	}

	/** A few daemons per failure domain watch; the others learn of changes from their peers. */
	private isWatcher(): boolean {
		const { id, failure_domain } = this.settings.vm;
		const live = this.fleetNode?.membership.getLiveMembers() ?? [];
		const sameDomain = live.filter((member) => member.domain === failure_domain);
		const names = sameDomain.map((member) => member.id);
		const watchers = rendezvous.pickTop('configuration', names, watchersPerDomain);
		return watchers.length === 0 || watchers.includes(id);
	}

	private makeTransport(clock: HybridClock): UdpTransport {
		return new UdpTransport({
			selfId: this.settings.vm.id,
			token: this.settings.peers.token,
			flushIntervalMs: this.settings.peers.tick_ms,
			clock,
			onBatch: (batch) => this.fleetNode?.receive(batch),
			isPeerBlocked: (peer) => this.blockedPeers.has(peer),
		});
	}

	private makeFleetNode(port: number): FleetNode {
		const { vm, peers, platform } = this.settings;
		return new FleetNode({
			self: { id: vm.id, address: vm.address, port, domain: vm.failure_domain },
			probeIntervalMs: peers.probe_ms,
			clock: this.clock,
			random: this.random,
			log: this.log,
			timeline: this.timeline,
			router: this.router,
			vmList: new HttpVmList({
				url: platform.vm_list,
				timeoutMs: platform.timeout_ms,
				log: this.log,
			}),
			transport: this.transport,
			onListedLeaving: (leaving) => {
				this.isListedLeaving = leaving;
			},
			onNewerVersion: (member) => this.peerConfiguration.fetchFrom(member),
			onOwnedChanged: (owned) => {
				this.ownedEndpoints = owned;
				this.updateLoadPolling();
			},
		});
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
			fetchPeerAnswer: (holder) => this.peerAnswers.fetch(holder),
			defer: (callback) => void setImmediate(callback),
			onChange: () => this.fleetNode?.scheduleReport(),
		});
	}

	private makeWeightStore(): HttpWeightStore | undefined {
		const { weights, timeout_ms: timeoutMs } = this.settings.platform;
		return weights === undefined ? undefined : new HttpWeightStore({ url: weights, timeoutMs });
	}

	private makeFollower(): ConfigurationFollower {
		return new ConfigurationFollower({
			kv: this.kv,
			clock: this.clock,
			random: this.random,
			log: this.log,
			apply: (versioned) => this.apply(versioned),
			isWatcher: () => this.isWatcher(),
			sleep,
		});
	}
}

function sleep(ms: number): Promise<void> {
	return new Promise((resolve) => setTimeout(resolve, ms));
}
