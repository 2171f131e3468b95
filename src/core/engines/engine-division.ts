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
/** The border moves when the wanted place is farther away, in engines. */
const border = 0.75;
/** A service with fewer engines is not divided. */
const leastDivided = 3;

export interface Division {
	long: ReadonlySet<string>;
	short: ReadonlySet<string>;
}

export class EngineDivision {
	private count?: number;
	private key = '';
	private cached: Division = { long: new Set(), short: new Set() };

	/** @param engines those of one service that may be given work */
	divide(engines: readonly Engine[], demand: Demand): Division {
		const ids = engines.map((engine) => engine.id);
		if (ids.length < leastDivided) {
			const all = new Set(ids);
			return { long: all, short: all };
		}
		const count = this.longCount(ids.length, demand);
		const key = `${count} ${ids.join(' ')}`;
		if (key !== this.key) {
			this.key = key;
			const ordered = rendezvous.pickTop('division', ids, ids.length);
			this.cached = {
				long: new Set(ordered.slice(0, count)),
				short: new Set(ordered.slice(count)),
			};
		}
		return this.cached;
	}

	private longCount(engines: number, demand: Demand): number {
		const wanted = wantedLong(engines, demand);
		const current = this.count ?? Math.round(wanted);
		const moved = Math.abs(wanted - current) > border ? Math.round(wanted) : current;
		this.count = Math.min(Math.max(moved, 1), engines - 1);
		return this.count;
	}
}

/** In plenty both sides grow alike; in scarcity short requests, which cost little each, come first. */
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
