/**
 * What this VM holds of one VM that it hears directly.
 * @module
 */
import { endOfRefs, isWithin } from './news-parts.js';
import type { Demand, EngineRange, EngineRef, EngineWork, NewsKind, PeerNews } from './types.js';

export class NewsSource {
	readonly work = new Map<EngineRef, EngineWork>();

	/** @param lastAt when the last news came, in monotonic milliseconds */
	constructor(
		private last: PeerNews,
		private lastAt: number,
	) {}

	get name(): string {
		return this.last.from;
	}

	/** Where it hears news and serves copies, as IP:PORT. */
	get address(): string {
		return this.last.address;
	}

	get kind(): NewsKind {
		return this.last.kind;
	}

	get seq(): number {
		return this.last.seq;
	}

	/** VMs that it speaks for. */
	get vms(): number {
		return this.last.vms;
	}

	get demand(): Demand {
		return this.last.demand;
	}

	/** Time between two of its news under load, in milliseconds. */
	get spacingMs(): number {
		return this.last.spacingMs;
	}

	/** When its last news came, in monotonic milliseconds. */
	get heardAt(): number {
		return this.lastAt;
	}

	/** Whether the news are older than what is held; parts of one moment may come in any order, or again. */
	isOlder(news: PeerNews): boolean {
		return news.life === this.last.life && news.seq < this.last.seq;
	}

	/** Whether they speak for something else: another life of the process, or another role. */
	isOther(news: PeerNews): boolean {
		return news.life !== this.last.life || news.kind !== this.last.kind;
	}

	/** Takes the head of the news; their work is taken in elsewhere. */
	heard(news: PeerNews, now: number): void {
		this.last = news;
		this.lastAt = now;
	}

	/** Work at the engines of a range. */
	worksWithin(range: EngineRange): EngineWork[] {
		const all = [...this.work.values()];
		return range.from === 0 && range.to >= endOfRefs
			? all
			: all.filter(({ engine }) => isWithin(engine, range));
	}
}
