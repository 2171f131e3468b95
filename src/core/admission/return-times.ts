/**
 * When refused callers come back, for the load of many that are refused within a moment: told the same time they would return together
 * and be refused again. One after the other, at the rate at which the service can take them, more urgent ones first, and never later than their
 * callers heed.
 * @module
 */

/** Requests that were let through are counted over this time, in milliseconds. */
const countMs = 4000;
/** Rate that is assumed where fewer were let through, in requests a second. */
const leastPerS = 0.5;
/** Nobody is sent away for longer, in milliseconds: load and limits change and end. */
const mostMs = 8000;
/** Callers heed a time to come back up to this share of what they have left. */
const heededShare = 1 / 3;

/** A caller that is sent away. */
export interface ReturnAsk {
	/** Until there can be room, in milliseconds. */
	openMs: number;
	/** How long the service needs for this request, of those that this VM sends it, in milliseconds. */
	spacingMs: number;
	/** 0 is the most urgent. */
	urgency: number;
	/** Its customer asks for more than its share: it comes back behind the others. */
	isOverShare: boolean;
	/** What its caller has left, in milliseconds. */
	leftMs: number;
	/** A number from 0 up to 1, to tell apart callers who come too late for an own time. */
	lot: number;
}

export class ReturnTimes {
	private passed: number[] = [];
	/** When the last one of each rank comes back, in monotonic milliseconds; none waits for one of a later rank. */
	private readonly lastAt: number[] = [];

	/** A request was let through to an engine that names how many it takes. */
	letThrough(now: number): void {
		this.passed = this.passed.filter((at) => now - at < countMs);
		this.passed.push(now);
	}

	/** Time between two requests that were let through, in milliseconds. */
	passSpacingMs(now: number): number {
		const count = this.passed.filter((at) => now - at < countMs).length;
		return 1000 / Math.max(leastPerS, (count * 1000) / countMs);
	}

	/** @returns seconds after which the caller may come back */
	nextS(ask: ReturnAsk, now: number): number {
		const { openMs, spacingMs, leftMs, lot } = ask;
		const rank = ask.urgency * 2 + (ask.isOverShare ? 1 : 0);
		const latestMs = Math.min(mostMs, leftMs * heededShare);
		const before = this.lastAt.slice(0, rank + 1).filter((at) => at !== undefined);
		const returnAt = Math.max(now + openMs, ...before.map((at) => at + spacingMs));
		if (returnAt > now + latestMs) {
			return inSeconds(latestMs * (1 + lot) * 0.5);
		}
		this.lastAt[rank] = returnAt;
		return inSeconds(returnAt - now);
	}
}

/** Rounded up: who comes a moment too soon is refused again. */
function inSeconds(ms: number): number {
	return Math.ceil(ms / 100) / 10;
}
