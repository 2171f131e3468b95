/**
 * Messages between daemons that hold slots and the owners of endpoints. Each message carries the
 * full state, so that lost, duplicated and reordered messages are harmless.
 * @module
 */

/**
 * 16-bit hash of the name of a class or customer. Customers whose hashes collide share one fair
 * share; validation of the configuration refuses classes whose hashes collide.
 */
export type NameHash = number;

/** A waiting request, sent to an endpoint's owner to get a slot. */
export interface SlotRequest {
	/** Identifies the request on its daemon. */
	ticket: number;
	tier: number;
	classHash: NameHash;
	customerHash: NameHash;
	/** Time left until the first token is due, measured when the report is sent. */
	slackMs: number;
	/** The request can no longer meet its first-token target. */
	isLate: boolean;
	/** Time that the request has waited. */
	waitedMs: number;
	/** The owner should preempt a run of a lower tier. */
	requestsPreemption: boolean;
}

/** A slot whose request runs on the endpoint. */
export interface RunningSlot {
	ticket: number;
	tier: number;
	classHash: NameHash;
	customerHash: NameHash;
	isFloor: boolean;
	isPreemptable: boolean;
}

/** Measurements of an endpoint by one daemon since its previous report. */
export interface EndpointObservations {
	completions: number;
	failures: number;
	/** Mean time between tokens; 0 without a sample. */
	interTokenMs: number;
	/** Strictest inter-token target among the sampled requests. */
	interTokenTargetMs: number;
}

/** State of one slot holder on one endpoint, sent to the endpoint's owner. */
export interface HolderReport {
	endpoint: string;
	/** Increases with each report of this holder on this endpoint. */
	seq: number;
	/** Latest owner epoch known to the holder; 0 for none. */
	epoch: number;
	/** Latest grant that the holder has applied. */
	lastGrantId: number;
	running: RunningSlot[];
	/** Unused slots that the holder keeps. */
	idleSlots: number;
	/** The waiting requests of highest priority, and the first of each class. */
	slotRequests: SlotRequest[];
	/** Number of waiting requests by tier. */
	waitingByTier: [tier: number, count: number][];
	observations: EndpointObservations;
	/** Latest limit received from an owner, which a new owner inherits; 0 for none. */
	knownLimit: number;
}

/** Permission to use one slot. */
export interface Grant {
	/** Increases by one with each grant to the same holder within an epoch. */
	id: number;
	/** Only requests of this or a higher tier may use the slot. */
	tier: number;
	/** Class whose floor the slot serves, outside the limit. */
	floorClass?: NameHash;
}

/** State of an endpoint's owner, sent to one slot holder. */
export interface OwnerReply {
	endpoint: string;
	/** Identifies the ownership period; the highest epoch wins. */
	epoch: number;
	/** Latest report that the owner has applied. */
	reportSeq: number;
	/** All grants that the holder has not confirmed. */
	grants: Grant[];
	/** Maximum number of unused slots that the holder may keep. */
	maxIdleSlots: number;
	/** Requests wait, so the holder returns each slot when its run ends. */
	isContended: boolean;
	/** Tickets of the runs to preempt. */
	preemptTickets: number[];
	limit: number;
	/** Slots in use within the limit. */
	usedSlots: number;
	/** Completed requests per second over all holders. */
	completionsPerS: number;
	/** Number of waiting requests by tier over all holders. */
	waitingByTier: [tier: number, count: number][];
	/** Lowest tier among the preemptable runs; 0 for none. */
	lowestPreemptableTier: number;
	/** The endpoint accepts no new work. */
	isUnavailable: boolean;
}
