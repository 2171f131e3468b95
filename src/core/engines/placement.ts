/**
 * Chooses the engine for a request from what the fleet knows: where its prompt was read, and what
 * waits there.
 * @module
 */
import type { Random } from '../definitions.js';
import type { FleetView } from '../fleet/fleet-view.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { PromptPart } from '../relay/definitions.js';
import type { Engine } from './engine.js';
import type { Division } from './engine-division.js';
import { EngineDivision, longPromptTokens } from './engine-division.js';

/** Prompt tokens that an engine reads in a millisecond; both known sites say 62 to 66. */
const promptTokensPerMs = 60;
/**
 * What it costs to read a shared token again, beside the reading itself, in milliseconds of waiting:
 * a part of 5,000 tokens goes to another engine when its own would let it wait for a second.
 */
const rereadMsPerToken = 0.2;
/** Each request that runs beside slows a step a little, in milliseconds of waiting. */
const runningMs = 1;
/** Costs that differ by less are taken for equal, in milliseconds; hashing then decides alike on all VMs. */
const costStepMs = 8;

export interface PlacementRequest {
	service: string;
	parts: readonly PromptPart[];
	promptTokens: number;
	/** Engines that already had this request. */
	tried: ReadonlySet<string>;
}

export interface Placement {
	engine: Engine;
	/** Prompt tokens that it will have to read. */
	promptTokens: number;
	/** Why this one, for the log. */
	reason: string;
}

export class EnginePlacement {
	private readonly divisions = new Map<string, EngineDivision>();

	constructor(
		private readonly random: Random,
		private readonly fleet: FleetView,
	) {}

	/** @param engines those of the service that may be given work, in an order all VMs share */
	choose(req: PlacementRequest, engines: readonly Engine[], now: number): Placement | undefined {
		const open = engines.filter((engine) => !req.tried.has(engine.id) && engine.health.admits(now));
		if (open.length === 0) {
			return undefined;
		}
		return req.parts.length === 0 ? this.leastRunning(open) : this.byPrompt(req, engines, open);
	}

	/** The one with the fewest of the fleet's requests; of several any. */
	private leastRunning(open: readonly Engine[]): Placement {
		const loads = open.map((engine) => this.fleet.workAt(engine.id).running / engine.entry.slots);
		const least = Math.min(...loads);
		const best = open.filter((_, at) => loads[at] === least);
		const engine = best[Math.floor(this.random.next() * best.length)] as Engine;
		return { engine, promptTokens: 0, reason: `least running ${least.toFixed(2)}` };
	}

	private byPrompt(
		req: PlacementRequest,
		engines: readonly Engine[],
		open: readonly Engine[],
	): Placement {
		const isLong = req.promptTokens > longPromptTokens;
		const division = this.divisionOf(req.service, engines);
		const side = isLong ? division.long : division.short;
		const near = open.filter((engine) => side.has(engine.id));
		const pool = near.length > 0 ? near : open;
		const shared = req.parts.slice(0, -1);
		const key = shared.at(-1)?.id ?? req.parts[0]?.id ?? '';
		let best: { engine: Engine; cost: number; uncached: number; score: number } | undefined;
		for (const engine of pool) {
			const work = this.fleet.workAt(engine.id);
			const cached = this.fleet.cachedTokens(shared, engine.id);
			const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
			const uncached = Math.max(0, req.promptTokens - cached);
			const exact =
				(work.promptTokens + uncached) / promptTokensPerMs +
				work.running * runningMs +
				(sharedTokens - cached) * rereadMsPerToken;
			const cost = Math.round(exact / costStepMs);
			const score = rendezvous.scoreOf(key, engine.id);
			if (!best || cost < best.cost || (cost === best.cost && score > best.score)) {
				best = { engine, cost, uncached, score };
			}
		}
		const { engine, cost, uncached } = best as NonNullable<typeof best>;
		const reason = `${isLong ? 'long' : 'short'} prompt, cost ${cost * costStepMs} ms`;
		return { engine, promptTokens: uncached, reason };
	}

	private divisionOf(service: string, engines: readonly Engine[]): Division {
		let division = this.divisions.get(service);
		if (!division) {
			division = new EngineDivision();
			this.divisions.set(service, division);
		}
		return division.divide(engines, this.fleet.demand());
	}
}
