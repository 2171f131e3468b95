/**
 * One engine as this VM knows it: its registration, its health.
 * @module
 */
import { EngineHealth } from './engine-health.js';
import type { EngineEntry } from './types.js';

export class Engine {
	readonly health = new EngineHealth();
	/** Missing in the store since its return; usable until then, in monotonic milliseconds. */
	missingUntil?: number;

	constructor(public entry: EngineEntry) {}

	get id(): string {
		return this.entry.id;
	}

	/** Whether it may be given new work at all. */
	isOffered(now: number): boolean {
		const present = this.missingUntil === undefined || now < this.missingUntil;
		return present && !this.entry.draining;
	}
}
