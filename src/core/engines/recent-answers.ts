/**
 * Counts of the answers that one VM had of each engine in the last seconds.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';

/** Answers are remembered for one to two such spans, in milliseconds. */
const spanMs = 1000;

/** Answers of one engine to one VM, or to several. */
export interface EngineAnswerCounts {
	engine: EngineRef;
	failed: number;
	served: number;
	/** VMs that it failed. */
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
	private startedAt: number;

	constructor(private readonly clock: Clock) {
		this.startedAt = clock.monotonic();
	}

	recordFailure(ref: EngineRef): void {
		this.countsOf(ref).failed++;
	}

	recordSuccess(ref: EngineRef): void {
		this.countsOf(ref).served++;
	}

	of(ref: EngineRef): EngineAnswerCounts {
		this.sweep();
		const spans = [this.current.get(ref), this.previous.get(ref)];
		const failed = spans.reduce((sum, span) => sum + (span?.failed ?? 0), 0);
		const served = spans.reduce((sum, span) => sum + (span?.served ?? 0), 0);
		return { engine: ref, failed, served, failingVms: failed > 0 ? 1 : 0 };
	}

	/** Engines that failed a request. */
	failingEngines(): EngineRef[] {
		this.sweep();
		const all = [...this.current, ...this.previous];
		return all.filter(([, { failed }]) => failed > 0).map(([ref]) => ref);
	}

	/** Forgets what is old. */
	sweep(): void {
		const passedMs = this.clock.monotonic() - this.startedAt;
		if (passedMs < spanMs) {
			return;
		}
		this.previous = passedMs < 2 * spanMs ? this.current : new Map();
		this.current = new Map();
		this.startedAt = this.clock.monotonic();
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
