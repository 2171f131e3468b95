/**
 * Messages between entries and owners of endpoints. Both carry whole state, not changes: a lost,
 * doubled or reordered message does no harm, the next one says it all again.
 * @module
 */

/**
 * Names of classes and customers stand as 16-bit hashes in messages. Two customers that share one
 * share a fair share, too; the configuration's check refuses classes that do.
 */
export type NameHash = number;

/** A waiting request, as an owner sees it. */
export interface SlotRequest {
	/** Number of the request on its daemon. */
	ticket: number;
	tier: number;
	classHash: NameHash;
	customerHash: NameHash;
	/** Milliseconds until the first token is due, at sending. */
	slackMs: number;
	/** The first-token target can no longer be met. */
	isLate: boolean;
	/** Milliseconds that it waits already. */
	waitedMs: number;
	/** Asks that lower work be preempted on this endpoint. */
	requestsPreemption: boolean;
}

/** A request that runs on the endpoint. */
export interface RunningSlot {
	ticket: number;
	tier: number;
	classHash: NameHash;
	customerHash: NameHash;
	isFloor: boolean;
	isPreemptable: boolean;
}

/** What an entry saw of an endpoint since its last report. */
export interface EndpointObservations {
	completions: number;
	failures: number;
	/** Mean time between tokens; 0 when no token was seen. */
	interTokenMs: number;
	/** Strictest target between tokens among the requests seen, in milliseconds. */
	interTokenTargetMs: number;
}

/** State of one entry on one endpoint, sent to the endpoint's owner. */
export interface HolderReport {
	endpoint: string;
	/** Grows with each report of this entry on this endpoint. */
	seq: number;
	/** Owner's epoch that the entry knows; 0 for none. */
	epoch: number;
	/** Last grant that the entry has taken in. */
	lastGrantId: number;
	running: RunningSlot[];
	/** Slots held unused. */
	idleSlots: number;
	/** The best waiting requests, and the first of each class. */
	slotRequests: SlotRequest[];
	/** Waiting requests by tier. */
	waitingByTier: [tier: number, count: number][];
	observations: EndpointObservations;
	/** Limit as last heard, for an owner that is new. */
	knownLimit: number;
}

/** One slot given. */
export interface Grant {
	/** Grows by one with each grant of an epoch to one entry. */
	id: number;
	/** Work of this or a higher tier may use it. */
	tier: number;
	/** Class whose minimum this slot serves; it is outside the limit. */
	floorClass?: NameHash;
}

/** State of an endpoint's owner towards one entry. */
export interface OwnerReply {
	endpoint: string;
	/** Names the owner's term; a higher one wins. */
	epoch: number;
	/** Last report taken in. */
	reportSeq: number;
	/** Every grant that the entry has not confirmed. */
	grants: Grant[];
	/** The entry may keep this many unused slots. */
	maxIdleSlots: number;
	/** Slots that end are given back at once. */
	isContended: boolean;
	/** Requests to cut off, by ticket. */
	preemptTickets: number[];
	limit: number;
	/** Slots in use of the limit. */
	usedSlots: number;
	/** Requests ended a second, over all entries. */
	completionsPerS: number;
	/** Waiting requests by tier, over all entries. */
	waitingByTier: [tier: number, count: number][];
	/** Lowest tier that runs and may be preempted; 0 for none. */
	lowestPreemptableTier: number;
	/** The endpoint takes no work. */
	isUnavailable: boolean;
}
