/**
 * Sums of work at engines, kept up as work is added and taken off.
 * @module
 */
import type { EngineRef, EngineWork } from './types.js';

/** Work that is added to an engine's, or taken off. */
export type WorkChange = Partial<Omit<EngineWork, 'engine'>>;

/** Tokens by which memory is counted, so that sums over VMs stay whole and take few bytes. */
export const memoryBlockTokens = 64;

export class WorkSums {
	private readonly byEngine = new Map<EngineRef, EngineWork>();

	/** Work at an engine, as a copy. */
	of(engine: EngineRef): EngineWork {
		return { ...(this.byEngine.get(engine) ?? noWork(engine)) };
	}

	/** @param sign -1 takes the work off */
	add(engine: EngineRef, change: WorkChange, sign = 1): void {
		const sum = this.byEngine.get(engine) ?? noWork(engine);
		sum.running += sign * (change.running ?? 0);
		sum.promptTokens += sign * (change.promptTokens ?? 0);
		sum.memoryTokens += sign * (change.memoryTokens ?? 0);
		this.byEngine.set(engine, sum);
	}

	/** Engines that have work, each as a copy. */
	rows(): EngineWork[] {
		const busy = [...this.byEngine.values()].filter(hasWork);
		return busy.map((work) => ({ ...work }));
	}

	forget(engine: EngineRef): void {
		this.byEngine.delete(engine);
	}
}

export function noWork(engine: EngineRef): EngineWork {
	return { engine, running: 0, promptTokens: 0, memoryTokens: 0 };
}

/** Whether two say the same of one engine. */
export function isSameWork(one: EngineWork, other: EngineWork): boolean {
	const isRunningAlike = one.running === other.running && one.memoryTokens === other.memoryTokens;
	return isRunningAlike && one.promptTokens === other.promptTokens;
}

function hasWork(work: EngineWork): boolean {
	return !isSameWork(work, noWork(work.engine));
}
