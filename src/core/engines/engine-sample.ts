/**
 * Limits the engines that a request is scored against, where a service has many. Gossip about placements is slightly old, so
 * VMs that all chose the cheapest engine would overload it; the cheapest of a random sample spreads the requests.
 * @module
 */
import type { Random } from '../definitions.js';
import type { Engine } from './engine.js';

/** Expected size of the random sample, which usually contains one of the best fifth of the engines. */
export const sampleSize = 8;

/**
 * @param isPreferred whether an engine has much of the prompt cached; such engines are always included while they are few
 * @returns all engines where they are few
 */
export function sampleEngines(
	engines: readonly Engine[],
	isPreferred: (engine: Engine) => boolean,
	random: Random,
): readonly Engine[] {
	if (engines.length <= sampleSize) {
		return engines;
	}
	const preferred = engines.filter(isPreferred);
	const sample = new Set([...sampleIfMany(preferred, random), ...sampleIfMany(engines, random)]);
	return sample.size > 0 ? [...sample] : engines;
}

/** Also limits the preferred engines, which may be all of them when a common system prompt is cached. */
function sampleIfMany(engines: readonly Engine[], random: Random): readonly Engine[] {
	const share = sampleSize / engines.length;
	return share >= 1 ? engines : engines.filter(() => random.next() < share);
}
