/**
 * A configuration with its version, as stored in the key-value service.
 * @module
 */
import type { Configuration } from './schema.js';

/** Value stored under the configuration's key. */
export interface VersionedConfiguration {
	/** Increases by one with each accepted change. */
	version: number;
	/** Random id of the write; identifies it when its reply was lost. */
	operation: string;
	/** Operator who wrote it. */
	by: string;
	/** Time of the write, in Unix milliseconds. */
	at: number;
	/** Short description of the changes since the previous version. */
	changed: string;
	document: Configuration;
}
