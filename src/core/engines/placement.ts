/**
 * Chooses the engine for a request. All VMs compute the same order from the same engines, so that
 * requests that share a prompt meet on the same engines without any message.
 * @module
 */
import type { Random } from '../definitions.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { PromptPart } from '../relay/definitions.js';
import type { Engine } from './engine.js';

/** Prompt tokens beyond the shared parts from which a request counts as long. */
const longPromptTokens = 2500;
/** Share of a service's engines that long prompts go to; the rest serve short ones. */
const longShare = 0.6;
/** A service with fewer engines is not divided. */
const leastDivided = 3;
/** An engine may hold this multiple of the mean of this VM's running requests, and a few more. */
const loadFactor = 1.5;
const loadSlack = 2;

export interface PlacementRequest {
	service: string;
	parts: readonly PromptPart[];
	promptTokens: number;
	/** Engines that already had this request. */
	tried: ReadonlySet<string>;
}

export interface Placement {
	engine: Engine;
	/** Why this one, for the log. */
	reason: string;
}

export class EnginePlacement {
	constructor(private readonly random: Random) {}

	/** @param engines those of the service that may be given work, in an order all VMs share */
	choose(req: PlacementRequest, engines: readonly Engine[], now: number): Placement | undefined {
		const open = engines.filter((engine) => !req.tried.has(engine.id) && engine.health.admits(now));
		if (open.length === 0) {
			return undefined;
		}
		return req.parts.length === 0 ? this.leastLoaded(open) : byPrompt(req, engines, open);
	}

	/** The one with the fewest of this VM's requests; of several any. */
	private leastLoaded(open: readonly Engine[]): Placement {
		const least = Math.min(...open.map((engine) => engine.running));
		const best = open.filter((engine) => engine.running === least);
		const engine = best[Math.floor(this.random.next() * best.length)] as Engine;
		return { engine, reason: 'fewest running' };
	}
}

function byPrompt(
	req: PlacementRequest,
	engines: readonly Engine[],
	open: readonly Engine[],
): Placement {
	const side = sideOf(req, engines);
	const near = open.filter((engine) => side.has(engine.id));
	const pool = near.length > 0 ? near : open;
	const key = sharedKey(req.parts);
	const ranked = pool
		.map((engine) => ({ engine, score: rendezvous.scoreOf(key, engine.id) }))
		.sort((a, b) => b.score - a.score);
	const mean = pool.reduce((sum, engine) => sum + engine.running, 0) / pool.length;
	const bound = mean * loadFactor + loadSlack;
	const first = ranked.find(({ engine }) => engine.running < bound) ?? ranked[0];
	const chosen = first as { engine: Engine };
	const place = ranked.indexOf(chosen as (typeof ranked)[number]);
	return { engine: chosen.engine, reason: `prompt order ${place}` };
}

/** Ids of the engines that serve long prompts, or of those that serve short ones. */
function sideOf(req: PlacementRequest, engines: readonly Engine[]): ReadonlySet<string> {
	if (engines.length < leastDivided) {
		return new Set(engines.map((engine) => engine.id));
	}
	const own = req.parts.at(-1)?.tokens ?? req.promptTokens;
	const ids = engines.map((engine) => engine.id);
	const count = Math.round(ids.length * longShare);
	const ordered = rendezvous.pickTop('division', ids, ids.length);
	const chosen = own > longPromptTokens ? ordered.slice(0, count) : ordered.slice(count);
	return new Set(chosen);
}

/** The last part that other requests may share; the very last belongs to the request itself. */
function sharedKey(parts: readonly PromptPart[]): string {
	return (parts.at(-2) ?? parts[0])?.id ?? '';
}
