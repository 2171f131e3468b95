/**
 * One engine as this VM knows it: its registration, its health.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import * as rendezvous from '../membership/rendezvous.js';
import { EngineHealth } from './engine-health.js';
import type { EngineEntry } from './types.js';

export class Engine {
	/** 32 bits that stand for it in messages and maps. */
	readonly ref: EngineRef;
	readonly health = new EngineHealth();
	/** Missing in the store since its return; usable until then, in monotonic milliseconds. */
	missingUntil?: number;

	constructor(public entry: EngineEntry) {
		this.ref = rendezvous.hashText(entry.id);
	}

	get id(): string {
		return this.entry.id;
	}

	/** Whether it may be given new work at all. */
	isOffered(now: number): boolean {
		const present = this.missingUntil === undefined || now < this.missingUntil;
		return present && !this.entry.draining;
	}
}
