/**
 * Incrementally updated sums of work per engine.
 * @module
 */
import type { EngineRef, EngineWork } from './types.js';

/** Amounts to add to the work at an engine; negative ones subtract. */
export type WorkChange = Partial<Omit<EngineWork, 'engine'>>;

export class WorkSums {
	private readonly byEngine = new Map<EngineRef, EngineWork>();

	/** Returns a copy of the work at an engine. */
	of(engine: EngineRef): EngineWork {
		return { ...(this.byEngine.get(engine) ?? emptyWork(engine)) };
	}

	/** @param sign -1 subtracts the work */
	add(engine: EngineRef, change: WorkChange, sign = 1): void {
		const sum = this.byEngine.get(engine) ?? emptyWork(engine);
		sum.running += sign * (change.running ?? 0);
		sum.promptTokens += sign * (change.promptTokens ?? 0);
		this.byEngine.set(engine, sum);
	}

	/** Returns copies of the entries that have work. */
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
