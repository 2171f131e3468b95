/**
 * Judges a run's time line by the promises: no request is shed or preempted for lower work, and
 * every class makes progress. Knows nothing of how decisions are made.
 * @module
 */
import { callFailures } from '../src/core/definitions.js';
import type { TimelineEvent } from '../src/core/timeline/index.js';
import { eventKinds } from '../src/core/timeline/index.js';

/** Lower work that starts this soon after a request came is not held against it, in milliseconds. */
const graceMs = 150;
/** A request passes over an endpoint that failed it for about so long, in milliseconds. */
const passOverMs = 1200;
/** Windows in which every class must make progress, in milliseconds. */
const windowMs = 10_000;
const windowStepMs = 1000;

/** What the oracle found. */
export interface Findings {
	/** Requests given up while lower work was started that could have made room. */
	shedForLower: number;
	/** Requests, whatever came of them, that waited while lower work was started. */
	overtaken: number;
	/** Requests preempted though nothing higher waited. */
	preemptedForLower: number;
	preempted: number;
	resumed: number;
	/** Ten-second windows in which a class with waiting work got no token. */
	starvedWindows: string[];
}

interface RequestHistory {
	tier: number;
	className: string;
	queuedAtMs: number;
	endedAtMs: number;
	firstTokenAtMs: number;
	isShed: boolean;
	/** Given up on arrival: judged until its deadline. */
	deadlineAtMs: number;
	/** Spans in which it waited for a slot. */
	queueIntervals: { from: number; until: number }[];
	/** When an endpoint failed it; it passes over that endpoint for a moment. */
	failures: { endpoint: string; at: number }[];
}

export function checkTimeline(
	events: readonly TimelineEvent[],
	deadlines: ReadonlyMap<string, number>,
	endpoints: ReadonlySet<string>,
): Findings {
	const stories = collectStories(events, deadlines);
	const starts = servedStarts(events).filter(
		(event) => !event.floor && endpoints.has(event.endpoint ?? ''),
	);
	const shed = [...stories.values()].filter((story) => story.isShed);
	const preempts = events.filter((event) => event.kind === eventKinds.requestPreempted);
	return {
		shedForLower: shed.filter((story) => lowerStarted(story, starts)).length,
		overtaken: [...stories.values()].filter((story) => lowerStarted(story, starts)).length,
		preemptedForLower: preempts.filter((event) => !higherWaited(event, stories)).length,
		preempted: preempts.length,
		resumed: events.filter((event) => event.kind === eventKinds.requestResumed).length,
		starvedWindows: starvedWindows(events, stories),
	};
}

/** Starts on an endpoint that was there; one that could not be reached served nobody. */
function servedStarts(events: readonly TimelineEvent[]): TimelineEvent[] {
	const starts = new Set<TimelineEvent>();
	const last = new Map<string, TimelineEvent>();
	for (const event of events) {
		const id = event.request ?? '';
		if (event.kind === eventKinds.requestStarted) {
			starts.add(event);
			last.set(id, event);
		} else if (isNotSent(event)) {
			const unserved = last.get(id);
			if (unserved) {
				starts.delete(unserved);
			}
		}
	}
	return [...starts];
}

function isNotSent(event: TimelineEvent): boolean {
	const failed = event.kind === eventKinds.requestFailed;
	return failed && event.reason?.startsWith(callFailures.notSent) === true;
}

function collectStories(
	events: readonly TimelineEvent[],
	deadlines: ReadonlyMap<string, number>,
): Map<string, RequestHistory> {
	const stories = new Map<string, RequestHistory>();
	for (const event of events) {
		const id = event.request ?? '';
		if (event.kind === eventKinds.requestQueued) {
			stories.set(id, newStory(event, deadlines));
		} else {
			const story = stories.get(id);
			if (story) {
				continueStory(story, event);
			}
		}
	}
	return stories;
}

function newStory(event: TimelineEvent, deadlines: ReadonlyMap<string, number>): RequestHistory {
	const at = event.time.wall;
	const cls = event.cls ?? '';
	return {
		tier: event.tier ?? 0,
		className: cls,
		queuedAtMs: at,
		endedAtMs: Infinity,
		firstTokenAtMs: Infinity,
		isShed: false,
		deadlineAtMs: at + (deadlines.get(cls) ?? 0),
		queueIntervals: [{ from: at, until: Infinity }],
		failures: [],
	};
}

function continueStory(story: RequestHistory, event: TimelineEvent): void {
	const at = event.time.wall;
	const last = story.queueIntervals.at(-1);
	switch (event.kind) {
		case eventKinds.requestStarted:
			if (last) {
				last.until = Math.min(last.until, at);
			}
			break;
		case eventKinds.requestPreempted:
		case eventKinds.requestResumed:
			story.queueIntervals.push({ from: at, until: Infinity });
			break;
		case eventKinds.requestFailed:
			story.failures.push({ endpoint: event.endpoint ?? '', at });
			break;
		case eventKinds.requestFirstToken:
			story.firstTokenAtMs = Math.min(story.firstTokenAtMs, at);
			break;
		case eventKinds.requestShed:
			story.isShed = true;
			story.endedAtMs = at;
			break;
		case eventKinds.requestEnded:
			story.endedAtMs = at;
			break;
	}
}

/** Work of a lower tier was started while the request waited and could have been served. */
function lowerStarted(story: RequestHistory, starts: readonly TimelineEvent[]): boolean {
	const early = story.isShed && story.endedAtMs - story.queuedAtMs < graceMs;
	const end = early ? story.deadlineAtMs : story.endedAtMs;
	return starts.some((start) => {
		const at = start.time.wall;
		const waited = story.queueIntervals.some((wait) => at > wait.from + graceMs && at < wait.until);
		const passedOver = story.failures.some(
			(failure) => failure.endpoint === start.endpoint && at - failure.at < passOverMs,
		);
		return (start.tier ?? 0) > story.tier && waited && at < end && !passedOver;
	});
}

function higherWaited(event: TimelineEvent, stories: ReadonlyMap<string, RequestHistory>): boolean {
	const at = event.time.wall;
	for (const story of stories.values()) {
		const higher = story.tier < (event.tier ?? 0);
		if (higher && story.queuedAtMs <= at && story.endedAtMs >= at - graceMs) {
			return true;
		}
	}
	return false;
}

/** Windows in which a request of a class waited throughout, and none was being answered. */
function starvedWindows(
	events: readonly TimelineEvent[],
	stories: ReadonlyMap<string, RequestHistory>,
): string[] {
	const begin = events[0]?.time.wall ?? 0;
	const end = events.at(-1)?.time.wall ?? 0;
	const classes = new Set([...stories.values()].map((story) => story.className));
	const starved: string[] = [];
	for (const cls of classes) {
		const ofClass = [...stories.values()].filter((story) => story.className === cls);
		for (let from = begin; from + windowMs <= end; from += windowStepMs) {
			const until = from + windowMs;
			const progressed = ofClass.some(
				(story) => story.firstTokenAtMs < until && story.endedAtMs > from,
			);
			const waited = ofClass.some(
				(story) => story.queuedAtMs <= from && waitedUntil(story) >= until,
			);
			if (waited && !progressed) {
				starved.push(`${cls}@${Math.round((from - begin) / 1000)}s`);
			}
		}
	}
	return starved;
}

function waitedUntil(story: RequestHistory): number {
	return Math.min(story.firstTokenAtMs, story.endedAtMs);
}
