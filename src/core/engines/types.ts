/**
 * What is known of an engine from its own registration.
 * @module
 */

/** One start of an endpoint's process; a later one may have the same id. */
export interface EngineRegistration {
	id: string;
	/** When this start was, in Unix milliseconds of the endpoint's own clock; undefined where it does not tell. */
	bornAt?: number;
	service: string;
	/** IP number and port. */
	address: string;
	/** Failure domain. */
	domain: string;
	/** Requests that it works on at once. */
	slots: number;
	/** It finishes what it has and takes nothing new. */
	draining: boolean;
	/** It costs less than others, and may be taken away at short notice. */
	spot: boolean;
	/** It is slow for so much longer after its start, in milliseconds. */
	warmupMs: number;
}
