/**
 * Interfaces between an entry's queue and the policy that says what may start.
 * @module
 */
import type { ConfigurationView } from '../configuration/index.js';
import type { Request } from '../requests/types.js';
import type { OrderingContext, RequestQueue } from './request-queue.js';

/** A place on an endpoint that a request runs in. */
export interface Slot {
	readonly endpoint: string;
	/** Runs outside the limit, so that its class makes progress. */
	readonly isFloor: boolean;
	readonly startedAt: number;
}

/** What one run on an endpoint showed. Milliseconds. */
export interface RunResult {
	/** Until the first token, if one came. */
	firstTokenMs?: number;
	tokens: number;
	/** Time from the first token to the last. */
	streamedMs: number;
	/** The endpoint could not be reached or broke. */
	failed: boolean;
	/** It ended because it was cut off by this daemon. */
	cancelled: boolean;
}

/** What a policy is given each time it decides. */
export interface SchedulingState {
	now: number;
	cfg: ConfigurationView;
	queue: RequestQueue;
	ordering: OrderingContext;
}

/** A decision to start a request. */
export interface SlotAssignment {
	req: Request;
	slot: Slot;
}

/** Decides which waiting request may start, and where. */
export interface SlotPolicy {
	/** Takes the starts that are possible now; taken requests have left the queue. */
	assignSlots(state: SchedulingState): SlotAssignment[];
	/** Mean milliseconds between a run's newest tokens; called a few times a second at most. */
	recordInterTokenLatency(req: Request, slot: Slot, gapMs: number, now: number): void;
	/** A run has ended. */
	releaseSlot(req: Request, slot: Slot, result: RunResult, now: number): void;
	/** Milliseconds a request of this tier and target would wait; 0 when not known. */
	estimateWaitMs(state: SchedulingState, req: Request): number;
	/** Whether an endpoint may be given work right now; asked again at dispatch. */
	mayDispatch(endpoint: string): boolean;
}
