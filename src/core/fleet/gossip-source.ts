/**
 * What this VM holds of one VM that it hears directly.
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

	/** @param lastAt when the last news came, in monotonic milliseconds */
	constructor(
		private last: GossipMessage,
		private lastAt: number,
	) {}

	get name(): string {
		return this.last.from;
	}

	/** Where it hears news and serves copies, as IP:PORT. */
	get address(): string {
		return this.last.address;
	}

	get kind(): GossipKind {
		return this.last.kind;
	}

	get seq(): number {
		return this.last.seq;
	}

	/** VMs that it speaks for. */
	get vmCount(): number {
		return this.last.vmCount;
	}

	get demand(): Demand {
		return this.last.demand;
	}

	/** Time between two of its news under load, in milliseconds. */
	get intervalMs(): number {
		return this.last.intervalMs;
	}

	/** When its last news came, in monotonic milliseconds. */
	get receivedAt(): number {
		return this.lastAt;
	}

	/** Whether the news are older than what is held; parts of one moment may come in any order, or again. */
	isStale(news: GossipMessage): boolean {
		return news.incarnation === this.last.incarnation && news.seq < this.last.seq;
	}

	/** Whether they speak for something else: another life of the process, or another role. */
	isReplacedBy(news: GossipMessage): boolean {
		return news.incarnation !== this.last.incarnation || news.kind !== this.last.kind;
	}

	/** Takes the head of the news; their work is taken in elsewhere. */
	update(news: GossipMessage, now: number): void {
		this.last = news;
		this.lastAt = now;
	}

	/** Work at the engines of a range. */
	workInRange(range: EngineRange): EngineWork[] {
		const all = [...this.work.values()];
		return range.from === 0 && range.to >= refSpaceEnd
			? all
			: all.filter(({ engine }) => isInRange(engine, range));
	}
}
