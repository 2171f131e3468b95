/**
 * What VMs tell each other about requests that were at an engine when it ended.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import type { ContentHash } from './content-hash.js';

/** An engine ended, or a request was at it when it did. */
export interface CrashReport {
	/** One start of an engine. */
	engine: EngineRef;
	/** What the request asked; undefined when the row tells only that the engine ended. */
	content?: ContentHash;
	/** The same content was served since, so it did not end the engine. */
	isCleared: boolean;
}

/** The ledger as the news between VMs need it. */
export interface CrashGossip {
	/** Rows that the next news should tell. */
	getReportsToSend(): CrashReport[];
	/** @returns whether any of them was new */
	merge(rows: readonly CrashReport[]): boolean;
}
