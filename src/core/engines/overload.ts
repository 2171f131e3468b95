/**
 * Load shedding for the least urgent tier, when prompts arrive faster than the engines can read them. Without it, all requests
 * would miss their targets. More urgent requests are never refused, as engines serve them first.
 * @module
 */

/**
 * Maximum expected wait as a share of the target; below 1, so that accepted requests still meet their targets. With the whole
 * target, a third of those accepted met it in a replayed overload; with this share, 80 % or more.
 */
const maxWaitShare = 0.8;
/**
 * Upper bound, as a share of the target, for how much the reading of the prompt itself counts. Otherwise even idle engines would
 * refuse prompts that take longer than their target to read.
 */
const maxOwnReadingShare = 0.25;
/** Utilization of the long-prompt pool above which its queues keep growing. */
const maxUtilization = 1;
/** Maximum wait as a share of the target while the long-prompt pool is above that utilization. */
const maxWaitShareWhenBusy = 0.5;
/** Seconds after which a refused caller may retry; a full queue drains faster once the burst ends. */
export const refusalRetryAfterS = 1;

/** Expected delay of a request at its best engine, in milliseconds. */
export interface ExpectedWait {
	/** Until its prompt starts to be read. */
	queueMs: number;
	/** For reading the prompt. */
	ownReadingMs: number;
}

/**
 * Whether a request of the least urgent tier should be refused.
 * @param targetMs time within which the first event should arrive
 * @param utilization of the long-prompt pool; 0 for a short prompt
 */
export function shouldRefuse(
	expected: ExpectedWait,
	targetMs: number,
	utilization: number,
): boolean {
	const waitMs = expected.queueMs + Math.min(expected.ownReadingMs, targetMs * maxOwnReadingShare);
	const maxShare = utilization > maxUtilization ? maxWaitShareWhenBusy : maxWaitShare;
	return waitMs > targetMs * maxShare;
}
