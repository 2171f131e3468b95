/**
 * Puts one relaying daemon together: callers in front, engines behind, the store beside.
 * @module
 */
import type * as http from 'node:http';
import type { Log } from '../../core/definitions.js';
import { EngineDirectory } from '../../core/engines/engine-directory.js';
import { EnginePlacement } from '../../core/engines/placement.js';
import { Relay } from '../../core/relay/relay.js';
import { RetryBudget } from '../../core/relay/retry-budget.js';
import type { RelaySettings } from '../../core/relay/settings.js';
import { ConfigurationState } from '../../core/routing/configuration-state.js';
import type { Route } from '../../core/routing/types.js';
import type { PrefixListener } from '../../core/store/prefix-follower.js';
import { PrefixFollower } from '../../core/store/prefix-follower.js';
import { CallersFront } from '../../infra/relay/callers-front.js';
import { UndiciEngineTransport } from '../../infra/relay/engine-transport.js';
import { createReadinessServer } from '../../infra/relay/readiness-server.js';
import { SystemClock } from '../../infra/system-clock.js';
import { SystemRandom } from '../../infra/system-random.js';
import * as platform from '../../platform/index.js';
import { listenOn } from '../listen.js';

/** Time between two looks at what is due, in milliseconds. */
const tickMs = 100;
/**
 * Streams are still taken for so long after the stop signal: the balancer asks each second, needs
 * two misses, and callers go on using kept connections. Later ones might not end before the kill.
 */
const takeStreamsMs = 2900;
/** What has not ended so long before the kill is cut, in milliseconds. */
const cutBeforeKillMs = 300;
/** Time between two looks whether a planned stop is done, in milliseconds. */
const stopPollMs = 50;

export class RelayDaemon {
	private readonly clock = new SystemClock();
	private readonly random = new SystemRandom();
	private readonly store: platform.PlatformStore;
	private readonly transport = new UndiciEngineTransport(platform);
	private readonly engines: EngineDirectory;
	private readonly configuration: ConfigurationState;
	private readonly relay: Relay;
	private readonly front: CallersFront;
	private readonly readiness: http.Server;
	private readonly followers: PrefixFollower[];
	private readonly timers: NodeJS.Timeout[] = [];
	/** When the stop signal came, in monotonic milliseconds. */
	private stoppingAt?: number;

	constructor(
		private readonly settings: RelaySettings,
		private readonly log: Log,
	) {
		const { clock, random, transport } = this;
		this.store = new platform.PlatformStore(settings.store.address);
		this.engines = new EngineDirectory({
			clock,
			log,
			decode: platform.decodeEngine,
			idOf: platform.engineIdOf,
			onAddressGone: (address) => transport.forget(address),
		});
		this.configuration = new ConfigurationState({
			log,
			key: platform.keys.configuration,
			decode: platform.decodeConfiguration,
			onApplied: (table) => this.front.configure(table.configuration.limits),
		});
		this.relay = new Relay({
			clock,
			random,
			log,
			transport,
			engines: this.engines,
			placement: new EnginePlacement(random),
			budget: new RetryBudget(settings.retries, () => 12),
			routes: () => this.configuration.table,
			mayBeBehind: () => this.followers.some((follower) => !follower.isReachable),
			refusal: (route) => this.refusal(route),
			onEnd: () => {},
		});
		this.front = new CallersFront({
			clock,
			log,
			decode: platform.decodeRequest,
			handle: (req, res) => this.relay.handle(req, res),
		});
		this.readiness = createReadinessServer(() => this.isReady());
		this.followers = [
			this.follower(platform.keys.configuration, this.configuration),
			this.follower(platform.keys.engines, this.engines),
		];
	}

	async start(): Promise<void> {
		const { callers, readiness } = this.settings.listen;
		await listenOn(this.front.server, callers.host, callers.port);
		await listenOn(this.readiness, readiness.host, readiness.port);
		for (const follower of this.followers) {
			follower.follow().catch((err: Error) => {
				this.log.error('store.follow-failed', { error: err.stack });
				process.exit(1);
			});
		}
		this.timers.push(setInterval(() => this.engines.sweep(), tickMs));
		this.log.info('daemon.started', {
			callers_port: callers.port,
			domain: this.settings.vm.domain,
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
		for (const follower of this.followers) {
			follower.stop();
		}
		for (const timer of this.timers) {
			clearInterval(timer);
		}
		this.readiness.close();
		this.readiness.closeAllConnections();
		await this.transport.close();
		await this.store.close();
	}

	private isReady(): boolean {
		return this.stoppingAt === undefined && this.configuration.table !== undefined;
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

	private follower(prefix: string, listener: PrefixListener): PrefixFollower {
		const { store, clock, random, log } = this;
		return new PrefixFollower({ store, prefix, clock, random, log, listener, sleep });
	}
}

function sleep(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}
