/**
 * Interfaces between a daemon's request queue and the policy that assigns slots to requests.
 * @module
 */
import type { ConfigurationView } from '../configuration/index.js';
import type { Request } from '../requests/types.js';
import type { OrderingContext, RequestQueue } from './request-queue.js';

/** Capacity of an endpoint to run one request. */
export interface Slot {
	readonly endpoint: string;
	/** Reserved for the class of the request, outside the endpoint's limit. */
	readonly isFloor: boolean;
	readonly startedAt: number;
}

/** Measurements of one run on an endpoint. */
export interface RunResult {
	/** Time until the first token; undefined if none arrived. */
	firstTokenMs?: number;
	tokens: number;
	/** Time from the first to the last token. */
	streamedMs: number;
	/** The endpoint was unreachable or broke off the response. */
	failed: boolean;
	/** This daemon ended the run. */
	cancelled: boolean;
}

/** Input of a scheduling decision. */
export interface SchedulingState {
	now: number;
	cfg: ConfigurationView;
	queue: RequestQueue;
	ordering: OrderingContext;
}

/** A request and the slot in which it starts. */
export interface SlotAssignment {
	req: Request;
	slot: Slot;
}

/** Decides which waiting requests start, and on which endpoints. */
export interface SlotPolicy {
	/** Assigns free slots to waiting requests and removes these from the queue. */
	assignSlots(state: SchedulingState): SlotAssignment[];
	/** Records the mean time between the latest tokens of a run; called a few times per second. */
	recordInterTokenLatency(req: Request, slot: Slot, interTokenMs: number, now: number): void;
	/** Releases the slot of a run that has ended. */
	releaseSlot(req: Request, slot: Slot, result: RunResult, now: number): void;
	/** Estimated wait of a request with this tier and target; 0 if unknown. */
	estimateWaitMs(state: SchedulingState, req: Request): number;
	/** Whether the endpoint accepts work; checked again at dispatch. */
	mayDispatch(endpoint: string): boolean;
}
