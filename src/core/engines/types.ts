/**
 * What is known of an engine from its own registration.
 * @module
 */

/** One start of an endpoint's process; a restart has another id. */
export interface EngineEntry {
	/** Names this start alone. */
	id: string;
	service: string;
	/** IP number and port. */
	address: string;
	/** Failure domain. */
	domain: string;
	/** Requests that it works on at once. */
	slots: number;
	/** It finishes what it has and takes nothing new. */
	draining: boolean;
	/** It is slow for so much longer after its start, in milliseconds. */
	warmupMs: number;
}
