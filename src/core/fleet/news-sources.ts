/**
 * The VMs that this VM hears directly: who they are, whether they are still heard, and which news of theirs are older than what
 * is known.
 * @module
 */
import type { Clock } from '../definitions.js';
import { NewsSource } from './news-source.js';
import type { Demand, NewsKind, PeerNews } from './types.js';

/** A VM that missed so many of its times to tell is left out, and not sooner than this, in milliseconds. */
const missedToSilent = 4;
const leastSilentMs = 1000;

export class NewsSources {
	private readonly byName = new Map<string, NewsSource>();
	/** Last news of VMs that left for another aggregator: earlier ones that come behind would count their work twice. */
	private readonly left = new Map<string, PeerNews>();

	constructor(private readonly clock: Clock) {}

	get(name: string): NewsSource | undefined {
		return this.byName.get(name);
	}

	/** All of them, those that fell silent included. */
	all(): NewsSource[] {
		return [...this.byName.values()];
	}

	names(): string[] {
		return [...this.byName.keys()];
	}

	ofKind(kind: NewsKind): NewsSource[] {
		return this.all().filter((source) => source.kind === kind);
	}

	/** Those that told something lately. */
	heard(): NewsSource[] {
		return this.all().filter((source) => this.isHeard(source));
	}

	silent(): NewsSource[] {
		return this.all().filter((source) => !this.isHeard(source));
	}

	/** Whether something newer of the same process is known. */
	isOlder(news: PeerNews): boolean {
		const left = this.left.get(news.from);
		const isBeforeLeave = left?.life === news.life && news.seq <= left.seq;
		return isBeforeLeave || (this.byName.get(news.from)?.isOlder(news) ?? false);
	}

	add(news: PeerNews): NewsSource {
		const source = new NewsSource(news, this.clock.monotonic());
		this.byName.set(news.from, source);
		return source;
	}

	remove(source: NewsSource): void {
		this.byName.delete(source.name);
	}

	/** Its VM tells another aggregator from now on. */
	leaves(news: PeerNews): void {
		this.left.set(news.from, news);
	}

	private isHeard(source: NewsSource): boolean {
		const silentMs = Math.max(leastSilentMs, missedToSilent * source.spacingMs);
		return this.clock.monotonic() - source.heardAt < silentMs;
	}
}

export function sumOfDemand(sources: readonly NewsSource[]): Demand {
	const sum = { long: 0, short: 0 };
	for (const { demand } of sources) {
		sum.long += demand.long;
		sum.short += demand.short;
	}
	return sum;
}
