/**
 * News of members that ride on the failure detector's messages, each a bounded number of times.
 * @module
 */

/** News that ride on one message. */
const perMessage = 6;
/** News is passed on this many times the logarithm of the fleet's size. */
const spreadFactor = 4;

export class GossipQueue {
	/** Times that each member's news is still to be passed on. */
	private readonly left = new Map<string, number>();

	/** There is something new of a member. */
	enqueue(id: string, fleetSize: number): void {
		const times = Math.ceil(spreadFactor * Math.log2(fleetSize + 1));
		this.left.set(id, times);
	}

	remove(id: string): void {
		this.left.delete(id);
	}

	/** Members whose news goes with the next message: those passed on least. */
	takeNext(): string[] {
		const fresh = [...this.left.entries()].sort((a, b) => b[1] - a[1]).slice(0, perMessage);
		for (const [id, left] of fresh) {
			if (left <= 1) {
				this.left.delete(id);
			} else {
				this.left.set(id, left - 1);
			}
		}
		return fresh.map(([id]) => id);
	}
}
