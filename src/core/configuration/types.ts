/**
 * A configuration with its version, as it is kept in the key-value service.
 * @module
 */
import type { Configuration } from './schema.js';

/** What stands under the configuration's key. */
export interface VersionedConfiguration {
	/** Grows by one with each accepted change. */
	version: number;
	/** Random id of the operation that wrote it; settles lost replies. */
	operation: string;
	/** Operator who wrote it. */
	by: string;
	/** Milliseconds since 1970. */
	at: number;
	/** What changed against the version before, in short. */
	changed: string;
	document: Configuration;
}
