/**
 * Computes the desired number of spot and regular engines per failure domain, without keeping state. Spot engines are cheaper,
 * but a domain can lose all of them at once. They are spread over all domains with enough headroom for the loss of one, and
 * regular engines cover only what is still missing.
 * @module
 */
import type { ScalingLimits } from '../routing/types.js';
import type { EngineNeed } from './engine-sizing.js';

/** Engines of one service in one failure domain. */
export interface DomainEngines {
	domain: string;
	/** Serving engines of each kind. */
	spot: number;
	regular: number;
	/** Ordered, not serving yet. */
	spotBooting: number;
	regularBooting: number;
	/** The platform has no spot engines there at present. */
	isSpotUnavailable: boolean;
}

/** Desired engines in one failure domain. */
export interface DomainPlan {
	domain: string;
	spot: number;
	regular: number;
}

/** @param current one entry per domain */
export function planEngines(
	need: EngineNeed,
	limits: ScalingLimits,
	current: readonly DomainEngines[],
): DomainPlan[] {
	const spot = planSpot(need.wanted, limits, current);
	const isRegularOnly = limits.spotPrice >= 1;
	const regular = planRegular(isRegularOnly ? need.wanted : need.required, limits, current);
	return current.map(({ domain }, index) => {
		const spotHere = spot[index] ?? 0;
		const regularHere = regular[index] ?? 0;
		// Keeps the configured minimum in each domain.
		const missing = Math.max(0, limits.minEngines - spotHere - regularHere);
		return { domain, spot: spotHere, regular: regularHere + missing };
	});
}

/** Spreads spot engines evenly, with headroom for the loss of a domain; domains without available spot engines keep theirs. */
function planSpot(
	wanted: number,
	limits: ScalingLimits,
	current: readonly DomainEngines[],
): number[] {
	if (limits.spotPrice >= 1) {
		return current.map(() => 0);
	}
	const domains = current.length;
	const withHeadroom = Math.ceil((wanted * domains) / Math.max(1, domains - 1));
	const unavailable = current.filter(({ isSpotUnavailable }) => isSpotUnavailable);
	const kept = unavailable.reduce((sum, { spot }) => sum + spot, 0);
	const each = Math.ceil(
		Math.max(0, withHeadroom - kept) / Math.max(1, domains - unavailable.length),
	);
	return current.map(({ spot, regular, isSpotUnavailable }) => {
		const capacity = Math.max(0, limits.maxEngines - regular);
		return Math.min(isSpotUnavailable ? spot : each, capacity);
	});
}

/**
 * Covers with regular engines what spot engines do not. Present ones stay until enough spot engines serve; more are added
 * only beyond what booting spot engines will cover.
 */
function planRegular(
	required: number,
	limits: ScalingLimits,
	current: readonly DomainEngines[],
): number[] {
	const serving = current.reduce((sum, { spot }) => sum + spot, 0);
	const booting = current.reduce(
		(sum, one) => sum + (one.isSpotUnavailable ? 0 : one.spotBooting),
		0,
	);
	const present = current.reduce((sum, one) => sum + one.regular + one.regularBooting, 0);
	const maxRegular = Math.max(0, required - serving);
	const minRegular = Math.max(0, maxRegular - booting);
	const wanted = Math.min(Math.max(present, minRegular), maxRegular);
	return distributeRegular(wanted, limits, current);
}

/** Keeps engines where they are and adds new ones in the cheapest domains with capacity left. */
function distributeRegular(
	total: number,
	limits: ScalingLimits,
	current: readonly DomainEngines[],
): number[] {
	const present = current.map(({ regular, regularBooting }) => regular + regularBooting);
	const sum = present.reduce((all, one) => all + one, 0);
	if (total <= sum) {
		// Rounds up, since a shortage is worse than a temporary surplus.
		return present.map((one) => (sum === 0 ? 0 : Math.ceil((one * total) / sum)));
	}
	const shares = [...present];
	const priceOf = (index: number) =>
		limits.domains.find(({ name }) => name === current[index]?.domain)?.price ?? 1;
	const cheapestFirst = current.map((_, index) => index).sort((a, b) => priceOf(a) - priceOf(b));
	let left = total - sum;
	for (let round = 0; left > 0 && round < limits.maxEngines; round++) {
		for (const index of cheapestFirst) {
			const isFull = (shares[index] ?? 0) + (current[index]?.spot ?? 0) >= limits.maxEngines;
			if (left > 0 && !isFull) {
				shares[index] = (shares[index] ?? 0) + 1;
				left--;
			}
		}
	}
	return shares;
}
