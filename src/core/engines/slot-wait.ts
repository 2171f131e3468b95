/**
 * How long a request waits for a slot at an engine, where what is known of it is a little old: other VMs place requests there
 * meanwhile, and some end.
 * @module
 */

/** Spread of a normal distribution over the width of the soft step that stands for it. */
const softness = 0.6;

export interface SlotUsage {
	/** Requests at the engine as far as is known, and those that it works on at once. */
	running: number;
	slots: number;
	/** For how long a request holds its slot there, in milliseconds. */
	slotOccupancyMs: number;
	/** Age of what is known, in milliseconds. */
	gossipAgeMs: number;
}

/** Milliseconds to expect. */
export function slotWaitMs(use: SlotUsage): number {
	return (requestsBefore(use) * use.slotOccupancyMs) / use.slots;
}

/** Requests without a slot to expect, with the new one; some begin and as many end at random in the age of the news. */
function requestsBefore({
	running,
	slots,
	slotOccupancyMs: heldMs,
	gossipAgeMs: newsAgeMs,
}: SlotUsage): number {
	const excess = running + 1 - slots;
	const changes = (Math.max(0, running) * newsAgeMs) / heldMs;
	const width = softness * Math.sqrt(2 * changes);
	return width === 0 ? Math.max(0, excess) : width * softPlus(excess / width);
}

/** 0 far below 0, the number itself far above. */
function softPlus(value: number): number {
	return Math.max(0, value) + Math.log1p(Math.exp(-Math.abs(value)));
}
