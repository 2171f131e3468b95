/**
 * Estimates how long a request waits for a slot at an engine, given that gossip about the engine is slightly old: in the
 * meantime other VMs place requests there, and some end.
 * @module
 */

/** Width of the softplus that approximates a normal distribution, relative to its standard deviation. */
const softplusWidth = 0.6;

export interface SlotUsage {
	/** Known number of requests at the engine. */
	running: number;
	/** Maximum number of concurrent requests. */
	slots: number;
	/** Mean time for which a request holds its slot, in milliseconds. */
	slotOccupancyMs: number;
	/** Age of the gossip about the engine, in milliseconds. */
	gossipAgeMs: number;
}

/** Expected wait in milliseconds. */
export function slotWaitMs(usage: SlotUsage): number {
	return (expectedExcess(usage) * usage.slotOccupancyMs) / usage.slots;
}

/** Expected number of requests without a slot, including the new one, while others start and end at random. */
function expectedExcess({ running, slots, slotOccupancyMs, gossipAgeMs }: SlotUsage): number {
	const excess = running + 1 - slots;
	const changes = (Math.max(0, running) * gossipAgeMs) / slotOccupancyMs;
	const width = softplusWidth * Math.sqrt(2 * changes);
	return width === 0 ? Math.max(0, excess) : width * softPlus(excess / width);
}

/** Smooth approximation of max(0, value). */
function softPlus(value: number): number {
	return Math.max(0, value) + Math.log1p(Math.exp(-Math.abs(value)));
}
