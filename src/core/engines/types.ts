/**
 * Registration of an engine in the store.
 * @module
 */

/** One incarnation of an engine; a later one may have the same id. */
export interface EngineRegistration {
	id: string;
	/** Start time in Unix milliseconds of the engine's own clock; undefined where it is not registered. */
	bornAt?: number;
	service: string;
	/** IP address and port. */
	address: string;
	/** Failure domain. */
	domain: string;
	/** Maximum number of concurrent requests. */
	slots: number;
	/** It finishes its requests and accepts no new ones. */
	draining: boolean;
	/** It runs on spot capacity, which is cheaper but may be withdrawn at short notice. */
	spot: boolean;
	/** Remaining warm-up time during which it is slow, in milliseconds. */
	warmupMs: number;
}
