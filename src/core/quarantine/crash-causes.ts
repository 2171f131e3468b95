/**
 * Infers which contents crash engines. All requests of a crashed engine fail, but only the cause does so again at other engines.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import type { ContentHash } from './content-hash.js';

/** Unexplained crashes that always make a content a cause. */
const certainCrashes = 3;
/** Unexplained crashes that are enough when few other contents share them. */
const likelyCrashes = 2;
/**
 * Upper bound of other contents that share the crashes of a likely cause; limits false positives: 3 of 44,000 harmless requests
 * in simulated crash series, and 8 without it.
 */
const maxSharing = 1;

type Evidence = ReadonlyMap<ContentHash, ReadonlySet<EngineRef>>;

/**
 * Examines contents with the most crashes first. A crash that one of them explains no longer counts against the other contents of
 * that engine.
 * @param evidence engines that crashed while running each content
 */
export function findCrashCauses(evidence: Evidence): Set<ContentHash> {
	const causes = new Set<ContentHash>();
	const explained = new Set<EngineRef>();
	const counts = [...new Set([...evidence.values()].map((engines) => engines.size))];
	for (const count of counts.sort((a, b) => b - a)) {
		const peers = [...evidence].filter(([, engines]) => engines.size === count);
		const found = peers.filter(([, engines]) => isCause(engines, peers, explained));
		for (const [content, engines] of found) {
			causes.add(content);
			for (const engine of engines) {
				explained.add(engine);
			}
		}
	}
	return causes;
}

/** @param peers contents with the same number of crashes, including this one */
function isCause(
	engines: ReadonlySet<EngineRef>,
	peers: readonly [ContentHash, ReadonlySet<EngineRef>][],
	explained: ReadonlySet<EngineRef>,
): boolean {
	const unexplained = [...engines].filter((engine) => !explained.has(engine));
	if (unexplained.length < likelyCrashes) {
		return false;
	}
	const sharing = peers.filter(([, crashed]) => unexplained.every((engine) => crashed.has(engine)));
	return unexplained.length >= certainCrashes || sharing.length - 1 <= maxSharing;
}
