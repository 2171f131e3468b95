/**
 * Partitions the engines of a service into a pool for long prompts and one for short prompts, whose streams a long prompt
 * would stall. All VMs use the same engine order and similar demand, so they disagree on at most the engine at the boundary.
 * @module
 */
import type { Demand } from '../fleet/types.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { Engine } from './engine.js';

/** Capacity share of the long-prompt pool before there is any demand. */
const initialLongShare = 0.5;
/** Target utilization of each pool; lower for short prompts, whose first tokens are due sooner. */
const shortUtilization = 0.75;
const longUtilization = 0.8;
/** Under overload the long-prompt pool keeps at least this share of the capacity. */
const minLongShare = 0.25;
/** The boundary moves only when the wanted capacity differs by more than this, in engines of nominal pace. */
const boundaryHysteresis = 0.75;
/** Services with fewer engines are not partitioned. */
const minPartitionedEngines = 3;

/** Ids of the engines in each pool. */
export interface PromptPools {
	longPool: ReadonlySet<string>;
	shortPool: ReadonlySet<string>;
	/** Capacity of the long-prompt pool, in engines of nominal pace. */
	longCapacity: number;
}

export class EnginePartition {
	private longPoolSize?: number;
	private idsKey = '';
	private ordered: readonly string[] = [];
	private cached: Omit<PromptPools, 'longCapacity'> = { longPool: new Set(), shortPool: new Set() };

	/**
	 * @param engines eligible engines of one service
	 * @param capacityOf capacity of an engine, in engines of nominal pace
	 */
	partition(
		engines: readonly Engine[],
		demand: Demand,
		capacityOf: (engine: Engine) => number = () => 1,
	): PromptPools {
		const capacities = new Map(engines.map((engine) => [engine.id, capacityOf(engine)]));
		const ids = [...capacities.keys()];
		if (ids.length < minPartitionedEngines) {
			const all = new Set(ids);
			return { longPool: all, shortPool: all, longCapacity: totalCapacity(ids, capacities) };
		}
		this.order(ids);
		const size = this.resizeLongPool(capacities, demand);
		const { ordered } = this;
		if (this.cached.longPool.size !== size) {
			this.cached = {
				longPool: new Set(ordered.slice(0, size)),
				shortPool: new Set(ordered.slice(size)),
			};
		}
		return { ...this.cached, longCapacity: totalCapacity(ordered.slice(0, size), capacities) };
	}

	private order(ids: readonly string[]): void {
		const key = ids.join(' ');
		if (key !== this.idsKey) {
			this.idsKey = key;
			this.ordered = rendezvous.pickTop('division', ids, ids.length);
			this.cached = { longPool: new Set(), shortPool: new Set() };
		}
	}

	private resizeLongPool(capacities: ReadonlyMap<string, number>, demand: Demand): number {
		const { ordered } = this;
		const wanted = wantedLongCapacity(totalCapacity(ordered, capacities), demand);
		const current = totalCapacity(ordered.slice(0, this.longPoolSize), capacities);
		if (this.longPoolSize === undefined || Math.abs(wanted - current) > boundaryHysteresis) {
			this.longPoolSize = countForCapacity(wanted, ordered, capacities);
		}
		this.longPoolSize = Math.min(Math.max(this.longPoolSize, 1), ordered.length - 1);
		return this.longPoolSize;
	}
}

/** Number of leading engines whose total capacity comes closest to the wanted one. */
function countForCapacity(
	wanted: number,
	ordered: readonly string[],
	capacities: ReadonlyMap<string, number>,
): number {
	let sum = 0;
	for (const [index, id] of ordered.entries()) {
		const capacity = capacities.get(id) ?? 1;
		if (sum + capacity / 2 > wanted) {
			return index;
		}
		sum += capacity;
	}
	return ordered.length;
}

function totalCapacity(ids: readonly string[], capacities: ReadonlyMap<string, number>): number {
	return ids.reduce((sum, id) => sum + (capacities.get(id) ?? 1), 0);
}

/**
 * Splits spare capacity in proportion to demand; under overload, short prompts are served first, as each costs little.
 * @param engines total capacity, in engines of nominal pace
 */
function wantedLongCapacity(engines: number, demand: Demand): number {
	const short = demand.short / shortUtilization;
	const long = demand.long / longUtilization;
	if (short + long === 0) {
		return engines * initialLongShare;
	}
	if (short + long <= engines) {
		return (engines * long) / (short + long);
	}
	return Math.max(engines - short, engines * minLongShare);
}
