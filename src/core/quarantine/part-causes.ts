/**
 * Infers which parts of prompts crash engines. Parts that come together are suspected together: a request is one that crashes engines
 * only if it has all of them, so that sound requests with some go on, and clear these when they are served.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import type { CrashEvidence, Failure } from './crash-causes.js';
import type { PromptPart, Trait } from './traits.js';
import { isPromptPart } from './traits.js';

/** Unexplained crashes that make prompt parts a cause. */
const causeCrashes = 3;
/** Crashes at which a part may be missing in a group that is a cause: the reports of one VM may be late. */
const lateReports = 1;
/**
 * How long parts are suspected at least, in milliseconds. Parts that many requests share are served again within this time, and so
 * cleared; those that crash engines are not.
 */
const clearanceMs = 450;
/** Within this time after a crash, VMs hear what others sent to the engine, in milliseconds. */
const reportDelayMs = 50;
/** Crashes that follow each other this closely have one cause, such as a lost rack, in milliseconds. */
const simultaneousMs = 60;
/** How long requests with a group that one more crash makes a cause are spread, in milliseconds; several crashes take as long. */
export const trialsMs = 600;

/** Prompt parts that were at the same crashes. Times are in monotonic milliseconds. */
export interface PartGroup {
	parts: readonly PromptPart[];
	/** Engines that crashed. */
	engines: readonly EngineRef[];
	/** Number of crashes that did not happen at the same time. */
	crashes: number;
	isCause: boolean;
	/** When parts in many requests have been cleared, and reports have arrived. */
	until: number;
}

export interface PartRules {
	/** All failures, also cleared ones. */
	evidence: CrashEvidence;
	now: number;
}

type Crashes = ReadonlyMap<EngineRef, Failure>;

/** Finds the parts that were at most crashes that nothing explains; undefined if there are none. */
export function findTopGroup(
	uncleared: ReadonlyMap<Trait, Crashes>,
	explained: ReadonlySet<EngineRef>,
	{ evidence, now }: PartRules,
): PartGroup | undefined {
	const candidates = selectSuspected(uncleared, explained);
	const [top] = candidates.sort((a, b) => b.engines.size - a.engines.size);
	if (!top) {
		return undefined;
	}
	const together = findTogether(candidates, top, 0);
	const nearlyTogether = findTogether(candidates, top, lateReports);
	const times = [...top.engines.values()].map(({ at }) => at).sort((a, b) => a - b);
	const clearedAt = (times[0] as number) + clearanceMs;
	const crashes = countSeparate(times);
	const settledAt = Math.max(clearedAt, (times[causeCrashes - 1] ?? 0) + reportDelayMs);
	const isCause =
		crashes >= causeCrashes &&
		now >= settledAt &&
		isServiceSound(top.engines, nearlyTogether, evidence);
	const parts = isCause ? nearlyTogether : together;
	return { parts, engines: [...top.engines.keys()], crashes, isCause, until: settledAt };
}

/** Parts that were at the crashes of the top one, but for `maxMissing`. */
function findTogether(
	candidates: readonly Candidate[],
	top: Candidate,
	maxMissing: number,
): PromptPart[] {
	const members = candidates.filter(({ engines }) => {
		const missing = [...top.engines.keys()].filter((engine) => !engines.has(engine));
		return missing.length <= maxMissing;
	});
	return members.map(({ part }) => part);
}

interface Candidate {
	part: PromptPart;
	engines: Map<EngineRef, Failure>;
}

function selectSuspected(
	uncleared: ReadonlyMap<Trait, Crashes>,
	explained: ReadonlySet<EngineRef>,
): Candidate[] {
	const candidates = [...uncleared].map(([part, crashes]) => {
		const engines = [...crashes].filter(([engine]) => !explained.has(engine));
		return { part, engines: new Map(engines) };
	});
	return candidates.filter(({ part, engines }) => isPromptPart(part) && engines.size > 0);
}

/**
 * Whether engines serve prompts at all, so that parts which are not cleared say something: another part that was at one of the
 * crashes has been.
 */
function isServiceSound(
	engines: Crashes,
	parts: readonly PromptPart[],
	evidence: CrashEvidence,
): boolean {
	for (const [trait, crashes] of evidence) {
		if (isPromptPart(trait) && !parts.includes(trait)) {
			const isCleared = [...engines.keys()].some((engine) => crashes.get(engine)?.isCleared);
			if (isCleared) {
				return true;
			}
		}
	}
	return false;
}

/** Counts crashes, those that follow each other closely once. */
function countSeparate(times: readonly number[]): number {
	let count = 0;
	let last = Number.NEGATIVE_INFINITY;
	for (const at of times) {
		if (at - last > simultaneousMs) {
			count++;
			last = at;
		}
	}
	return count;
}
