/**
 * Infers which traits of requests crash engines. All requests of a crashed engine fail, but only the cause does so again at other
 * engines, and none of the requests that have it is served.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import type { Trait } from './traits.js';
import { isPromptPart } from './traits.js';

/** Unexplained crashes that always make a trait a cause. */
const certainCrashes = 3;
/** Unexplained crashes of a content that are enough when few others share them. */
const likelyCrashes = 2;
/**
 * Upper bound of other contents that share the crashes of a likely cause; limits false positives: 3 of 44,000 harmless requests
 * in simulated crash series, and 8 without it.
 */
const maxSharing = 1;
/** Unexplained crashes of a prompt part after which one more makes it a cause. */
const triedCrashes = certainCrashes - 1;
/** How long requests with a part that one more crash makes a cause are spread, in milliseconds; several crashes take as long. */
export const trialsMs = 600;
/**
 * How long prompt parts are suspected, in milliseconds. Parts that many requests share are served again within this time, and so
 * cleared; those that crash engines are not.
 */
const clearanceMs = 450;
/** The same for parts that share all their crashes with another one, which may be in fewer requests. */
const sharedClearanceMs = 900;
/** How long parts are suspected before they are causes, if no other was at all their crashes. */
const soleClearanceMs = 320;
/** Within this time after a crash, VMs hear what others sent to the engine, in milliseconds. */
const reportDelayMs = 50;
/** Crashes that follow each other this closely have one cause, such as a lost rack, in milliseconds. */
const simultaneousMs = 25;

/** A request that failed at an engine that crashed. */
export interface Failure {
	/** Monotonic milliseconds. */
	at: number;
	/** Whether the engine had begun to answer it, as far as known. */
	hasBegun: boolean;
}

/** Engines that crashed while running each trait. */
export type CrashEvidence = ReadonlyMap<Trait, ReadonlyMap<EngineRef, Failure>>;
/** Engines that each trait may have crashed, and when, in monotonic milliseconds. */
type SuspectedCrashes = ReadonlyMap<Trait, ReadonlyMap<EngineRef, number>>;

/** A prompt part that was at crashes and may still be cleared. Times are in monotonic milliseconds. */
export interface Suspect {
	/** Number of crashes that nothing else explains. */
	crashes: number;
	/** When parts in many requests have been cleared. */
	clearableUntil: number;
	/** When it is no longer suspected, or a cause. */
	until: number;
	/** Whether requests with it are sent one after the other after that time, as one more crash decides. */
	isTried: boolean;
	/** From when on it is a cause if it was at enough crashes. */
	causeAt: number;
}

export interface CrashAnalysis {
	causes: ReadonlySet<Trait>;
	suspects: ReadonlyMap<Trait, Suspect>;
}

type TraitCrashes = readonly [Trait, ReadonlyMap<EngineRef, number>];

/**
 * Examines traits with the most crashes first. A crash that one of them explains no longer counts against the other traits of
 * that engine.
 * @param now monotonic milliseconds
 */
export function findCrashCauses(evidence: CrashEvidence, now: number): CrashAnalysis {
	const suspected = selectSuspected(evidence);
	const parts = new Map([...suspected].filter(([trait]) => isPromptPart(trait)));
	const causes = new Set<Trait>();
	const explained = new Set<EngineRef>();
	const counts = [...new Set([...suspected.values()].map((crashes) => crashes.size))];
	for (const count of counts.sort((a, b) => b - a)) {
		const peers = [...suspected].filter(([, crashes]) => crashes.size === count);
		const found = peers.filter((peer) => isCause(peer, peers, parts, explained, now));
		for (const [trait, crashes] of found) {
			causes.add(trait);
			for (const engine of crashes.keys()) {
				explained.add(engine);
			}
		}
	}
	return { causes, suspects: findSuspects(parts, explained, now) };
}

/** Prompt parts are not suspected where requests with others had begun and theirs had not. */
function selectSuspected(evidence: CrashEvidence): SuspectedCrashes {
	const parts = [...evidence].filter(([trait]) => isPromptPart(trait));
	const begun = new Set(
		parts.flatMap(([, failures]) =>
			[...failures].filter(([, { hasBegun }]) => hasBegun).map(([engine]) => engine),
		),
	);
	const suspected = new Map<Trait, ReadonlyMap<EngineRef, number>>();
	for (const [trait, failures] of evidence) {
		const selected = [...failures].filter(
			([engine, { hasBegun }]) => !isPromptPart(trait) || hasBegun || !begun.has(engine),
		);
		suspected.set(trait, new Map(selected.map(([engine, { at }]) => [engine, at])));
	}
	return suspected;
}

/**
 * @param peers traits with the same number of crashes, including this one
 * @param parts all prompt parts
 */
function isCause(
	[trait, crashes]: TraitCrashes,
	peers: readonly TraitCrashes[],
	parts: SuspectedCrashes,
	explained: ReadonlySet<EngineRef>,
	now: number,
): boolean {
	const unexplained = new Map([...crashes].filter(([engine]) => !explained.has(engine)));
	if (unexplained.size < likelyCrashes) {
		return false;
	}
	if (!isPromptPart(trait)) {
		const sharing = countSharing(trait, unexplained, peers);
		return isContentCause(unexplained.size, sharing);
	}
	const { crashes: count, causeAt } = assessPart(
		unexplained,
		countSharing(trait, unexplained, parts),
	);
	return count >= certainCrashes && now >= causeAt;
}

function isContentCause(crashes: number, sharing: number): boolean {
	return crashes >= certainCrashes || (crashes >= likelyCrashes && sharing <= maxSharing);
}

/** Counts the other traits of the kind that were at all of the crashes. */
function countSharing(
	trait: Trait,
	crashes: ReadonlyMap<EngineRef, number>,
	candidates: Iterable<TraitCrashes>,
): number {
	let count = 0;
	for (const [other, others] of candidates) {
		if (other !== trait && isPromptPart(other) === isPromptPart(trait)) {
			count += [...crashes.keys()].every((engine) => others.has(engine)) ? 1 : 0;
		}
	}
	return count;
}

function findSuspects(
	parts: SuspectedCrashes,
	explained: ReadonlySet<EngineRef>,
	now: number,
): Map<Trait, Suspect> {
	const suspects = new Map<Trait, Suspect>();
	for (const [trait, crashes] of parts) {
		const unexplained = new Map([...crashes].filter(([engine]) => !explained.has(engine)));
		if (unexplained.size > 0) {
			const suspect = assessPart(unexplained, countSharing(trait, unexplained, parts));
			if (now < suspect.until + (suspect.isTried ? trialsMs : 0)) {
				suspects.set(trait, suspect);
			}
		}
	}
	return suspects;
}

/**
 * @param crashes those that nothing else explains
 * @param sharing number of other parts that were at all of them
 */
function assessPart(crashes: ReadonlyMap<EngineRef, number>, sharing: number): Suspect {
	const times = [...crashes.values()].sort((a, b) => a - b);
	const first = times[0] as number;
	const certain = times[certainCrashes - 1] ?? first;
	const soleCauseAt = Math.max(first + soleClearanceMs, certain + reportDelayMs);
	const count = countSeparate(times);
	const causeAt = sharing > 0 ? first + sharedClearanceMs : soleCauseAt;
	const until = first + (sharing > 0 ? sharedClearanceMs : clearanceMs);
	return {
		crashes: count,
		clearableUntil: first + clearanceMs,
		until: count >= certainCrashes ? causeAt : until,
		isTried: count === triedCrashes,
		causeAt,
	};
}

/** Counts crashes, those that follow each other closely once. */
function countSeparate(times: readonly number[]): number {
	let count = 0;
	let last = Number.NEGATIVE_INFINITY;
	for (const at of [...times].sort((a, b) => a - b)) {
		if (at - last > simultaneousMs) {
			count++;
			last = at;
		}
	}
	return count;
}
