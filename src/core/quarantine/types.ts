/**
 * Messages that VMs exchange about engine crashes and the requests that ran there.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import type { Trait } from './traits.js';

/** Reports that an engine crashed, or that a request with a trait ran there when it did. */
export interface CrashReport {
	/** Incarnation of the engine. */
	engine: EngineRef;
	/** Undefined when only the crash is reported. */
	trait?: Trait;
	/** Whether a request with the trait was served since, so that it did not cause the crash. */
	isCleared: boolean;
	/** How long ago the request failed, in milliseconds. */
	ageMs: number;
}

/** Exchange of crash reports through gossip. */
export interface CrashGossip {
	/** Reports for the next gossip message. */
	getReportsToSend(): CrashReport[];
	/** @returns whether any report was new */
	merge(reports: readonly CrashReport[]): boolean;
}
