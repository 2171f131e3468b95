/**
 * What VMs tell each other about the work they gave to engines.
 * @module
 */

import type { CostSums } from '../engines/cost-model.js';
import type { SpeedSums } from '../engines/engine-speeds.js';
import type { EngineAnswers } from '../engines/recent-answers.js';
import type { IssuerAnnouncement, LimitUpdate } from '../limits/types.js';
import type { CrashReport } from '../quarantine/types.js';

/** 32 bits that stand for an engine's id in messages. */
export type EngineRef = number;
/** 32 bits that stand for a VM's name in messages. */
export type VmRef = number;
/** 32 bits that stand for a prompt part's id in messages. */
export type SegmentRef = number;

/** Work of one VM, or several, at one engine. */
export interface EngineWork {
	engine: EngineRef;
	/** Requests under way. */
	running: number;
	/** Prompt tokens that are not read yet. */
	promptTokens: number;
}

/** An engine will read a part of a prompt, or has read it. */
export interface CacheUpdate {
	segment: SegmentRef;
	engine: EngineRef;
	/** It has: other engines can copy the part from it. */
	isPrefilled: boolean;
}

/** Work that callers bring, in engines kept busy by it. */
export interface Demand {
	/** By prompts that are long enough to hold up streams beside them. */
	long: number;
	short: number;
}

/** What a VM that reads the store tells of it. */
export interface StoreStatus {
	/** Milliseconds since the store last answered this VM. */
	contactAgeMs: number;
	/** Revision that its list of engines shows. */
	revision: number;
	/** Stands for the whole list of engines; equal lists have equal digests. */
	digest: number;
	/** Fencing token under which it acts for the whole fleet; 0 while it does not. */
	dutyToken: number;
}

/** A VM that reads the store, and what it tells. */
export interface StoreReader extends StoreStatus {
	/** Where it serves copies of what it read, as IP:PORT. */
	address: string;
}

/** What a datagram between VMs speaks for. */
export const gossipKinds = {
	/** A VM's own work, for its aggregator. */
	report: 'report',
	/** Sums of an aggregator and the VMs that report to it, for the other aggregators. */
	group: 'group',
	/** Sums of the whole fleet, for the VMs that report to the sender. */
	fleet: 'fleet',
} as const;
export type GossipKind = (typeof gossipKinds)[keyof typeof gossipKinds];

/** Engines that a datagram speaks for: those from one number up to, but not with, another. */
export interface EngineRange {
	from: EngineRef;
	to: EngineRef;
}

/** The last report that an aggregator has taken in of a VM. */
export interface ReportAck {
	vm: VmRef;
	seq: number;
}

/** One datagram between VMs: whole state of the engines that it speaks for, so that a lost one is repaired by the next. */
export interface GossipMessage {
	kind: GossipKind;
	from: string;
	/** Changes with each start of the process. */
	incarnation: number;
	/** Rises with each moment that is told; older ones that come late are dropped. */
	seq: number;
	/** Configuration in force at the sender. */
	configurationVersion: number;
	/** The sender's port and address for news, configurations and engines. */
	address: string;
	/** The sender stops, or will report to another VM. */
	isLeaving: boolean;
	/** Time between two news of the sender under load, in milliseconds. */
	intervalMs: number;
	/** VMs that it speaks for. */
	vmCount: number;
	engines: EngineRange;
	/** Engines of the range that have work. */
	work: EngineWork[];
	cacheUpdates: CacheUpdate[];
	demand: Demand;
	/** What is known of the costs of work; now and then. */
	costs?: CostSums[];
	/** Answers of engines that failed requests lately; whole, in one datagram of a moment. */
	answers?: EngineAnswers[];
	/** What was lately seen of single engines' speed; several times a second. */
	speeds?: SpeedSums[];
	/** VMs that the store answered lately. */
	storeReaders: StoreReader[];
	/** Reports that the sums contain. */
	reportAcks: ReportAck[];
	/** Engines that ended, and contents that were there then. */
	crashes: CrashReport[];
	/** Requests a second that engines take from all VMs together. */
	limits: LimitUpdate[];
	/** The VM that issues permits for them; undefined while no limit is in force. */
	issuer?: IssuerAnnouncement;
}
