/**
 * One engine as this VM knows it: its registration, its health, the work this VM gave it.
 * @module
 */
import { EngineHealth } from './engine-health.js';
import type { EngineEntry } from './types.js';

export class Engine {
	readonly health = new EngineHealth();
	/** Requests of this VM that run there. */
	running = 0;
	/** Prompt tokens of this VM's requests that wait for their first event. */
	promptTokens = 0;
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
