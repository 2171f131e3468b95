/**
 * Which engines' sums go into the next message, where not all fit: those that changed first, the others in turn.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';

/** Engines that changed take this share of a message at the most: the others must be heard of too. */
const urgentShare = 0.5;

export class PaceExportRotation {
	private lastUrgent = 0;
	private lastOther = 0;

	/** @param most engines that fit */
	next(
		engines: readonly EngineRef[],
		isUrgent: (engine: EngineRef) => boolean,
		most: number,
	): EngineRef[] {
		if (engines.length <= most) {
			return [...engines];
		}
		const sorted = [...engines].sort((a, b) => a - b);
		const urgent = sorted.filter(isUrgent);
		const first = after(urgent, this.lastUrgent).slice(0, Math.floor(most * urgentShare));
		const named = new Set(first);
		const others = sorted.filter((engine) => !named.has(engine));
		const rest = after(others, this.lastOther).slice(0, most - first.length);
		this.lastUrgent = first.at(-1) ?? this.lastUrgent;
		this.lastOther = rest.at(-1) ?? this.lastOther;
		return [...first, ...rest];
	}
}

/** Sorted numbers from behind one on, and then from the start. */
function after(sorted: readonly EngineRef[], last: EngineRef): EngineRef[] {
	const from = sorted.findIndex((engine) => engine > last);
	return from <= 0 ? [...sorted] : [...sorted.slice(from), ...sorted.slice(0, from)];
}
