/**
 * Divides the engines of a service: some read long prompts, the others serve streams with tight
 * pauses, which a long prompt beside them would hold up. All VMs keep the same order of engines and
 * nearly the same view of demand, so they agree but for one engine at the border, for a moment.
 * @module
 */
import type { Demand } from '../fleet/types.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { Engine } from './engine.js';

/** A prompt of more tokens is long: read in chunks, it holds up a stream for several events. */
export const longPromptTokens = 4000;
/** Share of long prompts before there is any demand. */
const firstShare = 0.6;
/** Bounds of the share; each side keeps some engines, so that a burst finds them. */
const leastShare = 0.3;
const mostShare = 0.8;
/** Long prompts cost more a token, since each token is weighed against all before it. */
const longWeight = 1.2;
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
		const long = demand.long * longWeight;
		const total = long + demand.short;
		const share = total > 0 ? long / total : firstShare;
		const wanted = engines * Math.min(Math.max(share, leastShare), mostShare);
		const current = this.count ?? Math.round(wanted);
		const moved = Math.abs(wanted - current) > border ? Math.round(wanted) : current;
		this.count = Math.min(Math.max(moved, 1), engines - 1);
		return this.count;
	}
}
