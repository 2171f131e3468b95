/**
 * What VMs tell each other about the work they gave to engines.
 * @module
 */

import type { CostSums } from '../engines/cost-model.js';

/** 32 bits that stand for an engine's id in messages. */
export type EngineRef = number;
/** 32 bits that stand for a prompt part's id in messages. */
export type PartRef = number;

/** Work of one VM at one engine, whole, so that a lost message is repaired by the next. */
export interface EngineWork {
	engine: EngineRef;
	/** Requests under way. */
	running: number;
	/** Prompt tokens that are not read yet. */
	promptTokens: number;
	/** Tokens of memory that the requests hold or will hold, parts that others share left out. */
	heldTokens: number;
}

/** An engine reads, or has just read, a part of a prompt. */
export interface PartRead {
	part: PartRef;
	engine: EngineRef;
}

/** Work that callers bring, in engines kept busy by it. */
export interface Demand {
	/** By prompts that are long enough to hold up streams beside them. */
	long: number;
	short: number;
}

/** What a VM that reads the store tells of it. */
export interface StoreNews {
	/** Milliseconds since the store last answered this VM. */
	contactAgeMs: number;
	/** Revision that its list of engines shows. */
	revision: number;
	/** Stands for the whole list of engines; equal lists have equal digests. */
	digest: number;
}

/** One datagram between VMs. */
export interface PeerNews {
	from: string;
	/** Changes with each start of the process. */
	life: number;
	/** Rises with each message; older ones that come late are dropped. */
	seq: number;
	/** Configuration in force at the sender. */
	configurationVersion: number;
	/** The sender's port and address for configurations. */
	address: string;
	/** `work` names all engines with work; else only those that changed. */
	whole: boolean;
	work: EngineWork[];
	reads: PartRead[];
	demand: Demand;
	/** What the sender has seen of the costs of work; now and then. */
	costs?: CostSums[];
	/** Present while the sender reads the store itself. */
	store?: StoreNews;
}
