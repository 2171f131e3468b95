/**
 * Gossip messages in which VMs exchange their work at engines and their state of the fleet.
 * @module
 */

import type { CostSums } from '../engines/cost-model.js';
import type { ServicePaceSums } from '../engines/engine-paces.js';
import type { EngineAnswerCounts } from '../engines/recent-answers.js';
import type { IssuerAnnouncement, LimitUpdate } from '../limits/types.js';
import type { CrashReport } from '../quarantine/types.js';

/** 32-bit hash that identifies an incarnation of an engine. */
export type EngineRef = number;
/** 32-bit hash of a VM's name. */
export type VmRef = number;
/** 32-bit hash of a prompt segment's id. */
export type SegmentRef = number;

/** Work of one or more VMs at an engine. */
export interface EngineWork {
	engine: EngineRef;
	/** Requests in flight. */
	running: number;
	/** Prompt tokens that are not prefilled yet. */
	promptTokens: number;
}

/** States that an engine prefills a prompt segment, or has done so. */
export interface CacheUpdate {
	segment: SegmentRef;
	engine: EngineRef;
	/** The segment is in the engine's prefix cache, so other engines can copy it. */
	isPrefilled: boolean;
}

/** Work that arrives from callers, as the number of engines it keeps busy. */
export interface Demand {
	/** From prompts long enough to delay streams on the same engine. */
	long: number;
	short: number;
}

/** State of the store as seen by a VM that reads it. */
export interface StoreStatus {
	/** Milliseconds since the store last answered this VM. */
	contactAgeMs: number;
	/** Store revision of the VM's list of engines. */
	revision: number;
	/** Digest of the list of engines; equal lists have equal digests. */
	digest: number;
	/** Fencing token of the fleet-wide duty; 0 while the VM does not hold it. */
	dutyToken: number;
}

/** A VM that reads the store, with its view of it. */
export interface StoreReader extends StoreStatus {
	/** Where the VM serves copies of what it read, as IP:PORT. */
	address: string;
}

/** Scope of a gossip message. */
export const gossipKinds = {
	/** A VM's own work, sent to its aggregator. */
	report: 'report',
	/** Sums over an aggregator and its members, sent to the other aggregators. */
	group: 'group',
	/** Sums over the whole fleet, sent to the sender's members. */
	fleet: 'fleet',
} as const;
export type GossipKind = (typeof gossipKinds)[keyof typeof gossipKinds];

/** Half-open range of engine hashes that a message covers. */
export interface EngineRange {
	from: EngineRef;
	/** Exclusive. */
	to: EngineRef;
}

/** Acknowledges the last report that an aggregator merged from a VM. */
export interface ReportAck {
	vm: VmRef;
	seq: number;
}

/** One gossip datagram. It holds the full state of the engines it covers, so the next one makes up for a lost one. */
export interface GossipMessage {
	kind: GossipKind;
	from: string;
	/** Identifies the process start; changes with each restart. */
	incarnation: number;
	/** Increases with each round of the sender; receivers drop older messages. */
	seq: number;
	/** Configuration in force at the sender. */
	configurationVersion: number;
	/** Where the sender receives gossip and serves configurations and engines, as IP:PORT. */
	address: string;
	/** The sender stops or moves to another aggregator. */
	isLeaving: boolean;
	/** Interval between the sender's messages under load, in milliseconds. */
	intervalMs: number;
	/** Number of VMs that the sums include. */
	vmCount: number;
	engines: EngineRange;
	/** Engines of the range that have work. */
	work: EngineWork[];
	cacheUpdates: CacheUpdate[];
	demand: Demand;
	/** Cost estimates; not in every message. */
	costs?: CostSums[];
	/** Recent answers of engines that fail requests; complete, in one datagram of a round. */
	answers?: EngineAnswerCounts[];
	/** Recent paces of single engines; not in every message. */
	paces?: ServicePaceSums[];
	/** VMs that recently had an answer from the store. */
	storeReaders: StoreReader[];
	/** Reports that the sums include. */
	reportAcks: ReportAck[];
	/** Engines that ended, and the contents they were processing. */
	crashes: CrashReport[];
	/** Requests per second that engines accept from all VMs together. */
	limits: LimitUpdate[];
	/** The VM that issues permits for the limits; undefined while no limit is in force. */
	issuer?: IssuerAnnouncement;
}
