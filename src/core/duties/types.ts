/**
 * What the VMs tell each other, and the platform, where one VM at a time acts for all.
 * @module
 */

/** Requests of one customer that began to run in one window. */
export interface CustomerCount {
	customer: string;
	started: number;
}

/** Part of what one VM has counted of one window so far. Counts only rise, so parts may come in any order, or again. */
export interface UsageCounts {
	vm: string;
	/** Tells this process from an earlier one of the same VM. */
	incarnation: number;
	/** Where the sender hears answers, as IP:PORT. */
	address: string;
	/** When it was sent, in Unix milliseconds by the sender's estimate. */
	sentAt: number;
	/** Number of the window since 1970. */
	window: number;
	/** Requests of all customers in the window, those in other parts included. */
	total: number;
	/** The window is over at the sender: the total will not change. */
	isFinal: boolean;
	counts: CustomerCount[];
}

/** The holder of the duty has taken in what a VM counted of a window. */
export interface UsageAck {
	/** The process that counted. */
	incarnation: number;
	window: number;
	/** Requests of that process that the holder knows of. */
	total: number;
	/** Unix milliseconds by the holder's estimate; undefined while it has heard too few VMs to be sure. */
	time?: number;
}

/** What is reported to the platform for one window, never with other counts again. */
export interface UsageReport {
	window: number;
	counts: CustomerCount[];
}
