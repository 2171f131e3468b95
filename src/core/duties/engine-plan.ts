/**
 * Where the engines of a service should be, and of which kind: a decision without state, from what is there now.
 *
 * Engines that may be taken away cost a fraction of the others. All of a failure domain's are taken at once, with two
 * seconds' notice, and for a while there may be no more of them: so the work is spread over all domains with as many more
 * as the loss of one takes, and others are ordered only for what is missing then.
 * @module
 */
import type { ScalingLimits } from '../routing/types.js';
import type { EngineNeed } from './engine-sizing.js';

/** Engines of one service in one failure domain. */
export interface DomainEngines {
	domain: string;
	/** That serve now, of those that may be taken away, and of the others. */
	spot: number;
	regular: number;
	/** Ordered lately, not serving yet. */
	spotBooting: number;
	regularBooting: number;
	/** There are none to be had that may be taken away. */
	isSpotUnavailable: boolean;
}

/** Engines that there should be in one failure domain. */
export interface DomainPlan {
	domain: string;
	spot: number;
	regular: number;
}

/** @param now one entry a domain */
export function planEngines(
	need: EngineNeed,
	supply: ScalingLimits,
	now: readonly DomainEngines[],
): DomainPlan[] {
	const spot = spotOf(need.wanted, supply, now);
	const isOnlyKind = supply.spotPrice >= 1;
	const regular = regularOf(isOnlyKind ? need.wanted : need.required, supply, now);
	return now.map(({ domain }, at) => {
		const spotHere = spot[at] ?? 0;
		const regularHere = regular[at] ?? 0;
		// The service must not vanish from a domain where the operators want it.
		const missing = Math.max(0, supply.minEngines - spotHere - regularHere);
		return { domain, spot: spotHere, regular: regularHere + missing };
	});
}

/** Spread evenly, with room for the loss of a domain; a dry one keeps what it has, and the others take its share. */
function spotOf(wanted: number, supply: ScalingLimits, now: readonly DomainEngines[]): number[] {
	if (supply.spotPrice >= 1) {
		return now.map(() => 0);
	}
	const domains = now.length;
	const withRoom = Math.ceil((wanted * domains) / Math.max(1, domains - 1));
	const dry = now.filter(({ isSpotUnavailable: isSpotDry }) => isSpotDry);
	const kept = dry.reduce((sum, { spot }) => sum + spot, 0);
	const each = Math.ceil(Math.max(0, withRoom - kept) / Math.max(1, domains - dry.length));
	return now.map(({ spot, regular, isSpotUnavailable: isSpotDry }) => {
		const room = Math.max(0, supply.maxEngines - regular);
		return Math.min(isSpotDry ? spot : each, room);
	});
}

/**
 * Of the others: as many as are missing. Those that are there stay until enough of the cheaper ones serve; more are
 * ordered only for what those that boot will not make up for.
 */
function regularOf(
	required: number,
	supply: ScalingLimits,
	now: readonly DomainEngines[],
): number[] {
	const serving = now.reduce((sum, { spot }) => sum + spot, 0);
	const booting = now.reduce((sum, one) => sum + (one.isSpotUnavailable ? 0 : one.spotBooting), 0);
	const present = now.reduce((sum, one) => sum + one.regular + one.regularBooting, 0);
	const most = Math.max(0, required - serving);
	const least = Math.max(0, most - booting);
	const wanted = Math.min(Math.max(present, least), most);
	return share(wanted, supply, now);
}

/** Keeps engines where they are; what is added goes to the cheapest domains that have room. */
function share(total: number, supply: ScalingLimits, now: readonly DomainEngines[]): number[] {
	const present = now.map(({ regular, regularBooting }) => regular + regularBooting);
	const sum = present.reduce((all, one) => all + one, 0);
	if (total <= sum) {
		// Rounded up: one too many for a moment is better than one too few.
		return present.map((one) => (sum === 0 ? 0 : Math.ceil((one * total) / sum)));
	}
	const shares = [...present];
	const priceOf = (at: number) =>
		supply.domains.find(({ name }) => name === now[at]?.domain)?.price ?? 1;
	const cheapestFirst = now.map((_, at) => at).sort((a, b) => priceOf(a) - priceOf(b));
	let left = total - sum;
	for (let round = 0; left > 0 && round < supply.maxEngines; round++) {
		for (const at of cheapestFirst) {
			const isFull = (shares[at] ?? 0) + (now[at]?.spot ?? 0) >= supply.maxEngines;
			if (left > 0 && !isFull) {
				shares[at] = (shares[at] ?? 0) + 1;
				left--;
			}
		}
	}
	return shares;
}
