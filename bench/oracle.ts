/**
 * Test oracle: checks the timeline of a run for priority inversions and starved classes,
 * independently of how the router decides.
 * @module
 */
import { callFailures } from '../src/core/definitions.js';
import type { TimelineEvent } from '../src/core/timeline/index.js';
import { eventKinds } from '../src/core/timeline/index.js';

/** Lower-tier starts within this time after a request's arrival do not count as overtaking it. */
const startToleranceMs = 150;
/** How long a request avoids an endpoint after a failure there. */
const failedEndpointAvoidanceMs = 1200;
/** Window in which every class with waiting requests must make progress. */
const windowMs = 10_000;
const windowStepMs = 1000;

export interface Findings {
	/** Requests shed although lower-tier requests started on endpoints that could have served them. */
	shedForLower: number;
	/** Requests, shed or not, that waited while lower-tier requests started. */
	overtaken: number;
	/** Preemptions while no higher-tier request was in progress. */
	preemptedForLower: number;
	preempted: number;
	resumed: number;
	/** Windows in which a class had a waiting request but made no progress, as `CLASS@SECOND`. */
	starvedWindows: string[];
}

interface RequestHistory {
	tier: number;
	className: string;
	queuedAtMs: number;
	endedAtMs: number;
	firstTokenAtMs: number;
	isShed: boolean;
	/** End of the interval that is checked if the request was shed on arrival. */
	deadlineAtMs: number;
	/** Intervals in which the request waited for a slot. */
	queueIntervals: { from: number; until: number }[];
	/** Failed attempts; the request avoids the endpoint for a while afterwards. */
	failures: { endpoint: string; atMs: number }[];
}

export function checkTimeline(
	events: readonly TimelineEvent[],
	deadlines: ReadonlyMap<string, number>,
	endpoints: ReadonlySet<string>,
): Findings {
	const histories = collectHistories(events, deadlines);
	const starts = findServedStarts(events).filter(
		(event) => !event.floor && endpoints.has(event.endpoint ?? ''),
	);
	const shed = [...histories.values()].filter((history) => history.isShed);
	const preemptions = events.filter((event) => event.kind === eventKinds.requestPreempted);
	return {
		shedForLower: shed.filter((history) => isOvertaken(history, starts)).length,
		overtaken: [...histories.values()].filter((history) => isOvertaken(history, starts)).length,
		preemptedForLower: preemptions.filter((event) => !isHigherTierActive(event, histories)).length,
		preempted: preemptions.length,
		resumed: events.filter((event) => event.kind === eventKinds.requestResumed).length,
		starvedWindows: findStarvedWindows(events, histories),
	};
}

/** Returns the starts whose endpoint could be reached. */
function findServedStarts(events: readonly TimelineEvent[]): TimelineEvent[] {
	const starts = new Set<TimelineEvent>();
	const last = new Map<string, TimelineEvent>();
	for (const event of events) {
		const id = event.request ?? '';
		if (event.kind === eventKinds.requestStarted) {
			starts.add(event);
			last.set(id, event);
		} else if (isSendFailure(event)) {
			const unservedStart = last.get(id);
			if (unservedStart) {
				starts.delete(unservedStart);
			}
		}
	}
	return [...starts];
}

function isSendFailure(event: TimelineEvent): boolean {
	const isFailure = event.kind === eventKinds.requestFailed;
	return isFailure && event.reason?.startsWith(callFailures.notSent) === true;
}

function collectHistories(
	events: readonly TimelineEvent[],
	deadlines: ReadonlyMap<string, number>,
): Map<string, RequestHistory> {
	const histories = new Map<string, RequestHistory>();
	for (const event of events) {
		const id = event.request ?? '';
		if (event.kind === eventKinds.requestQueued) {
			histories.set(id, createHistory(event, deadlines));
		} else {
			const history = histories.get(id);
			if (history) {
				applyEvent(history, event);
			}
		}
	}
	return histories;
}

function createHistory(
	event: TimelineEvent,
	deadlines: ReadonlyMap<string, number>,
): RequestHistory {
	const atMs = event.time.wall;
	const cls = event.cls ?? '';
	return {
		tier: event.tier ?? 0,
		className: cls,
		queuedAtMs: atMs,
		endedAtMs: Infinity,
		firstTokenAtMs: Infinity,
		isShed: false,
		deadlineAtMs: atMs + (deadlines.get(cls) ?? 0),
		queueIntervals: [{ from: atMs, until: Infinity }],
		failures: [],
	};
}

function applyEvent(history: RequestHistory, event: TimelineEvent): void {
	const atMs = event.time.wall;
	const last = history.queueIntervals.at(-1);
	switch (event.kind) {
		case eventKinds.requestStarted:
			if (last) {
				last.until = Math.min(last.until, atMs);
			}
			break;
		case eventKinds.requestPreempted:
		case eventKinds.requestResumed:
			history.queueIntervals.push({ from: atMs, until: Infinity });
			break;
		case eventKinds.requestFailed:
			history.failures.push({ endpoint: event.endpoint ?? '', atMs });
			break;
		case eventKinds.requestFirstToken:
			history.firstTokenAtMs = Math.min(history.firstTokenAtMs, atMs);
			break;
		case eventKinds.requestShed:
			history.isShed = true;
			history.endedAtMs = atMs;
			break;
		case eventKinds.requestEnded:
			history.endedAtMs = atMs;
			break;
	}
}

/** Whether a lower-tier request started on an endpoint that could have served this waiting one. */
function isOvertaken(history: RequestHistory, starts: readonly TimelineEvent[]): boolean {
	const isShedOnArrival =
		history.isShed && history.endedAtMs - history.queuedAtMs < startToleranceMs;
	const end = isShedOnArrival ? history.deadlineAtMs : history.endedAtMs;
	return starts.some((start) => {
		const atMs = start.time.wall;
		const isWaiting = history.queueIntervals.some(
			(interval) => atMs > interval.from + startToleranceMs && atMs < interval.until,
		);
		const isAvoided = history.failures.some(
			(failure) =>
				failure.endpoint === start.endpoint && atMs - failure.atMs < failedEndpointAvoidanceMs,
		);
		return (start.tier ?? 0) > history.tier && isWaiting && atMs < end && !isAvoided;
	});
}

function isHigherTierActive(
	event: TimelineEvent,
	histories: ReadonlyMap<string, RequestHistory>,
): boolean {
	const atMs = event.time.wall;
	for (const history of histories.values()) {
		const isHigher = history.tier < (event.tier ?? 0);
		if (isHigher && history.queuedAtMs <= atMs && history.endedAtMs >= atMs - startToleranceMs) {
			return true;
		}
	}
	return false;
}

/** Finds windows in which a request of a class waited throughout while none of the class was served. */
function findStarvedWindows(
	events: readonly TimelineEvent[],
	histories: ReadonlyMap<string, RequestHistory>,
): string[] {
	const begin = events[0]?.time.wall ?? 0;
	const end = events.at(-1)?.time.wall ?? 0;
	const classes = new Set([...histories.values()].map((history) => history.className));
	const starved: string[] = [];
	for (const cls of classes) {
		const ofClass = [...histories.values()].filter((history) => history.className === cls);
		for (let from = begin; from + windowMs <= end; from += windowStepMs) {
			const until = from + windowMs;
			const hasProgress = ofClass.some(
				(history) => history.firstTokenAtMs < until && history.endedAtMs > from,
			);
			const isWaiting = ofClass.some(
				(history) => history.queuedAtMs <= from && computeWaitEndMs(history) >= until,
			);
			if (isWaiting && !hasProgress) {
				starved.push(`${cls}@${Math.round((from - begin) / 1000)}s`);
			}
		}
	}
	return starved;
}

function computeWaitEndMs(history: RequestHistory): number {
	return Math.min(history.firstTokenAtMs, history.endedAtMs);
}
