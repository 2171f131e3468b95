/**
 * Puts one relaying daemon together: callers in front, engines behind, the store beside.
 * @module
 */
import type * as http from 'node:http';
import type { Log } from '../../core/definitions.js';
import type { SizingStrategy } from '../../core/duties/engine-sizing.js';
import { sizingStrategies } from '../../core/duties/engine-sizing.js';
import { CostModel } from '../../core/engines/cost-model.js';
import { EngineDirectory } from '../../core/engines/engine-directory.js';
import { EnginePlacement } from '../../core/engines/placement.js';
import { addressOf } from '../../core/fleet/aggregator-selection.js';
import { Quarantine } from '../../core/quarantine/quarantine.js';
import { QuarantineRecords } from '../../core/quarantine/quarantine-records.js';
import { Relay } from '../../core/relay/relay.js';
import { RetryBudget } from '../../core/relay/retry-budget.js';
import type { RelaySettings } from '../../core/relay/settings.js';
import { StartupQueue } from '../../core/relay/startup-queue.js';
import { ConfigurationState } from '../../core/routing/configuration-state.js';
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
import { GracefulShutdown, streamAcceptanceMs } from './graceful-shutdown.js';
import { StoreRestoration } from './store-restoration.js';
import { StoreSync } from './store-sync.js';

/** Callers may have left meanwhile when the loop is so late, in milliseconds: a quarter of the shortest time they wait. */
const lateMs = 100;
/** Time between two looks for silent peers, and for what is old enough to be forgotten, in milliseconds. */
const peerSweepMs = 1000;
/** A VM waits so long after its start to know the others before it is ready, in milliseconds; a dozen calls. */
const meetPeersMs = 500;
/** Where nothing is done for the whole fleet. */
const noDuties = { reported: 0, missed: 0, orders: 0 };
/** Time between two looks whether a planned stop is done, in milliseconds. */
const stopPollMs = 50;

export class RelayDaemon {
	private readonly clock = new SystemClock();
	private readonly random = new SystemRandom();
	private readonly store: platform.PlatformStore;
	private readonly transport = new UndiciEngineTransport(platform);
	private readonly engines: EngineDirectory;
	private readonly configuration: ConfigurationState;
	private readonly startHold: StartupQueue;
	private readonly relay: Relay;
	private readonly budget: RetryBudget;
	private readonly costs = new CostModel();
	private readonly costReport: CostReport;
	private readonly reading: StoreSync;
	private readonly restoration: StoreRestoration;
	private readonly links: FleetCoordinator;
	/** Absent where nothing is done for the whole fleet. */
	private readonly duties?: FleetDuties;
	private readonly dutyApi?: platform.PlatformDutyApi;
	private readonly quarantine: Quarantine;
	private readonly quarantineRecords: QuarantineRecords;
	private readonly front: RelayHttpServer;
	private readonly readiness: http.Server;
	private readonly metrics: PrometheusMetrics;
	private readonly metricsServer: http.Server;
	private readonly timers: NodeJS.Timeout[] = [];
	private readonly startedAt = this.clock.monotonic();
	private readonly watch: EventLoopMonitor;
	private readonly planned: GracefulShutdown;

	constructor(
		private settings: RelaySettings,
		private readonly log: Log,
		/** Log lines that were not written, since the start. */
		linesDropped: () => number,
		sizing: SizingStrategy = sizingStrategies.peak,
	) {
		const { clock, random, transport } = this;
		const life = Math.floor(random.next() * 2 ** 32);
		this.store = new platform.PlatformStore(settings.store.address, clock, ({ era }) => {
			this.restoration.handleRestored(era);
		});
		this.quarantine = new Quarantine({
			clock,
			log,
			onNews: () => this.links.peers.markChanged(),
			isPortClosed: (address) => transport.isPortClosed(address),
		});
		this.engines = new EngineDirectory({
			clock,
			log,
			decode: platform.decodeEngine,
			idOf: platform.engineIdOf,
			onAddressUnused: (address) => transport.closeIdleConnections(address),
			onRemoved: (engine) => {
				this.links.fleet.removeEngine(engine.incarnationKey);
				this.links.limits.permits.removeEngine(engine.ref);
				if (!engine.isDraining) {
					this.quarantine.recordEngineCrash(engine.ref);
				}
			},
			onChanged: () => this.reading.announceChange(),
			onLoaded: () => this.startHold.release(),
		});
		this.links = new FleetCoordinator({
			settings: () => this.settings,
			clock,
			random,
			log,
			store: this.store,
			vmPrefix: platform.keys.vms,
			incarnation: life,
			costs: this.costs,
			quarantine: this.quarantine,
			engines: this.engines,
			configuration: () => this.configuration,
			storeSync: () => this.reading,
			duties: () => this.duties,
			sleep,
		});
		const { fleet, registry, peers, limits, health } = this.links;
		this.quarantineRecords = new QuarantineRecords({
			store: this.store,
			clock,
			log,
			prefix: platform.keys.quarantine,
			quarantine: this.quarantine,
			hasUnreachablePeers: () => fleet.size < (registry.size ?? 0),
			isStoreUnavailable: () => !this.reading.isUpToDate,
			onFirstRead: () => this.startHold.release(),
		});
		this.configuration = new ConfigurationState({
			log,
			key: platform.keys.configuration,
			decode: platform.decodeConfiguration,
			onApplied: (table) => {
				fleet.configurationVersion = table.version;
				this.front.configure(table.configuration.limits);
				this.reading.handleConfigurationApplied();
				this.startHold.release();
			},
		});
		this.reading = new StoreSync({
			vm: settings.vm.id,
			store: this.store,
			clock,
			random,
			log,
			keys: platform.keys,
			drainMs: settings.drainMs,
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
				incarnation: life,
				address: addressOf(settings.listen.peers),
				api: this.dutyApi,
				store: this.store,
				clock,
				random,
				log,
				keys: { holder: platform.keys.dutyHolder, reports: platform.keys.usageReports },
				fleet,
				engines: this.engines,
				limits: limits.ledger,
				storeSync: () => this.reading,
				transport: () => peers,
				services: () => this.configuration.table?.configuration.services ?? [],
				registeredVmCount: () => registry.size,
				vmNames: () => registry.names,
				onChanged: () => peers.sendNow(),
			});
		}
		this.budget = new RetryBudget(settings.retries, () => this.links.vmCount);
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
			storeReachable: () => (this.reading.isUpToDate ? 1 : 0),
			logLinesDropped: linesDropped,
			duties: () => ({
				...noDuties,
				...this.duties?.totals,
				token: this.duties?.fencingToken ?? 0,
			}),
			costEstimates: () => this.costReport.samples(),
			limitedEngines: () => limits.ledger.size,
			quarantinedContents: () => this.quarantine.contents.size,
		});
		this.restoration = new StoreRestoration({
			log,
			store: this.store,
			engines: this.engines,
			configuration: this.configuration,
			registry,
			quarantineRecords: this.quarantineRecords,
			storeSync: this.reading,
			duties: this.duties,
			onRestored: () => this.metrics.recordStoreRestored(),
		});
		this.metricsServer = createMetricsServer(() => this.metrics.render());
		this.startHold = new StartupQueue({ clock, log, isLoaded: () => this.knowsEnough });
		this.relay = new Relay({
			startupQueue: this.startHold,
			clock,
			random,
			log,
			transport,
			engines: this.engines,
			costs: this.costs,
			placement: new EnginePlacement(random, fleet, this.costs, (address) =>
				transport.hasIdleConnection(address),
			),
			fleetHealth: health,
			fleet,
			limits,
			usage: this.duties,
			onWorkChanged: () => peers.markChanged(),
			retryBudget: this.budget,
			quarantine: this.quarantine,
			routes: () => this.configuration.table,
			isPossiblyStale: () => !this.reading.isUpToDate,
			storeUnreachableMs: () => this.reading.storeUnreachableMs,
			refusal: (route) => this.planned.refusal(route),
			metrics: this.metrics,
		});
		this.front = new RelayHttpServer({
			clock,
			log,
			decode: platform.decodeRequest,
			isEventLoopLagging: () => this.watch.delayMs > lateMs,
			handle: (req, res) => this.relay.handle(req, res),
		});
		this.watch = new EventLoopMonitor({
			clock,
			log,
			onDelay: (ms) => this.metrics.recordEventLoopDelay(ms),
			onSuspended: () => this.reading.handleSuspension(),
		});
		this.planned = new GracefulShutdown(clock, () => this.settings.stopMs);
		this.readiness = createReadinessServer(() => this.isReady());
	}

	async start(): Promise<void> {
		const { callers, readiness, peers, metrics } = this.settings.listen;
		await this.links.peers.start();
		// Before the ports are open: the store's answers take as long as that.
		for (const loop of this.reading.follow()) {
			this.runForever(loop);
		}
		this.runForever(this.quarantineRecords.update());
		await listenOn(this.metricsServer, metrics.host, metrics.port);
		await listenOn(this.links.peers.server, peers.host, peers.port);
		await listenOn(this.front.server, callers.host, callers.port);
		await listenOn(this.readiness, readiness.host, readiness.port);
		this.runForever(this.links.registry.run());
		this.watch.start();
		this.timers.push(setInterval(() => this.tick(), tickIntervalMs));
		this.timers.push(setInterval(() => this.sweep(), peerSweepMs));
		this.timers.push(setInterval(() => this.costReport.write(), costReportIntervalMs));
		this.log.info('daemon.started', {
			callers_port: callers.port,
			domain: this.settings.vm.domain,
			took_ms: Math.round(performance.now()),
		});
	}

	/** Planned stop: not ready at once, open work ends, then the process may end. */
	async stop(): Promise<void> {
		if (this.planned.isStopping) {
			return;
		}
		this.planned.begin();
		this.log.info('daemon.stopping', { requests: this.relay.openRequests });
		this.front.disableKeepAlive();
		this.links.retire();
		await this.duties?.release();
		await sleep(streamAcceptanceMs);
		while (this.front.openRequests > 0 && !this.planned.isDeadlineReached) {
			this.front.closeIdleConnections();
			await sleep(stopPollMs);
		}
		this.relay.abortAll('the daemon stops');
		this.front.server.close();
		await this.close();
		this.log.info('daemon.stopped', { took_ms: Math.round(this.planned.elapsedMs) });
	}

	private async close(): Promise<void> {
		this.reading.stop();
		for (const timer of this.timers) {
			clearInterval(timer);
		}
		this.links.stop();
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
		this.watch.tick();
		this.links.update();
		this.reading.update();
		this.engines.sweep();
		this.relay.checkSilentEngines();
		if (this.quarantineRecords.hasWork) {
			this.runForever(this.quarantineRecords.update());
		}
		if (this.duties) {
			this.runForever(this.duties.update());
		}
	}

	private sweep(): void {
		this.links.sweep();
		this.quarantine.sweep();
	}

	/** An error that is no failure of the store is a defect: the process ends and is started anew. */
	private runForever(loop: Promise<void>): void {
		loop.catch((err: Error) => {
			this.log.error('daemon.failed', { error: err.stack });
			setImmediate(() => process.exit(1));
		});
	}

	/** Takes in a changed settings file; addresses stay until the next start. */
	reload(settings: RelaySettings): void {
		this.settings = { ...settings, listen: this.settings.listen, vm: this.settings.vm };
		this.budget.configure(settings.retries);
		this.log.info('daemon.reloaded', { seeds: settings.seeds.length });
	}

	private isReady(): boolean {
		return !this.planned.isStopping && this.knowsEnough && this.mayHaveMetPeers;
	}

	/** A VM that the store turns away before it knows any other would not hear of new configurations. */
	private get mayHaveMetPeers(): boolean {
		const runningMs = this.clock.monotonic() - this.startedAt;
		return this.links.registry.size !== undefined || runningMs > meetPeersMs;
	}

	/** Requests can be placed. */
	private get knowsEnough(): boolean {
		const isConfigured = this.configuration.table !== undefined && this.engines.hasLoaded;
		return isConfigured && this.quarantineRecords.isReady;
	}
}

function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}
