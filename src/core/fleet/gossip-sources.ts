/**
 * Registry of the VMs that send gossip directly to this one; detects silent sources and stale messages.
 * @module
 */
import type { Clock } from '../definitions.js';
import { GossipSource } from './gossip-source.js';
import type { Demand, GossipKind, GossipMessage } from './types.js';

/** A source is silent after this many missed intervals, but not before the minimum time. */
const maxMissedIntervals = 4;
const minSilenceMs = 1000;

export class GossipSources {
	private readonly byName = new Map<string, GossipSource>();
	/** Last messages of VMs that moved to another aggregator. Older ones that arrive later would count their work twice. */
	private readonly departed = new Map<string, GossipMessage>();

	constructor(private readonly clock: Clock) {}

	get(name: string): GossipSource | undefined {
		return this.byName.get(name);
	}

	/** All sources, including silent ones. */
	getAll(): GossipSource[] {
		return [...this.byName.values()];
	}

	getNames(): string[] {
		return [...this.byName.keys()];
	}

	getByKind(kind: GossipKind): GossipSource[] {
		return this.getAll().filter((source) => source.kind === kind);
	}

	getLive(): GossipSource[] {
		return this.getAll().filter((source) => this.isLive(source));
	}

	getSilent(): GossipSource[] {
		return this.getAll().filter((source) => !this.isLive(source));
	}

	/** Returns whether a newer message of the same incarnation has been received. */
	isStale(message: GossipMessage): boolean {
		const departed = this.departed.get(message.from);
		const precedesDeparture =
			departed?.incarnation === message.incarnation && message.seq <= departed.seq;
		return precedesDeparture || (this.byName.get(message.from)?.isStale(message) ?? false);
	}

	add(message: GossipMessage): GossipSource {
		const source = new GossipSource(message, this.clock.monotonic());
		this.byName.set(message.from, source);
		return source;
	}

	remove(source: GossipSource): void {
		this.byName.delete(source.name);
	}

	/** Records the last message of a VM that moves to another aggregator. */
	recordDeparture(message: GossipMessage): void {
		this.departed.set(message.from, message);
	}

	private isLive(source: GossipSource): boolean {
		const silenceMs = Math.max(minSilenceMs, maxMissedIntervals * source.intervalMs);
		return this.clock.monotonic() - source.receivedAt < silenceMs;
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
