/**
 * Queue of member updates that are piggybacked on the failure detector's messages, each a limited number of times.
 * @module
 */

const maxUpdatesPerMessage = 6;
/** An update is sent this factor times the logarithm of the fleet size. */
const retransmitFactor = 4;

export class GossipQueue {
	/** Remaining transmissions of the update of each member. */
	private readonly transmissionsLeft = new Map<string, number>();

	/** Queues the update of a member, replacing an earlier one. */
	enqueue(id: string, fleetSize: number): void {
		const transmissions = Math.ceil(retransmitFactor * Math.log2(fleetSize + 1));
		this.transmissionsLeft.set(id, transmissions);
	}

	remove(id: string): void {
		this.transmissionsLeft.delete(id);
	}

	/** Returns the members whose updates go with the next message, least transmitted first. */
	takeNext(): string[] {
		const next = [...this.transmissionsLeft.entries()]
			.sort((a, b) => b[1] - a[1])
			.slice(0, maxUpdatesPerMessage);
		for (const [id, left] of next) {
			if (left <= 1) {
				this.transmissionsLeft.delete(id);
			} else {
				this.transmissionsLeft.set(id, left - 1);
			}
		}
		return next.map(([id]) => id);
	}
}
