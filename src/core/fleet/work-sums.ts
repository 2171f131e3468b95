/**
 * Sums of work at engines, kept up as work is added and taken off.
 * @module
 */
import type { EngineRef, EngineWork } from './types.js';

/** Work that is added to an engine's, or taken off. */
export type WorkChange = Partial<Omit<EngineWork, 'engine'>>;

export class WorkSums {
	private readonly byEngine = new Map<EngineRef, EngineWork>();

	/** Work at an engine, as a copy. */
	of(engine: EngineRef): EngineWork {
		return { ...(this.byEngine.get(engine) ?? emptyWork(engine)) };
	}

	/** @param sign -1 takes the work off */
	add(engine: EngineRef, change: WorkChange, sign = 1): void {
		const sum = this.byEngine.get(engine) ?? emptyWork(engine);
		sum.running += sign * (change.running ?? 0);
		sum.promptTokens += sign * (change.promptTokens ?? 0);
		this.byEngine.set(engine, sum);
	}

	/** Engines that have work, each as a copy. */
	rows(): EngineWork[] {
		const busy = [...this.byEngine.values()].filter(hasWork);
		return busy.map((work) => ({ ...work }));
	}

	removeEngine(engine: EngineRef): void {
		this.byEngine.delete(engine);
	}
}

export function emptyWork(engine: EngineRef): EngineWork {
	return { engine, running: 0, promptTokens: 0 };
}

function hasWork(work: EngineWork): boolean {
	return work.running !== 0 || work.promptTokens !== 0;
}
