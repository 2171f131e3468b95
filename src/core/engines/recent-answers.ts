/**
 * Counts recent answers of each engine to this VM over a sliding window.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';

/** Answers count for one to two windows of this length, in milliseconds. */
const windowMs = 1000;

/** Counts of the answers of one engine to one or several VMs. */
export interface EngineAnswerCounts {
	engine: EngineRef;
	failed: number;
	served: number;
	/** Number of VMs that saw a failure. */
	failingVms: number;
}

export function emptyAnswerCounts(engine: EngineRef): EngineAnswerCounts {
	return { engine, failed: 0, served: 0, failingVms: 0 };
}

export function addAnswerCounts(
	to: EngineAnswerCounts,
	other: EngineAnswerCounts | undefined,
): void {
	to.failed += other?.failed ?? 0;
	to.served += other?.served ?? 0;
	to.failingVms += other?.failingVms ?? 0;
}

export function areCountsEqual(
	one: EngineAnswerCounts,
	other: EngineAnswerCounts | undefined,
): boolean {
	return (
		one.failed === other?.failed &&
		one.served === other.served &&
		one.failingVms === other.failingVms
	);
}

interface Counts {
	failed: number;
	served: number;
}

export class RecentAnswers {
	private current = new Map<EngineRef, Counts>();
	private previous = new Map<EngineRef, Counts>();
	private windowStartedAt: number;

	constructor(private readonly clock: Clock) {
		this.windowStartedAt = clock.monotonic();
	}

	recordFailure(ref: EngineRef): void {
		this.countsOf(ref).failed++;
	}

	recordSuccess(ref: EngineRef): void {
		this.countsOf(ref).served++;
	}

	of(ref: EngineRef): EngineAnswerCounts {
		this.sweep();
		const windows = [this.current.get(ref), this.previous.get(ref)];
		const failed = windows.reduce((sum, counts) => sum + (counts?.failed ?? 0), 0);
		const served = windows.reduce((sum, counts) => sum + (counts?.served ?? 0), 0);
		return { engine: ref, failed, served, failingVms: failed > 0 ? 1 : 0 };
	}

	/** Engines with at least one failure. */
	failingEngines(): EngineRef[] {
		this.sweep();
		const all = [...this.current, ...this.previous];
		return all.filter(([, { failed }]) => failed > 0).map(([ref]) => ref);
	}

	/** Rotates the windows when the current one is over. */
	sweep(): void {
		const elapsedMs = this.clock.monotonic() - this.windowStartedAt;
		if (elapsedMs < windowMs) {
			return;
		}
		this.previous = elapsedMs < 2 * windowMs ? this.current : new Map();
		this.current = new Map();
		this.windowStartedAt = this.clock.monotonic();
	}

	private countsOf(ref: EngineRef): Counts {
		this.sweep();
		let counts = this.current.get(ref);
		if (!counts) {
			counts = { failed: 0, served: 0 };
			this.current.set(ref, counts);
		}
		return counts;
	}
}
