/**
 * Messages between VMs and reports to the platform about usage.
 * @module
 */

/** Number of requests of one customer that started in one window. */
export interface CustomerCount {
	customer: string;
	started: number;
}

/** Part of the counts of one VM for one window so far. Counts never decrease, so parts may arrive repeatedly and in any order. */
export interface UsageCounts {
	vm: string;
	/** Distinguishes processes of the same VM. */
	incarnation: number;
	/** Address for acknowledgements, as IP:PORT. */
	address: string;
	/** Unix milliseconds by the sender's fleet clock. */
	sentAt: number;
	/** Index of the window since the Unix epoch. */
	window: number;
	/** Requests of all customers in the window, including those in other parts. */
	total: number;
	/** The window has ended at the sender, so the total does not change any more. */
	isFinal: boolean;
	counts: CustomerCount[];
}

/** Acknowledges the counts of one process for one window. */
export interface UsageAck {
	/** Process that sent the counts. */
	incarnation: number;
	window: number;
	/** Requests of that process known to the holder. */
	total: number;
	/** Unix milliseconds by the holder's fleet clock; undefined while too few VMs have reported to verify it. */
	time?: number;
}

/** Report to the platform for one window; once sent, its counts never change. */
export interface UsageReport {
	window: number;
	counts: CustomerCount[];
}
