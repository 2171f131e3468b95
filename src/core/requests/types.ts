/**
 * Types of a caller's request, independent of its transport.
 * @module
 */
import type { RoutingTarget, ServiceClass } from '../configuration/index.js';

/** Outcomes reported to callers. */
export const outcomes = {
	/** The complete answer was sent. */
	complete: 'complete',
	/** No endpoint has received any of the request. */
	notRun: 'not-run',
	/** The request may have run. */
	unknown: 'unknown',
	/** Part of the answer was sent; the rest is lost. */
	incomplete: 'incomplete',
} as const;
export type Outcome = (typeof outcomes)[keyof typeof outcomes];

/** A request held by this daemon. Times are milliseconds of the monotonic clock. */
export interface Request {
	/** Id assigned by the daemon. */
	readonly id: string;
	/** Sequence number on this daemon; identifies the request in messages between daemons. */
	readonly ticket: number;
	readonly cls: ServiceClass;
	readonly customer: string;
	/** Fair-share weight of the customer. */
	readonly weight: number;
	readonly target: RoutingTarget;
	readonly repeatable: boolean;
	readonly idempotencyKey?: string;
	readonly arrivedAt: number;
	/** Target time of the first token. */
	readonly firstTokenBy: number;
	/** The answer is useless after this time. */
	readonly deadlineAt: number;
	/** The request is shed if it has not started by then. */
	readonly queueTimeoutAt: number;
	/** Memory that the request takes up while it is queued. */
	readonly heldBytes: number;
	/** Start of the current wait; later than arrival after a preemption or a broken stream. */
	waitingSince: number;
	/** Tokens that the caller has received; a resumed attempt continues after them. */
	offset: number;
	/** Endpoints that failed this request, with the time until which they are avoided. */
	avoidUntil: Map<string, number>;
}

/** Whether an endpoint failed the request too recently to be tried again. */
export function isAvoided(req: Request, endpoint: string, now: number): boolean {
	return (req.avoidUntil.get(endpoint) ?? Number.NEGATIVE_INFINITY) > now;
}
