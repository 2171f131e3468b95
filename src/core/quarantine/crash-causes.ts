/**
 * Infers what crashes engines. All requests of a crashed engine fail, but only the cause does so again at other engines, and none of
 * the requests that have it is served.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import type { ContentHash } from './content-hash.js';
import type { PartGroup, PartRules } from './part-causes.js';
import { findTopGroup } from './part-causes.js';
import type { Trait } from './traits.js';
import { isPromptPart } from './traits.js';

/** Unexplained crashes that always make a content a cause. */
const certainCrashes = 3;
/** Unexplained crashes of a content that are enough when few others share them. */
const likelyCrashes = 2;
/**
 * Upper bound of other contents that share the crashes of a likely cause; limits false positives: 3 of 44,000 harmless requests
 * in simulated crash series, and 8 without it.
 */
const maxSharing = 1;

/** A request that failed at an engine that crashed. */
export interface Failure {
	/** Monotonic milliseconds. */
	at: number;
	/** Whether a request with the trait was served since. */
	isCleared: boolean;
}

/** Failures at crashed engines, by trait. */
export type CrashEvidence = ReadonlyMap<Trait, ReadonlyMap<EngineRef, Failure>>;

export interface CrashAnalysis {
	/** Contents that crash engines. */
	contents: ReadonlySet<ContentHash>;
	/** Prompt parts that crash engines, those with most crashes first; a request with all parts of a group does. */
	groups: readonly PartGroup[];
	/** Groups that one or more crashes make a cause, or that may still be cleared. */
	suspects: readonly PartGroup[];
}

type Crashes = ReadonlyMap<EngineRef, Failure>;

/**
 * Examines traits with the most crashes first. A crash that one of them explains no longer counts against the others.
 * @param now monotonic milliseconds
 */
export function findCrashCauses(evidence: CrashEvidence, now: number): CrashAnalysis {
	const contents = new Set<ContentHash>();
	const groups: PartGroup[] = [];
	const suspects: PartGroup[] = [];
	const explained = new Set<EngineRef>();
	/** Crashes of the groups, also of those that are only suspected. */
	const grouped = new Set<EngineRef>();
	const uncleared = selectUncleared(evidence);
	const rules: PartRules = { evidence, now };
	const counts = new Set([...uncleared.values()].map((crashes) => crashes.size));
	for (const count of [...counts].sort((a, b) => b - a)) {
		const found = findContents(uncleared, count, explained);
		for (const [content, crashes] of found) {
			contents.add(content);
			addAll(explained, crashes.keys());
			addAll(grouped, crashes.keys());
		}
		for (;;) {
			const group = findTopGroup(uncleared, grouped, rules);
			if (!group || group.engines.length < count) {
				break;
			}
			addAll(grouped, group.engines);
			if (group.isCause) {
				groups.push(group);
				addAll(explained, group.engines);
			} else {
				suspects.push(group);
			}
		}
	}
	return { contents, groups, suspects };
}

function selectUncleared(evidence: CrashEvidence): Map<Trait, Crashes> {
	const uncleared = new Map<Trait, Crashes>();
	for (const [trait, crashes] of evidence) {
		const selected = [...crashes].filter(([, { isCleared }]) => !isCleared);
		if (selected.length > 0) {
			uncleared.set(trait, new Map(selected));
		}
	}
	return uncleared;
}

/** @param count number of crashes of the contents */
function findContents(
	uncleared: ReadonlyMap<Trait, Crashes>,
	count: number,
	explained: ReadonlySet<EngineRef>,
): [ContentHash, Crashes][] {
	const peers = [...uncleared].filter(
		([trait, crashes]) => !isPromptPart(trait) && crashes.size === count,
	);
	return peers.filter(([, crashes]) => {
		const unexplained = [...crashes.keys()].filter((engine) => !explained.has(engine));
		if (unexplained.length < likelyCrashes) {
			return false;
		}
		const sharing = peers.filter(([, others]) => unexplained.every((engine) => others.has(engine)));
		return unexplained.length >= certainCrashes || sharing.length - 1 <= maxSharing;
	});
}

function addAll<T>(set: Set<T>, items: Iterable<T>): void {
	for (const item of items) {
		set.add(item);
	}
}
