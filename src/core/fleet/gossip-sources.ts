/**
 * The VMs that this VM hears directly: who they are, whether they are still heard, and which news of theirs are older than what
 * is known.
 * @module
 */
import type { Clock } from '../definitions.js';
import { GossipSource } from './gossip-source.js';
import type { Demand, GossipKind, GossipMessage } from './types.js';

/** A VM that missed so many of its times to tell is left out, and not sooner than this, in milliseconds. */
const missedToSilent = 4;
const leastSilentMs = 1000;

export class GossipSources {
	private readonly byName = new Map<string, GossipSource>();
	/** Last news of VMs that left for another aggregator: earlier ones that come behind would count their work twice. */
	private readonly left = new Map<string, GossipMessage>();

	constructor(private readonly clock: Clock) {}

	get(name: string): GossipSource | undefined {
		return this.byName.get(name);
	}

	/** All of them, those that fell silent included. */
	all(): GossipSource[] {
		return [...this.byName.values()];
	}

	names(): string[] {
		return [...this.byName.keys()];
	}

	ofKind(kind: GossipKind): GossipSource[] {
		return this.all().filter((source) => source.kind === kind);
	}

	/** Those that told something lately. */
	live(): GossipSource[] {
		return this.all().filter((source) => this.isHeard(source));
	}

	silent(): GossipSource[] {
		return this.all().filter((source) => !this.isHeard(source));
	}

	/** Whether something newer of the same process is known. */
	isStale(news: GossipMessage): boolean {
		const left = this.left.get(news.from);
		const isBeforeLeave = left?.incarnation === news.incarnation && news.seq <= left.seq;
		return isBeforeLeave || (this.byName.get(news.from)?.isStale(news) ?? false);
	}

	add(news: GossipMessage): GossipSource {
		const source = new GossipSource(news, this.clock.monotonic());
		this.byName.set(news.from, source);
		return source;
	}

	remove(source: GossipSource): void {
		this.byName.delete(source.name);
	}

	/** Its VM tells another aggregator from now on. */
	recordDeparture(news: GossipMessage): void {
		this.left.set(news.from, news);
	}

	private isHeard(source: GossipSource): boolean {
		const silentMs = Math.max(leastSilentMs, missedToSilent * source.intervalMs);
		return this.clock.monotonic() - source.receivedAt < silentMs;
	}
}

export function sumDemand(sources: readonly GossipSource[]): Demand {
	const sum = { long: 0, short: 0 };
	for (const { demand } of sources) {
		sum.long += demand.long;
		sum.short += demand.short;
	}
	return sum;
}
