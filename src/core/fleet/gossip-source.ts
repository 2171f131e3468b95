/**
 * State received from one VM that sends gossip directly to this one.
 * @module
 */
import { isInRange, refSpaceEnd } from './gossip-splitter.js';
import type {
	Demand,
	EngineRange,
	EngineRef,
	EngineWork,
	GossipKind,
	GossipMessage,
} from './types.js';

export class GossipSource {
	readonly work = new Map<EngineRef, EngineWork>();

	/** @param lastReceivedAt in monotonic milliseconds */
	constructor(
		private last: GossipMessage,
		private lastReceivedAt: number,
	) {}

	get name(): string {
		return this.last.from;
	}

	/** Where the VM receives gossip and serves copies, as IP:PORT. */
	get address(): string {
		return this.last.address;
	}

	get kind(): GossipKind {
		return this.last.kind;
	}

	get seq(): number {
		return this.last.seq;
	}

	/** Number of VMs that its sums include. */
	get vmCount(): number {
		return this.last.vmCount;
	}

	get demand(): Demand {
		return this.last.demand;
	}

	/** Interval between its messages under load, in milliseconds. */
	get intervalMs(): number {
		return this.last.intervalMs;
	}

	/** Time of its last message, in monotonic milliseconds. */
	get receivedAt(): number {
		return this.lastReceivedAt;
	}

	/** Returns whether a message is older than the last one. Datagrams of one round may be reordered or duplicated. */
	isStale(message: GossipMessage): boolean {
		return message.incarnation === this.last.incarnation && message.seq < this.last.seq;
	}

	/** Returns whether a message comes from another incarnation of the VM, or from another role of it. */
	isReplacedBy(message: GossipMessage): boolean {
		return message.incarnation !== this.last.incarnation || message.kind !== this.last.kind;
	}

	/** Stores the header of a message; `FleetWork` merges the work. */
	update(message: GossipMessage, now: number): void {
		this.last = message;
		this.lastReceivedAt = now;
	}

	/** Work at the engines of a range. */
	workInRange(range: EngineRange): EngineWork[] {
		const all = [...this.work.values()];
		return range.from === 0 && range.to >= refSpaceEnd
			? all
			: all.filter(({ engine }) => isInRange(engine, range));
	}
}
