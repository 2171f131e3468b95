/**
 * Connects the components that share state with the other VMs: registry, gossip, fleet view, engine limits and health.
 * @module
 */
import type { Clock, Log, Random } from '../../core/definitions.js';
import type { CostModel } from '../../core/engines/cost-model.js';
import type { EngineDirectory } from '../../core/engines/engine-directory.js';
import { FleetHealth } from '../../core/engines/fleet-health.js';
import { addressOf } from '../../core/fleet/address.js';
import type { RegisteredVm } from '../../core/fleet/aggregator-selection.js';
import { FleetSize } from '../../core/fleet/fleet-size.js';
import { FleetView } from '../../core/fleet/fleet-view.js';
import { VmRegistry } from '../../core/fleet/vm-registry.js';
import type { FleetLimits } from '../../core/limits/fleet-limits.js';
import type { Quarantine } from '../../core/quarantine/quarantine.js';
import type { HostPort, RelaySettings } from '../../core/relay/settings.js';
import type { ConfigurationState } from '../../core/routing/configuration-state.js';
import type { Store } from '../../core/store/definitions.js';
import type { ConnectionMeter } from '../../infra/connections/metered-server.js';
import type { ForwardHandler } from '../../infra/relay/peer-transfers.js';
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
	/** Key prefix of VM registrations in the store. */
	vmPrefix: string;
	/** Distinguishes this process from earlier ones of the same VM. */
	incarnation: number;
	costs: CostModel;
	quarantine: Quarantine;
	engines: EngineDirectory;
	configuration: () => ConfigurationState;
	storeSync: () => StoreSync;
	/** Undefined where the VM performs no duties. */
	duties: () => FleetDuties | undefined;
	/** Handles a request that a peer asks this VM to forward; returns false for any other request. */
	handleForward: ForwardHandler;
	/** What clients of the port for peers may hold. */
	meter: ConnectionMeter;
	sleep: (ms: number) => Promise<void>;
}

export class FleetCoordinator {
	readonly fleet: FleetView;
	readonly registry: VmRegistry;
	readonly peers: PeerExchange;
	readonly limits: FleetLimits;
	readonly fleetHealth: FleetHealth;
	private readonly limitExchange: LimitExchange;
	private readonly fleetSize = new FleetSize();

	constructor(private readonly opts: FleetCoordinatorOptions) {
		const { clock, random, log, engines, configuration, storeSync, duties } = opts;
		const { vm, listen } = opts.settings();
		const { id: name, domain, cores } = vm;
		const self: RegisteredVm = { name, domain, cores, address: listen.peers };
		this.limitExchange = new LimitExchange({
			clock,
			log,
			random,
			self,
			otherVms: () => this.registry.getOthers(),
			getEngineId: (ref) => engines.findByRef(ref)?.id,
			countLiveVms: () => this.fleet.size,
			getVmCount: () => this.vmCount,
			sendPermitRequest: (to, request) => this.peers.sendPermitRequest(to, request),
			sendPermitResponse: (to, response) => this.peers.sendPermitResponse(to, response),
			onUpdate: () => this.peers.markChanged(),
		});
		const { limits } = this.limitExchange;
		this.limits = limits;
		this.fleetHealth = new FleetHealth({
			clock,
			log,
			random,
			countLiveVms: () => this.fleet.size,
			onUpdate: () => this.peers.markChanged(),
			getEngineId: (ref) => engines.findByRef(ref)?.id,
		});
		this.fleet = new FleetView({
			self: name,
			address: addressOf(listen.peers),
			clock,
			log,
			incarnation: opts.incarnation,
			onNewerConfiguration: (address) => void this.peers.fetchConfiguration(address),
			costs: opts.costs,
			answers: this.fleetHealth,
			getStoreStatus: () => storeSync().getStoreStatus(),
			onStoreStatus: (address, store) => storeSync().handlePeerStatus(address, store),
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
			renewalIntervalMs: () => storeSync().renewalIntervalMs,
			isStoreUnavailable: () => storeSync().isStoreUnavailable,
			onStoreUnreachable: () => storeSync().restart('a renewal failed'),
		});
		this.peers = new PeerExchange({
			clock,
			log,
			self,
			fleet: this.fleet,
			otherVms: () => this.registry.getOthers(),
			seeds: () => this.seeds(),
			configurationText: () => configuration().text,
			applyConfigurationIfNewer: (text, source) => configuration().applyIfNewer(text, source),
			exportEngines: (since) => storeSync().exportEngines(since),
			applyEngines: (text) => engines.applyCopy(text),
			enginesRevision: () => engines.revision,
			meter: opts.meter,
			handleForward: opts.handleForward,
			onUsage: (usage) => duties()?.handleUsage(usage),
			onUsageAck: (ack) => duties()?.handleUsageAck(ack),
			onPermitRequest: (request) => limits.handlePermitRequest(request),
			onPermitResponse: (response) => limits.handlePermitResponse(response),
		});
	}

	/** Size of the fleet, including silent VMs; undefined while unknown. */
	get vmCount(): number | undefined {
		const { fleet, registry, opts } = this;
		return this.fleetSize.count(fleet.size, registry.size, opts.clock.monotonic());
	}

	/** Runs what is due; called several times a second. */
	update(): void {
		this.limitExchange.update();
		this.peers.update();
	}

	/** Removes outdated state; called every second. */
	sweep(): void {
		this.fleet.sweep();
		this.fleetHealth.sweep();
		this.limits.sweep((ref) => this.opts.engines.findByRef(ref) !== undefined);
	}

	/** Hands this VM's roles as issuer and aggregator over to others before a stop. */
	retire(): void {
		this.limits.retire();
		this.peers.retire();
	}

	stop(): void {
		this.limitExchange.stop();
		this.peers.stop();
		this.registry.stop();
	}

	/** Peers to contact before any VM is known. Seeds contain another port of a VM; all VMs use the same ports. */
	private seeds(): HostPort[] {
		const { seeds, listen } = this.opts.settings();
		const hosts = new Set(seeds.map((seed) => seed.host));
		hosts.delete(listen.peers.host);
		return [...hosts].map((host) => ({ host, port: listen.peers.port }));
	}
}
