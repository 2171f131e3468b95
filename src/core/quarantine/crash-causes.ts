/**
 * Which contents make engines end, worked out from those that were at engines when they ended. All requests of an engine break
 * with it; only the one that ended it does so again wherever it goes.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import type { ContentHash } from './content-hash.js';

/** So many engines ended under a content, and no other content explains it: it is not sent again. */
const certainEnds = 3;
/** Two are enough where hardly any other content was at both. */
const likelyEnds = 2;
/**
 * Other contents that may have been at the same two engines. In 50 simulated spells of 15 s 173 engines ended and 3 of 44,000
 * harmless requests were refused; 167 and 8 when two ends always were enough.
 */
const mostAlike = 1;

type Evidence = ReadonlyMap<ContentHash, ReadonlySet<EngineRef>>;

/**
 * Contents under which the most engines ended come first; an engine whose end one of them explains no longer counts against
 * those with fewer. A busy engine has twenty requests: without this the nineteen others would be refused with the one.
 * @param evidence engines that ended under each content
 */
export function findCrashCauses(evidence: Evidence): Set<ContentHash> {
	const causes = new Set<ContentHash>();
	const explained = new Set<EngineRef>();
	const counts = [...new Set([...evidence.values()].map((engines) => engines.size))];
	for (const count of counts.sort((a, b) => b - a)) {
		const alike = [...evidence].filter(([, engines]) => engines.size === count);
		const found = alike.filter(([, engines]) => isCause(engines, alike, explained));
		for (const [content, engines] of found) {
			causes.add(content);
			for (const engine of engines) {
				explained.add(engine);
			}
		}
	}
	return causes;
}

/** @param alike contents under which as many engines ended, this one among them */
function isCause(
	engines: ReadonlySet<EngineRef>,
	alike: readonly [ContentHash, ReadonlySet<EngineRef>][],
	explained: ReadonlySet<EngineRef>,
): boolean {
	const left = [...engines].filter((engine) => !explained.has(engine));
	if (left.length < likelyEnds) {
		return false;
	}
	const others = alike.filter(([, ends]) => left.every((engine) => ends.has(engine)));
	return left.length >= certainEnds || others.length - 1 <= mostAlike;
}
