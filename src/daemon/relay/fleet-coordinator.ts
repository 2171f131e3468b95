/**
 * What a VM knows of the other VMs, and what it tells them: registrations, news, limits that engines name.
 * @module
 */
import type { Clock, Log, Random } from '../../core/definitions.js';
import type { CostModel } from '../../core/engines/cost-model.js';
import type { EngineDirectory } from '../../core/engines/engine-directory.js';
import { FleetHealth } from '../../core/engines/fleet-health.js';
import type { RegisteredVm } from '../../core/fleet/aggregator-selection.js';
import { addressOf } from '../../core/fleet/aggregator-selection.js';
import { FleetSize } from '../../core/fleet/fleet-size.js';
import { FleetView } from '../../core/fleet/fleet-view.js';
import { VmRegistry } from '../../core/fleet/vm-registry.js';
import type { FleetLimits } from '../../core/limits/fleet-limits.js';
import type { Quarantine } from '../../core/quarantine/quarantine.js';
import type { HostPort, RelaySettings } from '../../core/relay/settings.js';
import type { ConfigurationState } from '../../core/routing/configuration-state.js';
import type { Store } from '../../core/store/definitions.js';
import type { FleetDuties } from './fleet-duties.js';
import { LimitExchange } from './limit-exchange.js';
import { PeerExchange } from './peer-exchange.js';
import type { StoreSync } from './store-sync.js';

export interface FleetCoordinatorOptions {
	settings: () => RelaySettings;
	clock: Clock;
	random: Random;
	log: Log;
	store: Store;
	/** Prefix of the keys of all VMs. */
	vmPrefix: string;
	/** Tells this process from an earlier one of the same VM. */
	incarnation: number;
	costs: CostModel;
	quarantine: Quarantine;
	engines: EngineDirectory;
	configuration: () => ConfigurationState;
	storeSync: () => StoreSync;
	duties: () => FleetDuties | undefined;
	sleep: (ms: number) => Promise<void>;
}

export class FleetCoordinator {
	readonly fleet: FleetView;
	readonly registry: VmRegistry;
	readonly peers: PeerExchange;
	readonly limits: FleetLimits;
	readonly health: FleetHealth;
	private readonly limitExchange: LimitExchange;
	private readonly size = new FleetSize();

	constructor(private readonly opts: FleetCoordinatorOptions) {
		const { clock, random, log, engines, configuration, storeSync: reading, duties } = opts;
		const { vm, listen } = opts.settings();
		const { id: name, domain, cores } = vm;
		const self: RegisteredVm = { name, domain, cores, address: listen.peers };
		this.limitExchange = new LimitExchange({
			clock,
			log,
			random,
			self,
			otherVms: () => this.registry.others(),
			engineId: (ref) => engines.findByRef(ref)?.id,
			heardVms: () => this.fleet.size,
			vms: () => this.vmCount,
			sendPermitRequest: (to, ask) => this.peers.sendPermitRequest(to, ask),
			sendPermitResponse: (to, answer) => this.peers.sendPermitResponse(to, answer),
			onNews: () => this.peers.markChanged(),
		});
		const { limits } = this.limitExchange;
		this.limits = limits;
		this.health = new FleetHealth({
			clock,
			log,
			random,
			countLiveVms: () => this.fleet.size,
			onUpdate: () => this.peers.markChanged(),
			engineId: (ref) => engines.findByRef(ref)?.id,
		});
		this.fleet = new FleetView({
			self: name,
			address: addressOf(listen.peers),
			clock,
			log,
			incarnation: opts.incarnation,
			onNewerConfiguration: (address) => void this.peers.fetchConfiguration(address),
			costs: opts.costs,
			answers: this.health,
			storeStatus: () => reading().getStoreStatus(),
			onStoreStatus: (address, store) => reading().handlePeerStatus(address, store),
			crashes: opts.quarantine.ledger,
			limits,
		});
		this.registry = new VmRegistry({
			store: opts.store,
			clock,
			random,
			log,
			prefix: opts.vmPrefix,
			self,
			sleep: opts.sleep,
			renewalIntervalMs: () => reading().renewalIntervalMs,
			isStoreUnavailable: () => reading().isStoreUnavailable,
			onStoreUnreachable: () => reading().restart(),
		});
		this.peers = new PeerExchange({
			clock,
			log,
			self,
			fleet: this.fleet,
			otherVms: () => this.registry.others(),
			seeds: () => this.seeds(),
			configurationText: () => configuration().text,
			applyConfigurationIfNewer: (text, source) => configuration().applyIfNewer(text, source),
			exportEngines: (since) => reading().exportEngines(since),
			applyEngines: (text) => engines.applyCopy(text),
			enginesRevision: () => engines.revision,
			onUsage: (usage) => duties()?.receiveUsage(usage),
			onUsageAck: (taken) => duties()?.handleUsageAck(taken),
			onPermitRequest: (ask) => limits.handlePermitRequest(ask),
			onPermitResponse: (answer) => limits.handlePermitResponse(answer),
		});
	}

	/** VMs of the fleet, silent ones included; undefined while not known. */
	get vmCount(): number | undefined {
		const { fleet, registry, opts } = this;
		return this.size.count(fleet.size, registry.size, opts.clock.monotonic());
	}

	/** Called several times a second. */
	update(): void {
		this.limitExchange.update();
		this.peers.update();
	}

	/** Forgets what is old; called each second. */
	sweep(): void {
		this.fleet.sweep();
		this.health.sweep();
		this.limits.sweep((ref) => this.opts.engines.findByRef(ref) !== undefined);
	}

	/** This VM stops: others do what it did for them. */
	retire(): void {
		this.limits.retire();
		this.peers.retire();
	}

	stop(): void {
		this.limitExchange.stop();
		this.peers.stop();
		this.registry.stop();
	}

	/** VMs to ask before any is known. Seeds name another port of the same VM; ports are alike on all VMs. */
	private seeds(): HostPort[] {
		const { seeds, listen } = this.opts.settings();
		const hosts = new Set(seeds.map((seed) => seed.host));
		hosts.delete(listen.peers.host);
		return [...hosts].map((host) => ({ host, port: listen.peers.port }));
	}
}
