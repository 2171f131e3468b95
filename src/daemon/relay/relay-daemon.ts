/**
 * Puts one relaying daemon together: callers in front, engines behind, the store beside.
 * @module
 */
import type * as http from 'node:http';
import type { Log } from '../../core/definitions.js';
import type { SizingWay } from '../../core/duties/engine-sizing.js';
import { sizingWays } from '../../core/duties/engine-sizing.js';
import { CostModel } from '../../core/engines/cost-model.js';
import { EngineDirectory } from '../../core/engines/engine-directory.js';
import { EnginePlacement } from '../../core/engines/placement.js';
import type { ListedVm } from '../../core/fleet/aggregator-selection.js';
import { FleetSize } from '../../core/fleet/fleet-size.js';
import { FleetView } from '../../core/fleet/fleet-view.js';
import { VmRegistry } from '../../core/fleet/vm-registry.js';
import { Quarantine } from '../../core/quarantine/quarantine.js';
import { QuarantineRecords } from '../../core/quarantine/quarantine-records.js';
import { Relay } from '../../core/relay/relay.js';
import { RetryBudget } from '../../core/relay/retry-budget.js';
import type { HostPort, RelaySettings } from '../../core/relay/settings.js';
import { StartHold } from '../../core/relay/start-hold.js';
import { ConfigurationState } from '../../core/routing/configuration-state.js';
import type { Route } from '../../core/routing/types.js';
import { CallersFront } from '../../infra/relay/callers-front.js';
import { UndiciEngineTransport } from '../../infra/relay/engine-transport.js';
import { PrometheusMetrics } from '../../infra/relay/prometheus-metrics.js';
import { createMetricsServer, createReadinessServer } from '../../infra/relay/readiness-server.js';
import { SystemClock } from '../../infra/system-clock.js';
import { SystemRandom } from '../../infra/system-random.js';
import * as platform from '../../platform/index.js';
import { listenOn } from '../listen.js';
import { CostReport, costReportMs } from './cost-report.js';
import { FleetDuties } from './fleet-duties.js';
import { LimitExchange } from './limit-exchange.js';
import { PeerExchange } from './peer-exchange.js';
import { StoreReading } from './store-reading.js';
import { StoreRestoration } from './store-restoration.js';

/** Time between two looks at what is due, in milliseconds. */
const tickMs = 100;
/** Callers may have left meanwhile when the loop is so late, in milliseconds: a quarter of the shortest time they wait. */
const lateMs = 100;
/** Time between two looks for silent peers, and for what is old enough to be forgotten, in milliseconds. */
const peerSweepMs = 1000;
/**
 * Streams are still taken for so long after the stop signal: the balancer asks each second, needs
 * two misses, and callers go on using kept connections. Later ones might not end before the kill.
 */
const takeStreamsMs = 2900;
/** What has not ended so long before the kill is cut, in milliseconds. */
const cutBeforeKillMs = 300;
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
	private readonly startHold: StartHold;
	private readonly relay: Relay;
	private readonly budget: RetryBudget;
	private readonly fleetSize = new FleetSize();
	private readonly costs = new CostModel();
	private readonly costReport: CostReport;
	private readonly reading: StoreReading;
	private readonly restoration: StoreRestoration;
	private readonly fleet: FleetView;
	private readonly peers: PeerExchange;
	private readonly limitExchange: LimitExchange;
	private readonly registry: VmRegistry;
	/** Absent where nothing is done for the whole fleet. */
	private readonly duties?: FleetDuties;
	private readonly dutyApi?: platform.PlatformDutyApi;
	private readonly quarantine: Quarantine;
	private readonly quarantineRecords: QuarantineRecords;
	private readonly front: CallersFront;
	private readonly readiness: http.Server;
	private readonly metrics: PrometheusMetrics;
	private readonly metricsServer: http.Server;
	private readonly timers: NodeJS.Timeout[] = [];
	private readonly startedAt = this.clock.monotonic();
	private tickedAt = this.clock.sinceBoot();
	private lastDelayMs = 0;
	private suspendedMs = 0;
	/** When the stop signal came, in monotonic milliseconds. */
	private stoppingAt?: number;

	constructor(
		private settings: RelaySettings,
		private readonly log: Log,
		/** Log lines that were not written, since the start. */
		linesDropped: () => number,
		sizing: SizingWay = sizingWays.peak,
	) {
		const { clock, random, transport } = this;
		this.store = new platform.PlatformStore(settings.store.address, clock, ({ era }) => {
			this.restoration.restored(era);
		});
		this.quarantine = new Quarantine({
			clock,
			log,
			onNews: () => this.peers.changed(),
			isDeserted: (address) => transport.isDeserted(address),
		});
		this.engines = new EngineDirectory({
			clock,
			log,
			decode: platform.decodeEngine,
			idOf: platform.engineIdOf,
			onAddressGone: (address) => transport.forget(address),
			onGone: (engine) => {
				this.fleet.engineGone(engine.key);
				this.limitExchange.limits.permits.forget(engine.ref);
				if (!engine.isLeaving) {
					this.quarantine.engineEnded(engine.ref);
				}
			},
			onChanged: () => this.reading.changed(),
			onRead: () => this.startHold.release(),
		});
		const { peers } = settings.listen;
		const { id: name, domain, cores } = settings.vm;
		const self: ListedVm = { name, domain, cores, address: peers };
		const life = Math.floor(random.next() * 2 ** 32);
		const address = `${peers.host}:${peers.port}`;
		this.limitExchange = new LimitExchange({
			clock,
			log,
			random,
			self,
			listed: () => this.registry.others(),
			engineId: (ref) => this.engines.ofRef(ref)?.id,
			heardVms: () => this.fleet.size,
			vms: () => this.knownVms(),
			sendAsk: (to, ask) => this.peers.sendPermitAsk(to, ask),
			sendAnswer: (to, answer) => this.peers.sendPermitAnswer(to, answer),
			onNews: () => this.peers.changed(),
		});
		const { limits } = this.limitExchange;
		this.fleet = new FleetView({
			self: settings.vm.id,
			address,
			clock,
			log,
			life,
			onNewerConfiguration: (address) => void this.peers.fetchConfiguration(address),
			costs: this.costs,
			storeNews: () => this.reading.news(),
			onStoreNews: (address, store) => this.reading.heard(address, store),
			crashes: this.quarantine.ledger,
			limits,
		});
		this.registry = new VmRegistry({
			store: this.store,
			clock,
			random,
			log,
			prefix: platform.keys.vms,
			self,
			sleep,
			renewMs: () => this.reading.renewMs,
			isStoreAway: () => this.reading.isAway,
			onUnreachable: () => this.reading.restart(),
		});
		this.quarantineRecords = new QuarantineRecords({
			store: this.store,
			clock,
			log,
			prefix: platform.keys.quarantine,
			quarantine: this.quarantine,
			missesPeers: () => this.fleet.size < (this.registry.size ?? 0),
			isStoreAway: () => !this.reading.isUpToDate,
			onRead: () => this.startHold.release(),
		});
		this.peers = new PeerExchange({
			clock,
			log,
			self,
			fleet: this.fleet,
			listed: () => this.registry.others(),
			seeds: () => this.seeds(),
			configuration: () => this.configuration.text,
			offer: (text, source) => this.configuration.offer(text, source),
			engines: (since) => this.reading.enginesSince(since),
			takeEngines: (text) => this.engines.takeCopy(text),
			enginesRevision: () => this.engines.revision,
			onUsage: (usage) => this.duties?.receiveUsage(usage),
			onUsageTaken: (taken) => this.duties?.receiveTaken(taken),
			onPermitAsk: (ask) => limits.asked(ask),
			onPermitAnswer: (answer) => limits.answered(answer),
		});
		this.configuration = new ConfigurationState({
			log,
			key: platform.keys.configuration,
			decode: platform.decodeConfiguration,
			onApplied: (table) => {
				this.fleet.configurationVersion = table.version;
				this.front.configure(table.configuration.limits);
				this.reading.configurationApplied();
				this.startHold.release();
			},
		});
		this.reading = new StoreReading({
			vm: settings.vm.id,
			store: this.store,
			clock,
			random,
			log,
			keys: platform.keys,
			drainMs: settings.drainMs,
			configuration: this.configuration,
			engines: this.engines,
			fleet: this.fleet,
			registeredVms: () => this.registry.size,
			vmNames: () => this.registry.names,
			dutyToken: () => this.duties?.token,
			onEraHeard: (era) => this.restoration.heard(era),
			peers: () => this.peers,
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
				life,
				address,
				api: this.dutyApi,
				store: this.store,
				clock,
				random,
				log,
				keys: { holder: platform.keys.dutyHolder, reports: platform.keys.usageReports },
				fleet: this.fleet,
				engines: this.engines,
				limits: limits.ledger,
				reading: () => this.reading,
				messages: () => this.peers,
				services: () => this.configuration.table?.configuration.services ?? [],
				registeredVms: () => this.registry.size,
				vmNames: () => this.registry.names,
				onChanged: () => this.peers.announce(),
			});
		}
		this.budget = new RetryBudget(settings.retries, () => this.knownVms());
		this.costReport = new CostReport(log, this.costs, () => this.modelServices());
		this.metrics = new PrometheusMetrics({
			open: () => this.relay.size,
			peers: () => this.fleet.size,
			configurationVersion: () => this.configuration.version,
			storeCalls: () => this.store.calls,
			storeReachable: () => (this.reading.isUpToDate ? 1 : 0),
			logLinesDropped: linesDropped,
			duties: () => ({ ...noDuties, ...this.duties?.totals, token: this.duties?.token ?? 0 }),
			costs: () => this.costReport.samples(),
			limited: () => limits.ledger.size,
			quarantined: () => this.quarantine.contents.size,
		});
		this.restoration = new StoreRestoration({
			log,
			store: this.store,
			engines: this.engines,
			configuration: this.configuration,
			registry: this.registry,
			quarantineRecords: this.quarantineRecords,
			reading: this.reading,
			duties: this.duties,
			onRestored: () => this.metrics.storeRestored(),
		});
		this.metricsServer = createMetricsServer(() => this.metrics.render());
		this.startHold = new StartHold({ clock, log, isKnown: () => this.knowsEnough });
		this.relay = new Relay({
			startHold: this.startHold,
			clock,
			random,
			log,
			transport,
			engines: this.engines,
			costs: this.costs,
			placement: new EnginePlacement(random, this.fleet, this.costs, (address) =>
				transport.hasFree(address),
			),
			fleet: this.fleet,
			limits,
			usage: this.duties,
			onWorkChanged: () => this.peers.changed(),
			budget: this.budget,
			quarantine: this.quarantine,
			routes: () => this.configuration.table,
			mayBeBehind: () => !this.reading.isUpToDate,
			storeSilentMs: () => this.reading.silentMs,
			refusal: (route) => this.refusal(route),
			metrics: this.metrics,
		});
		this.front = new CallersFront({
			clock,
			log,
			decode: platform.decodeRequest,
			isLate: () => this.delayMs > lateMs,
			handle: (req, res) => this.relay.handle(req, res),
		});
		this.readiness = createReadinessServer(() => this.isReady());
	}

	async start(): Promise<void> {
		const { callers, readiness, peers, metrics } = this.settings.listen;
		await this.peers.start();
		// Before the ports are open: the store's answers take as long as that.
		for (const loop of this.reading.follow()) {
			this.runForever(loop);
		}
		this.runForever(this.quarantineRecords.update());
		await listenOn(this.metricsServer, metrics.host, metrics.port);
		await listenOn(this.peers.server, peers.host, peers.port);
		await listenOn(this.front.server, callers.host, callers.port);
		await listenOn(this.readiness, readiness.host, readiness.port);
		this.runForever(this.registry.keep());
		this.tickedAt = this.clock.sinceBoot();
		this.timers.push(setInterval(() => this.tick(), tickMs));
		this.timers.push(setInterval(() => this.sweep(), peerSweepMs));
		this.timers.push(setInterval(() => this.costReport.write(), costReportMs));
		this.log.info('daemon.started', {
			callers_port: callers.port,
			domain: this.settings.vm.domain,
			took_ms: Math.round(performance.now()),
		});
	}

	/** Planned stop: not ready at once, open work ends, then the process may end. */
	async stop(): Promise<void> {
		if (this.stoppingAt !== undefined) {
			return;
		}
		const startedAt = this.clock.monotonic();
		this.stoppingAt = startedAt;
		this.log.info('daemon.stopping', { requests: this.relay.size });
		this.front.stopKeeping();
		this.limitExchange.limits.retire();
		this.peers.retire();
		await this.duties?.release();
		await sleep(takeStreamsMs);
		const cutAt = this.cutAt(startedAt);
		while (this.front.open > 0 && this.clock.monotonic() < cutAt) {
			this.front.closeIdle();
			await sleep(stopPollMs);
		}
		this.relay.cutAll('the daemon stops');
		this.front.server.close();
		await this.close();
		this.log.info('daemon.stopped', { took_ms: Math.round(this.clock.monotonic() - startedAt) });
	}

	private async close(): Promise<void> {
		this.reading.stop();
		for (const timer of this.timers) {
			clearInterval(timer);
		}
		this.limitExchange.stop();
		this.peers.stop();
		this.registry.stop();
		this.metricsServer.close();
		this.metricsServer.closeAllConnections();
		this.readiness.close();
		this.readiness.closeAllConnections();
		await this.transport.close();
		await this.dutyApi?.close();
		await this.store.close();
	}

	/** VMs of the fleet, silent ones included; undefined while not known. */
	private knownVms(): number | undefined {
		const { fleet, registry, clock } = this;
		return this.fleetSize.count(fleet.size, registry.size, clock.monotonic());
	}

	/** Names of the services whose engines run language models. */
	private modelServices(): string[] {
		const services = this.configuration.table?.configuration.services ?? [];
		return services.filter(({ model }) => model !== undefined).map(({ name }) => name);
	}

	private tick(): void {
		this.noteDelay();
		this.noteSuspension();
		this.limitExchange.update();
		this.peers.update();
		this.reading.update();
		this.engines.sweep();
		this.relay.checkSilence();
		if (this.quarantineRecords.hasWork) {
			this.runForever(this.quarantineRecords.update());
		}
		if (this.duties) {
			this.runForever(this.duties.update());
		}
	}

	private sweep(): void {
		this.fleet.sweep();
		this.quarantine.sweep();
		this.limitExchange.limits.sweep((ref) => this.engines.ofRef(ref) !== undefined);
	}

	/** How late the loop is: the tick that is due, or the last one. */
	private get delayMs(): number {
		const sinceMs = this.clock.sinceBoot() - this.tickedAt;
		return Math.max(0, sinceMs - tickMs, this.lastDelayMs);
	}

	private noteDelay(): void {
		const now = this.clock.sinceBoot();
		this.lastDelayMs = Math.max(0, now - this.tickedAt - tickMs);
		this.tickedAt = now;
		this.metrics.delayed(this.lastDelayMs);
	}

	private noteSuspension(): void {
		const { suspendedMs } = this.clock;
		const newMs = suspendedMs - this.suspendedMs;
		if (newMs > 0) {
			this.suspendedMs = suspendedMs;
			this.log.warn('vm.suspended', { ms: Math.round(newMs) });
			this.reading.wokeUp();
		}
	}

	/** An error that is no failure of the store is a defect: the process ends and is started anew. */
	private runForever(loop: Promise<void>): void {
		loop.catch((err: Error) => {
			this.log.error('daemon.failed', { error: err.stack });
			setImmediate(() => process.exit(1));
		});
	}

	/** VMs to ask before any is known. Seeds name another port of the same VM; ports are alike on all VMs. */
	private seeds(): HostPort[] {
		const { peers } = this.settings.listen;
		const hosts = new Set(this.settings.seeds.map((seed) => seed.host));
		hosts.delete(peers.host);
		return [...hosts].map((host) => ({ host, port: peers.port }));
	}

	/** Takes in a changed settings file; addresses stay until the next start. */
	reload(settings: RelaySettings): void {
		this.settings = { ...settings, listen: this.settings.listen, vm: this.settings.vm };
		this.budget.configure(settings.retries);
		this.log.info('daemon.reloaded', { seeds: settings.seeds.length });
	}

	private isReady(): boolean {
		return this.stoppingAt === undefined && this.knowsEnough && this.mayHaveMetPeers;
	}

	/** A VM that the store turns away before it knows any other would not hear of new configurations. */
	private get mayHaveMetPeers(): boolean {
		const runningMs = this.clock.monotonic() - this.startedAt;
		return this.registry.size !== undefined || runningMs > meetPeersMs;
	}

	/** Requests can be placed. */
	private get knowsEnough(): boolean {
		const isConfigured = this.configuration.table !== undefined && this.engines.isKnown;
		return isConfigured && this.quarantineRecords.isKnown;
	}

	/** While stopping, what may not end before the kill is not begun. */
	private refusal(route: Route): string | undefined {
		if (this.stoppingAt === undefined) {
			return undefined;
		}
		const now = this.clock.monotonic();
		const latest = route.streamed
			? this.stoppingAt + takeStreamsMs
			: this.cutAt(this.stoppingAt) - route.timeoutMs;
		return now > latest ? 'the daemon stops' : undefined;
	}

	/** What has not ended then is cut. */
	private cutAt(stoppingAt: number): number {
		return stoppingAt + this.settings.stopMs - cutBeforeKillMs;
	}
}

function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}
