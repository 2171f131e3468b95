/**
 * Which endpoints an entry asks for slots. Endpoints that serve the same things want the same
 * requests; of many, an entry asks a fixed few, so that its messages do not grow with the fleet.
 * @module
 */
import type { ConfigurationView, Endpoint } from '../configuration/index.js';
import * as rendezvous from '../membership/rendezvous.js';
import { floorClassesByEndpoint } from './floors.js';

/** Endpoints of one kind that an entry asks at the least, if there are so many. */
const minAsked = 16;
/** Entries that should ask each endpoint, so that none is left without work. */
const askersPerEndpoint = 4;

/** Groups of endpoints that serve the same things, cut to those that `self` asks. */
export function selectEndpointSubsets(
	cfg: ConfigurationView,
	self: string,
	fleetSize: number,
): Endpoint[][] {
	const groups = new Map<string, Endpoint[]>();
	for (const endpoint of cfg.document.endpoints) {
		const { kind, models, service, classes, state } = endpoint;
		const key = JSON.stringify([kind, models, service, classes, state]);
		const group = groups.get(key);
		if (group) {
			group.push(endpoint);
		} else {
			groups.set(key, [endpoint]);
		}
	}
	const floors = floorClassesByEndpoint(cfg);
	return [...groups.values()].map((group) => choose(group, floors, self, fleetSize));
}

/** Endpoints that serve a class's minimum are always among the chosen. */
function choose(
	group: Endpoint[],
	floors: ReadonlyMap<string, unknown>,
	self: string,
	fleetSize: number,
): Endpoint[] {
	const perEntry = Math.ceil((askersPerEndpoint * group.length) / fleetSize);
	const count = Math.max(minAsked, perEntry);
	if (group.length <= count) {
		return group;
	}
	const names = group.map((endpoint) => endpoint.name);
	const asked = new Set(rendezvous.pickTop(self, names, count));
	return group.filter(({ name }) => asked.has(name) || floors.has(name));
}
