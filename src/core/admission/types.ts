/**
 * What decides whether a request is let in, and what comes of it.
 * @module
 */
import type { CustomerStanding } from '../fairness/types.js';

/** What awaits a request at the best engine, in milliseconds. */
export interface Awaited {
	/** Until its prompt begins to be read. */
	queueMs: number;
	/** For reading it. */
	ownMs: number;
	/** The median over the engines that it would usually go to: single ones that read nothing more do not count. */
	medianQueueMs: number;
}

/** A request, as it is judged. */
export interface AdmissionAsk {
	awaited: Awaited;
	/** Time within which the first event should come, in milliseconds. */
	targetMs: number;
	/** What is left of its caller's time, in milliseconds. */
	leftMs: number;
	/** 0 is the most urgent. */
	urgency: number;
	/** No route of the service has a less urgent tier. */
	leastUrgent: boolean;
	/** How busy long prompts keep the engines that read them; 0 for a short prompt. */
	busyShare: number;
	/** A number from 0 up to 1, the same when it comes again at once. */
	lot: () => number;
	/**
	 * How much its customer asks for beside its share, when there is room for a part of all refusable work; undefined where
	 * customers are not told apart.
	 */
	standingAt?: (letIn: number) => CustomerStanding;
}

/** Why a request is not let in. */
export const refusalCauses = {
	/** It would wait for too long to be in time. */
	queue: 'queue',
	/** It lies beyond the share of its customer. */
	share: 'share',
	/** It would begin after its deadline. */
	deadline: 'deadline',
	/** No engine takes it now. */
	engines: 'engines',
} as const;
export type RefusalCause = (typeof refusalCauses)[keyof typeof refusalCauses];

export interface AdmissionRefusal {
	cause: RefusalCause;
	/** How its customer stood, where that decided. */
	standing?: CustomerStanding;
}

/** A request that is let in nowhere. */
export interface Refusal extends AdmissionRefusal {
	/** For the log. */
	refusal: string;
	retryAfterS: number;
	/** What decided, where engines could have taken it. */
	awaited?: Awaited;
}
