/**
 * Messages that VMs exchange about engine crashes and the requests that ran there.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import type { ContentHash } from './content-hash.js';

/** Reports that an engine crashed, or that a request ran there when it did. */
export interface CrashReport {
	/** Incarnation of the engine. */
	engine: EngineRef;
	/** Content of the request; undefined when only the crash is reported. */
	content?: ContentHash;
	/** Whether the same content was served since, so that it did not cause the crash. */
	isCleared: boolean;
}

/** Exchange of crash reports through gossip. */
export interface CrashGossip {
	/** Reports for the next gossip message. */
	getReportsToSend(): CrashReport[];
	/** @returns whether any report was new */
	merge(reports: readonly CrashReport[]): boolean;
}
