/**
 * Fakes and builders for steps that test single decisions of the relay: clock, routes, registrations, gossip.
 * @module
 */
import { ConnectionLedger } from '../../src/core/connections/connection-ledger.js';
import { deriveLimits, SocketPool } from '../../src/core/connections/connection-limits.js';
import { ReadTurns } from '../../src/core/connections/read-turns.js';
import type { Clock, Log } from '../../src/core/definitions.js';
import { CostModel } from '../../src/core/engines/cost-model.js';
import type { AnswerGossip } from '../../src/core/engines/fleet-health.js';
import { FleetView } from '../../src/core/fleet/fleet-view.js';
import type { EngineRange, GossipMessage } from '../../src/core/fleet/types.js';
import { gossipKinds } from '../../src/core/fleet/types.js';
import type { LimitGossip } from '../../src/core/limits/fleet-limits.js';
import { CrashLedger } from '../../src/core/quarantine/crash-ledger.js';
import type { RelayContext, RequestLimits } from '../../src/core/relay/types.js';
import type { Route, RoutingConfiguration } from '../../src/core/routing/types.js';
import type { ConnectionMeter } from '../../src/infra/connections/metered-server.js';
import * as platform from '../../src/platform/index.js';
import type { FleetWorld } from './world.js';

export const silentLog: Log = { debug() {}, info() {}, warn() {}, error() {} };

/** Returns a deterministic pseudo-random generator over [0, 1). */
export function seededRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
		return state / 2 ** 31;
	};
}

/** A clock that a scenario advances explicitly. */
export class ManualClock {
	now = 1000;

	/** Time for which the VM was suspended, which `monotonic` leaves out. */
	suspendedMs = 0;

	monotonic(): number {
		return this.now;
	}

	sinceBoot(): number {
		return this.now + this.suspendedMs;
	}

	wall(): number {
		return this.now;
	}
}

/** A ledger without crashes. */
export function noCrashes(): CrashLedger {
	return new CrashLedger({ clock: new ManualClock(), onChanged() {}, onLocalChange() {} });
}

/** Limit gossip for a fleet without engine limits. */
export const noLimitGossip: LimitGossip = {
	getUpdatesToSend: () => [],
	getIssuerToSend: () => undefined,
	merge: () => false,
};

/** Answer gossip for a fleet without failing engines. */
export const noAnswerGossip: AnswerGossip = {
	export: () => [],
	merge: () => false,
	removePeer() {},
};

/** Health of a fleet without failing engines. */
export const alwaysHealthy: RelayContext['fleetHealth'] = {
	filterAvailable: (engines) => engines,
	recordFailure() {},
	recordSuccess() {},
};

/** Links of a VM that reaches all engines. */
export const soundLinks: RelayContext['links'] = {
	recordUnreachable() {},
	getRunningCheck: () => undefined,
	isCutOff: () => false,
};

/** Permits of a placement without engine limits. */
export const unlimited = { admits: () => true, isLimited: () => false };

/** Limits of a relayed request without engine limits. */
export const noRequestLimits = {
	ledger: { getLimitPerS: () => undefined, recordLimit() {}, recordNoLimit() {} },
} as unknown as RequestLimits;

export const clocks = new WeakMap<FleetWorld, ManualClock>();

export function clockOf(world: FleetWorld): ManualClock {
	const clock = clocks.get(world) ?? new ManualClock();
	clocks.set(world, clock);
	return clock;
}

export function seen<T>(world: FleetWorld, name: string): T {
	return world.state.get(name) as T;
}

export function route(part: Partial<Route>): Route {
	return {
		name: 'r',
		host: 'a.example',
		pathPrefix: '/',
		repeatability: 'once',
		isStreamed: false,
		isResumable: false,
		timeoutMs: 1000,
		targetMs: 300,
		tier: 0,
		services: [{ service: 'pool', weight: 1 }],
		maxEngines: 1,
		allowsAnonymous: false,
		hasPromptSegments: false,
		...part,
	};
}

export function configuration(part: Partial<RoutingConfiguration>): RoutingConfiguration {
	const limits = { headBytes: 16384, bodyBytes: 1e6, headTimeoutMs: 3000, idleTimeoutMs: 15000 };
	return { version: 1, routes: [], services: [], customers: [], limits, ...part };
}

export function entry(id: string, slots = 48) {
	const rest = { service: 'pool', domain: 'z', draining: false, warmupMs: 0, spot: false };
	return { id, address: `10.0.0.1:${id.length}`, slots, ...rest };
}

/** Registration of an engine as written to the store. */
export const registered = {
	service: 'pool',
	address: '10.0.0.1:80',
	zone: 'z',
	version: 'v1',
	slots: 4,
	state: 'ready',
	'warmup-left-ms': 0,
	sequence: 1,
	born: 1_700_000_000_000,
};

export function registration(id: string, revision: number, part: Record<string, unknown> = {}) {
	const value = JSON.stringify({ ...registered, ...part });
	return { key: `${platform.storeKeys.engines}${id}`, value, revision, lease: 0 };
}

export function newFleetView(world: FleetWorld): FleetView {
	const options = { self: 'vm-1', address: '10.0.0.1:1', incarnation: 1, clock: clockOf(world) };
	const ports = {
		log: silentLog,
		costs: new CostModel(),
		answers: noAnswerGossip,
		onNewerConfiguration() {},
		onStoreStatus() {},
		crashes: noCrashes(),
		limits: noLimitGossip,
	};
	return new FleetView({ ...options, ...ports, getStoreStatus: () => undefined });
}

/** Range that covers every engine. */
export const allEngines: EngineRange = { from: 0, to: 2 ** 32 };

export function gossipMessage(part: Partial<GossipMessage>): GossipMessage {
	return {
		kind: gossipKinds.group,
		from: 'vm-2',
		incarnation: 1,
		seq: 1,
		configurationVersion: 0,
		address: '10.0.0.2:1',
		isLeaving: false,
		intervalMs: 10,
		vmCount: 1,
		engines: allEngines,
		storeReaders: [],
		reportAcks: [],
		crashes: [],
		limits: [],
		work: [],
		cacheUpdates: [],
		demand: { long: 0, short: 0 },
		...part,
	};
}

/** Returns a peer's message about its requests at an engine. */
export function workMessage(
	world: FleetWorld,
	engine: string,
	running: number,
	part: Partial<GossipMessage>,
) {
	const peer = newFleetView(world);
	peer.changeWork(engine, { running });
	return gossipMessage({ work: peer.composeGroup()[0]?.work ?? [], ...part });
}

/** Bounds of a port for callers on a VM of the usual size. */
export function createTestMeter(clock: Clock, heldBytes?: number): ConnectionMeter {
	const machine = { memoryMb: 350, maxDescriptors: 4100 };
	const limits = deriveLimits(machine);
	return {
		ledger: new ConnectionLedger(
			{ ...limits, heldBytes: heldBytes ?? limits.heldBytes },
			new SocketPool(machine),
		),
		turns: new ReadTurns(clock, (callback) => void setImmediate(callback)),
	};
}
