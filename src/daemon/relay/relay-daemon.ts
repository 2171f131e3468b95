/**
 * Assembles a relay daemon from its components, and starts and stops it.
 * @module
 */
import type * as http from 'node:http';
import { ConnectionLedger } from '../../core/connections/connection-ledger.js';
import type { ConnectionLimits } from '../../core/connections/connection-limits.js';
import {
	deriveAuxiliaryLimits,
	deriveLimits,
	derivePeerLimits,
	SocketPool,
} from '../../core/connections/connection-limits.js';
import { ReadTurns } from '../../core/connections/read-turns.js';
import type { Log } from '../../core/definitions.js';
import type { SizingStrategy } from '../../core/duties/engine-sizing.js';
import { sizingStrategies } from '../../core/duties/engine-sizing.js';
import { CostModel } from '../../core/engines/cost-model.js';
import { EngineDirectory } from '../../core/engines/engine-directory.js';
import { EnginePlacement } from '../../core/engines/placement.js';
import { addressOf } from '../../core/fleet/address.js';
import { Quarantine } from '../../core/quarantine/quarantine.js';
import { QuarantineRecords } from '../../core/quarantine/quarantine-records.js';
import { Relay } from '../../core/relay/relay.js';
import { RetryBudget } from '../../core/relay/retry-budget.js';
import type { RelaySettings } from '../../core/relay/settings.js';
import { StartupQueue } from '../../core/relay/startup-queue.js';
import { ConfigurationState } from '../../core/routing/configuration-state.js';
import { afterReads } from '../../core/time/after-reads.js';
import type { ConnectionMeter } from '../../infra/connections/metered-server.js';
import { UndiciEngineTransport } from '../../infra/relay/engine-transport.js';
import { PrometheusMetrics } from '../../infra/relay/prometheus-metrics.js';
import { createMetricsServer, createReadinessServer } from '../../infra/relay/readiness-server.js';
import { RelayHttpServer } from '../../infra/relay/relay-http-server.js';
import { SystemClock } from '../../infra/system-clock.js';
import { SystemRandom } from '../../infra/system-random.js';
import * as platform from '../../platform/index.js';
import { listenOn } from '../listen.js';
import { CostReport, costReportIntervalMs } from './cost-report.js';
import { EventLoopMonitor, tickIntervalMs } from './event-loop-monitor.js';
import { FleetCoordinator } from './fleet-coordinator.js';
import { FleetDuties } from './fleet-duties.js';
import { ForwardingHub } from './forwarding-hub.js';
import { GracefulShutdown, streamAcceptanceMs } from './graceful-shutdown.js';
import { StoreRestoration } from './store-restoration.js';
import { StoreSync } from './store-sync.js';

/** From this delay of the event loop on, callers may have disconnected unnoticed. */
const lateLoopMs = 100;
/** Characters of an unreadable entry of the store in the log. */
const maxLoggedEntry = 200;
/** Interval between removals of silent peers and outdated state. */
const sweepIntervalMs = 1000;
/** Maximum time after the start that readiness waits for the VM registry to be read. */
const peerDiscoveryMs = 500;
/** Totals where the VM performs no duties. */
const noDutyTotals = { reported: 0, missed: 0, orders: 0 };
/** Poll interval of a graceful shutdown. */
const shutdownPollMs = 50;

export class RelayDaemon {
	private readonly clock = new SystemClock();
	private readonly random = new SystemRandom();
	private readonly store: platform.PlatformStore;
	private readonly transport: UndiciEngineTransport;
	private readonly engines: EngineDirectory;
	private readonly configuration: ConfigurationState;
	private readonly startupQueue: StartupQueue;
	private readonly relay: Relay;
	private readonly retryBudget: RetryBudget;
	private readonly costs = new CostModel();
	private readonly costReport: CostReport;
	private readonly storeSync: StoreSync;
	private readonly restoration: StoreRestoration;
	private readonly coordinator: FleetCoordinator;
	/** Absent where the VM performs no duties. */
	private readonly duties?: FleetDuties;
	private readonly dutyApi?: platform.PlatformDutyApi;
	private readonly hub: ForwardingHub;
	private readonly quarantine: Quarantine;
	private readonly quarantineRecords: QuarantineRecords;
	private readonly httpServer: RelayHttpServer;
	private readonly readiness: http.Server;
	private readonly metrics: PrometheusMetrics;
	private readonly metricsServer: http.Server;
	private readonly timers: NodeJS.Timeout[] = [];
	private readonly startedAt = this.clock.monotonic();
	private readonly loopMonitor: EventLoopMonitor;
	private readonly shutdown: GracefulShutdown;

	constructor(
		private settings: RelaySettings,
		private readonly log: Log,
		/** Number of log lines dropped since the start. */
		linesDropped: () => number,
		sizing: SizingStrategy = sizingStrategies.peak,
	) {
		const { clock, random } = this;
		const transport = new UndiciEngineTransport(platform, settings.vm.address);
		this.transport = transport;
		const { machine } = settings;
		const sockets = new SocketPool(machine);
		const turns = new ReadTurns(clock, (callback) => void setImmediate(callback));
		const createMeter = (limits: ConnectionLimits): ConnectionMeter => ({
			ledger: new ConnectionLedger(limits, sockets),
			turns,
		});
		const incarnation = Math.floor(random.next() * 2 ** 32);
		this.store = new platform.PlatformStore(
			settings.store.address,
			clock,
			({ era }) => this.restoration.handleRestored(era),
			(entry) => log.warn('store.unreadable', { entry: entry.slice(0, maxLoggedEntry) }),
		);
		this.quarantine = new Quarantine({
			clock,
			log,
			onUpdate: () => this.coordinator.peers.markChanged(),
			// Deferred, as a request may be reporting the failure of its own attempt.
			onEntered: () => setImmediate(() => this.relay.withdrawQuarantined()),
			isPortClosed: (address) => transport.isPortClosed(address),
		});
		this.engines = new EngineDirectory({
			clock,
			log,
			decode: platform.decodeEngineRegistration,
			idOf: platform.engineIdOf,
			onAddressUnused: (address) => transport.closeIdleConnections(address),
			onRemoved: (engine) => {
				this.coordinator.fleet.removeEngine(engine.incarnationKey);
				this.coordinator.limits.permits.removeEngine(engine.ref);
				if (!engine.isDraining) {
					this.quarantine.recordEngineCrash(engine.ref);
				}
			},
			onChanged: () => this.storeSync.announceChange(),
			onLoaded: () => this.startupQueue.release(),
		});
		this.hub = new ForwardingHub({
			clock,
			log,
			random,
			domain: settings.vm.domain,
			engines: this.engines,
			transport,
			getOtherVms: () => this.coordinator.registry.getOthers(),
			refreshVms: () => this.coordinator.registry.refresh(),
			isStopping: () => this.shutdown.isStopping,
			loopDelayMs: () => this.loopMonitor.delayMs,
			onOrder: (refusal) => this.metrics.recordForwardOrder(refusal),
			onEngineBroken: (engine) => this.quarantine.probeEngine(engine),
			sleep,
		});
		this.coordinator = new FleetCoordinator({
			settings: () => this.settings,
			clock,
			random,
			log,
			store: this.store,
			vmPrefix: platform.storeKeys.vms,
			incarnation,
			costs: this.costs,
			quarantine: this.quarantine,
			engines: this.engines,
			configuration: () => this.configuration,
			storeSync: () => this.storeSync,
			duties: () => this.duties,
			meter: createMeter(derivePeerLimits(machine)),
			handleForward: (req, res, connections) => this.hub.handle(req, res, connections),
			sleep,
		});
		const { fleet, registry, peers, limits, fleetHealth } = this.coordinator;
		this.quarantineRecords = new QuarantineRecords({
			store: this.store,
			clock,
			log,
			prefix: platform.storeKeys.quarantine,
			quarantine: this.quarantine,
			hasUnreachablePeers: () => fleet.size < (registry.size ?? 0),
			isStoreUnavailable: () => !this.storeSync.isUpToDate,
			onFirstRead: () => this.startupQueue.release(),
		});
		this.configuration = new ConfigurationState({
			log,
			key: platform.storeKeys.configuration,
			decode: platform.decodeConfiguration,
			onApplied: (table) => {
				fleet.configurationVersion = table.version;
				this.httpServer.configure(table.configuration.limits);
				this.storeSync.handleConfigurationApplied();
				this.startupQueue.release();
			},
		});
		this.storeSync = new StoreSync({
			vm: settings.vm.id,
			store: this.store,
			clock,
			random,
			log,
			keys: platform.storeKeys,
			drainMs: settings.drainMs,
			configurationMs: settings.configurationMs,
			configuration: this.configuration,
			engines: this.engines,
			fleet,
			registeredVmCount: () => registry.size,
			vmNames: () => registry.names,
			dutyToken: () => this.duties?.fencingToken,
			onPeerEra: (era) => this.restoration.handlePeerEra(era),
			peers: () => peers,
			sleep,
		});
		if (settings.duties) {
			this.dutyApi = new platform.PlatformDutyApi(settings.duties.api, (path, reason) => {
				log.warn('duty.unanswered', { path, reason });
			});
			this.duties = new FleetDuties({
				settings: settings.duties,
				sizing,
				vm: settings.vm.id,
				incarnation,
				address: addressOf(settings.listen.peers),
				api: this.dutyApi,
				store: this.store,
				clock,
				random,
				log,
				keys: { holder: platform.storeKeys.dutyHolder, reports: platform.storeKeys.usageReports },
				fleet,
				engines: this.engines,
				limits: limits.ledger,
				storeSync: () => this.storeSync,
				transport: () => peers,
				services: () => this.configuration.table?.configuration.services ?? [],
				registeredVmCount: () => registry.size,
				vmNames: () => registry.names,
				onChanged: () => peers.sendNow(),
			});
		}
		this.retryBudget = new RetryBudget(settings.retries, () => this.coordinator.vmCount);
		this.costReport = new CostReport(
			log,
			this.costs,
			() => this.modelServices(),
			this.engines,
			this.clock,
		);
		this.metrics = new PrometheusMetrics({
			openRequests: () => this.relay.openRequests,
			liveVms: () => fleet.size,
			configurationVersion: () => this.configuration.version,
			storeCalls: () => this.store.calls,
			storeReachable: () => (this.storeSync.isUpToDate ? 1 : 0),
			enginesAgeMs: () => this.engines.ageMs ?? 0,
			logLinesDropped: linesDropped,
			duties: () => ({
				...noDutyTotals,
				...this.duties?.totals,
				token: this.duties?.fencingToken ?? 0,
			}),
			costEstimates: () => this.costReport.samples(),
			limitedEngines: () => limits.ledger.size,
			cutOffServices: () => this.hub.links.cutOffServices.length,
			quarantinedTraits: () => [...this.quarantine.traits],
		});
		this.restoration = new StoreRestoration({
			log,
			store: this.store,
			engines: this.engines,
			configuration: this.configuration,
			registry,
			quarantineRecords: this.quarantineRecords,
			storeSync: this.storeSync,
			duties: this.duties,
			onRestored: () => this.metrics.recordStoreRestored(),
		});
		this.metricsServer = createMetricsServer(createMeter(deriveAuxiliaryLimits(machine)), () =>
			this.metrics.render(),
		);
		this.startupQueue = new StartupQueue({ clock, log, isLoaded: () => this.isLoaded });
		this.relay = new Relay({
			startupQueue: this.startupQueue,
			clock,
			random,
			log,
			transport,
			engines: this.engines,
			costs: this.costs,
			placement: new EnginePlacement(random, fleet, this.costs, (address) =>
				transport.hasIdleConnection(address),
			),
			fleetHealth,
			links: this.hub.links,
			forwarding: this.hub.forwarding,
			fleet,
			limits,
			usage: this.duties,
			onWorkChanged: () => peers.markChanged(),
			retryBudget: this.retryBudget,
			quarantine: this.quarantine,
			getRouteTable: () => this.configuration.table,
			isPossiblyStale: () => !this.storeSync.isUpToDate,
			storeUnreachableMs: () => this.storeSync.storeUnreachableMs,
			getRefusal: (route) => this.shutdown.getRefusal(route),
			metrics: this.metrics,
		});
		this.httpServer = new RelayHttpServer({
			clock,
			log,
			...createMeter(deriveLimits(machine)),
			decode: platform.decodeRequest,
			isEventLoopLagging: () => this.loopMonitor.delayMs > lateLoopMs,
			handle: (req, res) => this.relay.handle(req, res),
			requestIdOf: platform.requestIdOf,
			onRefused: (status) => this.metrics.recordDenied(status),
		});
		this.loopMonitor = new EventLoopMonitor({
			clock,
			log,
			onDelay: (ms) => this.metrics.recordEventLoopDelay(ms),
			onSuspended: () => this.storeSync.handleSuspension(),
		});
		this.shutdown = new GracefulShutdown(clock, () => this.settings.stopMs);
		this.readiness = createReadinessServer(createMeter(deriveAuxiliaryLimits(machine)), () =>
			this.isReady(),
		);
	}

	/** Opens the ports and starts all loops and timers. */
	async start(): Promise<void> {
		const { callers, readiness, peers, metrics } = this.settings.listen;
		await this.coordinator.peers.start();
		// Started before the ports are opened, so that both proceed in parallel.
		for (const loop of this.storeSync.follow()) {
			this.supervise(loop);
		}
		this.supervise(this.quarantineRecords.update());
		await listenOn(this.metricsServer, metrics.host, metrics.port);
		await listenOn(this.coordinator.peers.server, peers.host, peers.port);
		await listenOn(this.httpServer.server, callers.host, callers.port);
		await listenOn(this.readiness, readiness.host, readiness.port);
		this.supervise(this.coordinator.registry.run());
		this.loopMonitor.start();
		this.timers.push(setInterval(() => this.tick(), tickIntervalMs));
		this.timers.push(setInterval(() => this.sweep(), sweepIntervalMs));
		this.timers.push(setInterval(() => this.costReport.write(), costReportIntervalMs));
		this.log.info('daemon.started', {
			callers_port: callers.port,
			domain: this.settings.vm.domain,
			took_ms: Math.round(performance.now()),
		});
	}

	/** Shuts down gracefully: reports not ready at once, lets open requests finish and closes all connections. */
	async stop(): Promise<void> {
		if (this.shutdown.isStopping) {
			return;
		}
		this.shutdown.begin();
		this.log.info('daemon.stopping', { requests: this.relay.openRequests });
		this.httpServer.disableKeepAlive();
		this.coordinator.retire();
		await this.duties?.release();
		await sleep(streamAcceptanceMs);
		while (this.hasOpenRequests && !this.shutdown.isDeadlineReached) {
			this.httpServer.closeIdleConnections();
			await sleep(shutdownPollMs);
		}
		// In the same turn of the loop, as a request that is read from here on would not be answered any more.
		this.httpServer.stopTaking();
		this.relay.abortAll('the daemon stops');
		await this.close();
		this.log.info('daemon.stopped', { took_ms: Math.round(this.shutdown.elapsedMs) });
	}

	/** Whether callers or other VMs wait for answers. */
	private get hasOpenRequests(): boolean {
		return this.httpServer.openRequests > 0 || this.hub.openRequests > 0;
	}

	private async close(): Promise<void> {
		this.storeSync.stop();
		for (const timer of this.timers) {
			clearInterval(timer);
		}
		this.coordinator.stop();
		this.metricsServer.close();
		this.metricsServer.closeAllConnections();
		this.readiness.close();
		this.readiness.closeAllConnections();
		await this.transport.close();
		await this.dutyApi?.close();
		await this.store.close();
	}

	/** Names of the services whose engines run language models. */
	private modelServices(): string[] {
		const services = this.configuration.table?.configuration.services ?? [];
		return services.filter(({ model }) => model !== undefined).map(({ name }) => name);
	}

	private tick(): void {
		this.loopMonitor.tick();
		this.coordinator.update();
		this.storeSync.update();
		this.engines.sweep();
		this.hub.update();
		afterReads(() => this.relay.checkProgress());
		if (this.quarantineRecords.hasWork) {
			this.supervise(this.quarantineRecords.update());
		}
		if (this.duties) {
			this.supervise(this.duties.update());
		}
	}

	private sweep(): void {
		this.coordinator.sweep();
		this.hub.sweep();
		this.quarantine.sweep();
	}

	/** Ends the process, to be restarted, when a task rejects: tasks handle store failures, so any other error is a defect. */
	private supervise(task: Promise<void>): void {
		task.catch((err: Error) => {
			this.log.error('daemon.failed', { error: err.stack });
			setImmediate(() => process.exit(1));
		});
	}

	/** Applies a changed settings file; changed addresses take effect only after a restart. */
	reload(settings: RelaySettings): void {
		this.settings = { ...settings, listen: this.settings.listen, vm: this.settings.vm };
		this.retryBudget.configure(settings.retries);
		this.quarantineRecords.refresh();
		this.log.info('daemon.reloaded', { seeds: settings.seeds.length });
	}

	private isReady(): boolean {
		return !this.shutdown.isStopping && this.isLoaded && this.isPeerDiscoveryDone;
	}

	/**
	 * Whether the VM registry was read or the wait for it is over. Without it, a VM that loses the store would not receive
	 * new configurations from peers.
	 */
	private get isPeerDiscoveryDone(): boolean {
		const runningMs = this.clock.monotonic() - this.startedAt;
		return this.coordinator.registry.size !== undefined || runningMs > peerDiscoveryMs;
	}

	/** Whether everything that is needed to place requests was read. */
	private get isLoaded(): boolean {
		const isConfigured = this.configuration.table !== undefined && this.engines.hasLoaded;
		return isConfigured && this.quarantineRecords.isReady;
	}
}

function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}
