/**
 * Chooses the engines whose sums fit into the next gossip message: urgent ones first, the others in rotation.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';

/** Maximum share of a message for urgent engines, so that the others are not starved. */
const maxUrgentShare = 0.5;

export class PaceExportRotation {
	private lastUrgent = 0;
	private lastOther = 0;

	/** @param maxEngines number of engines that fit into the message */
	next(
		engines: readonly EngineRef[],
		isUrgent: (engine: EngineRef) => boolean,
		maxEngines: number,
	): EngineRef[] {
		if (engines.length <= maxEngines) {
			return [...engines];
		}
		const sorted = [...engines].sort((a, b) => a - b);
		const urgent = sorted.filter(isUrgent);
		const first = rotateAfter(urgent, this.lastUrgent).slice(
			0,
			Math.floor(maxEngines * maxUrgentShare),
		);
		const included = new Set(first);
		const others = sorted.filter((engine) => !included.has(engine));
		const rest = rotateAfter(others, this.lastOther).slice(0, maxEngines - first.length);
		this.lastUrgent = first.at(-1) ?? this.lastUrgent;
		this.lastOther = rest.at(-1) ?? this.lastOther;
		return [...first, ...rest];
	}
}

/** Sorted references rotated to start after the last exported one. */
function rotateAfter(sorted: readonly EngineRef[], last: EngineRef): EngineRef[] {
	const start = sorted.findIndex((engine) => engine > last);
	return start <= 0 ? [...sorted] : [...sorted.slice(start), ...sorted.slice(0, start)];
}
