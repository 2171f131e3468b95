/**
 * A caller's request as the daemon's logic sees it.
 * @module
 */
import type { ServiceClass, Target } from '../configuration/index.js';

/** Outcomes told to callers. */
export const outcomes = {
	/** The whole answer was given. */
	complete: 'complete',
	/** Nothing reached an endpoint. */
	notRun: 'not-run',
	/** It may have run. */
	unknown: 'unknown',
	/** A part of the answer was given, and it could not go on. */
	incomplete: 'incomplete',
} as const;
export type Outcome = (typeof outcomes)[keyof typeof outcomes];

/** Times are milliseconds of the daemon's monotonic clock. */
export interface Request {
	/** The daemon's own id. */
	readonly id: string;
	/** Number of the request on this daemon; names it between daemons. */
	readonly ticket: number;
	readonly cls: ServiceClass;
	readonly customer: string;
	/** Share of the customer beside others. */
	readonly weight: number;
	readonly target: Target;
	readonly repeatable: boolean;
	/** Idempotency key, where the caller gave one. */
	readonly idempotencyKey?: string;
	readonly arrivedAt: number;
	/** The first token is in time until then. */
	readonly firstTokenBy: number;
	/** The answer is of no use after that. */
	readonly deadlineAt: number;
	/** Without a start until then it is given up. */
	readonly queueTimeoutAt: number;
	/** Bytes kept while it waits. */
	readonly heldBytes: number;
	/** Since when it waits; later than arrival after a preemption or a broken stream. */
	waitingSince: number;
	/** Tokens that the caller has; above 0 after a resume. */
	offset: number;
	/** Endpoints that failed it, and until when they are not asked again. */
	avoidUntil: Map<string, number>;
}

/** Whether a request passes over an endpoint that has just failed it. */
export function isAvoided(req: Request, endpoint: string, now: number): boolean {
	return (req.avoidUntil.get(endpoint) ?? Number.NEGATIVE_INFINITY) > now;
}
