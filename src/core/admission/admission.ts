/**
 * Decides whether a request of one service is let in, for the load of a burst that brings more prompts than the engines can read. Without
 * it each of them waits until it is late, and those that could have been in time with them. What customers ask for beyond their
 * share gives way first; more urgent tiers, which engines let go first, only when they are of no use any more.
 * @module
 */
import type { AdmissionAsk, AdmissionRefusal } from './types.js';
import { refusalCauses } from './types.js';

/**
 * A request is refused when it would wait for longer than this share of its target. With the whole target as limit 33 % of those
 * taken were in time on fast engines in a replayed overload, and 80 % or more with this.
 */
const longestWait = 0.8;
/**
 * Of the time that a prompt takes itself at most this share of its target counts: the largest ones take longer than
 * their target by themselves, and would be refused by engines that have nothing else to do.
 */
const ownShare = 0.25;
/** Long prompts keep their engines as busy as they can be; beyond this the queue grows as long as the burst lasts. */
const mostBusy = 1;
/** Where customers are not told apart, engines that are that busy refuse from a wait of this share of the target on. */
const busyWait = 0.5;
/**
 * Where they are, room is shared out while the median queue is between these shares of the target; the part that is let in falls
 * evenly from all to none. Below half of the longest wait whoever comes can still be in time.
 */
const sharedFrom = longestWait / 2;
const sharedTo = longestWait;
/** A tier was let in lately when it was so long ago, in milliseconds: callers of one kind see for how long another one is served. */
const latelyMs = 5000;

export class Admission {
	/** When a request was last let in, by urgency, in monotonic milliseconds. */
	private readonly letInAt: number[] = [];

	/** @returns undefined when it is let in */
	refusal(ask: AdmissionAsk, now: number): AdmissionRefusal | undefined {
		const refusal = this.judge(ask, now);
		if (refusal === undefined) {
			this.letInAt[ask.urgency] = now;
		}
		return refusal;
	}

	private judge(ask: AdmissionAsk, now: number): AdmissionRefusal | undefined {
		if (this.isOfNoUse(ask, now)) {
			return { cause: refusalCauses.deadline };
		}
		return ask.leastUrgent ? (overShare(ask) ?? tooLong(ask)) : undefined;
	}

	/**
	 * It would begin after its deadline. A tier must not get nothing while a less urgent one is let in: engines let it go before those, so
	 * the queue decides only where none is.
	 */
	private isOfNoUse({ awaited, leftMs, urgency }: AdmissionAsk, now: number): boolean {
		const lower = this.letInAt.slice(urgency + 1);
		const isLowerLetIn = lower.some((at) => now - at < latelyMs);
		return awaited.queueMs > leftMs && !isLowerLetIn;
	}
}

/** What lies within a customer's share is drawn by lot: alike on all VMs, whatever the others let in at the same moment. */
function overShare(ask: AdmissionAsk): AdmissionRefusal | undefined {
	const queue = ask.awaited.medianQueueMs / ask.targetMs;
	if (!ask.standingAt || queue <= sharedFrom) {
		return undefined;
	}
	const letIn = (sharedTo - queue) / (sharedTo - sharedFrom);
	const standing = ask.standingAt(Math.max(0, letIn));
	return ask.lot() < standing.within ? undefined : { cause: refusalCauses.share, standing };
}

/** Its wait at the best engine. */
function tooLong({
	awaited,
	targetMs,
	busyShare,
	standingAt,
}: AdmissionAsk): AdmissionRefusal | undefined {
	const wait = (awaited.queueMs + Math.min(awaited.ownMs, targetMs * ownShare)) / targetMs;
	const isTooBusy = !standingAt && busyShare > mostBusy && wait > busyWait;
	return wait > longestWait || isTooBusy ? { cause: refusalCauses.queue } : undefined;
}
