/**
 * Divides the engines of a service: some read long prompts, the others serve streams with tight
 * pauses, which a long prompt beside them would hold up. All VMs keep the same order of engines and
 * nearly the same view of demand, so they agree but for one engine at the border, for a moment.
 * @module
 */
import type { Demand } from '../fleet/types.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { Engine } from './engine.js';

/** Share of long prompts before there is any demand. */
const firstShare = 0.5;
/** How busy engines of each side should be at the most; first tokens of short requests are due sooner. */
const shortBusy = 0.75;
const longBusy = 0.8;
/** Long prompts keep at least this share of the engines while there are any. */
const leastLongShare = 0.25;
/** The border moves when the wanted place is farther away, in engines of usual pace. */
const border = 0.75;
/** A service with fewer engines is not divided. */
const leastDivided = 3;

export interface PromptPools {
	longPool: ReadonlySet<string>;
	shortPool: ReadonlySet<string>;
	/** What those of long prompts do, in engines of usual pace. */
	longCapacity: number;
}

export class EnginePartition {
	private count?: number;
	private key = '';
	private ordered: readonly string[] = [];
	private cached: Omit<PromptPools, 'longCapacity'> = { longPool: new Set(), shortPool: new Set() };

	/**
	 * @param engines those of one service that may be given work
	 * @param capacityOf what an engine does, in engines of usual pace
	 */
	partition(
		engines: readonly Engine[],
		demand: Demand,
		capacityOf: (engine: Engine) => number = () => 1,
	): PromptPools {
		const capacities = new Map(engines.map((engine) => [engine.id, capacityOf(engine)]));
		const ids = [...capacities.keys()];
		if (ids.length < leastDivided) {
			const all = new Set(ids);
			return { longPool: all, shortPool: all, longCapacity: capacityOfAll(ids, capacities) };
		}
		this.order(ids);
		const count = this.longCount(capacities, demand);
		const { ordered } = this;
		if (this.cached.longPool.size !== count) {
			this.cached = {
				longPool: new Set(ordered.slice(0, count)),
				shortPool: new Set(ordered.slice(count)),
			};
		}
		return { ...this.cached, longCapacity: capacityOfAll(ordered.slice(0, count), capacities) };
	}

	private order(ids: readonly string[]): void {
		const key = ids.join(' ');
		if (key !== this.key) {
			this.key = key;
			this.ordered = rendezvous.pickTop('division', ids, ids.length);
			this.cached = { longPool: new Set(), shortPool: new Set() };
		}
	}

	private longCount(capacities: ReadonlyMap<string, number>, demand: Demand): number {
		const { ordered } = this;
		const wanted = wantedLong(capacityOfAll(ordered, capacities), demand);
		const current = capacityOfAll(ordered.slice(0, this.count), capacities);
		if (this.count === undefined || Math.abs(wanted - current) > border) {
			this.count = countFor(wanted, ordered, capacities);
		}
		this.count = Math.min(Math.max(this.count, 1), ordered.length - 1);
		return this.count;
	}
}

/** How many engines, in their order, come nearest to a capacity. */
function countFor(
	wanted: number,
	ordered: readonly string[],
	capacities: ReadonlyMap<string, number>,
): number {
	let sum = 0;
	for (const [at, id] of ordered.entries()) {
		const capacity = capacities.get(id) ?? 1;
		if (sum + capacity / 2 > wanted) {
			return at;
		}
		sum += capacity;
	}
	return ordered.length;
}

function capacityOfAll(ids: readonly string[], capacities: ReadonlyMap<string, number>): number {
	return ids.reduce((sum, id) => sum + (capacities.get(id) ?? 1), 0);
}

/**
 * In plenty both sides grow alike; in scarcity short requests, which cost little each, come first.
 * @param engines capacity of all, in engines of usual pace
 */
function wantedLong(engines: number, demand: Demand): number {
	const short = demand.short / shortBusy;
	const long = demand.long / longBusy;
	if (short + long === 0) {
		return engines * firstShare;
	}
	if (short + long <= engines) {
		return (engines * long) / (short + long);
	}
	return Math.max(engines - short, engines * leastLongShare);
}
