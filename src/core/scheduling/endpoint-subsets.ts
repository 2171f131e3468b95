/**
 * Selects the endpoints from which a daemon requests slots. Out of many interchangeable endpoints
 * it uses a fixed subset, so that its number of messages does not grow with the fleet.
 * @module
 */
import type { ConfigurationView, Endpoint } from '../configuration/index.js';
import * as rendezvous from '../membership/rendezvous.js';
import { floorClassesByEndpoint } from './floors.js';

/** Minimum number of interchangeable endpoints in a daemon's subset, if that many exist. */
const minSubsetSize = 16;
/** Daemons that should include each endpoint on average, so that no endpoint starves. */
const daemonsPerEndpoint = 4;

/** Groups of interchangeable endpoints, each reduced to the subset that `self` uses. */
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
	return [...groups.values()].map((group) => selectSubset(group, floors, self, fleetSize));
}

/** The subset always includes endpoints that serve a class's floor. */
function selectSubset(
	group: Endpoint[],
	floors: ReadonlyMap<string, unknown>,
	self: string,
	fleetSize: number,
): Endpoint[] {
	const perDaemon = Math.ceil((daemonsPerEndpoint * group.length) / fleetSize);
	const count = Math.max(minSubsetSize, perDaemon);
	if (group.length <= count) {
		return group;
	}
	const names = group.map((endpoint) => endpoint.name);
	const selected = new Set(rendezvous.pickTop(self, names, count));
	return group.filter(({ name }) => selected.has(name) || floors.has(name));
}
