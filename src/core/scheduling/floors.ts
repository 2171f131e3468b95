/**
 * Assigns the floor of each class to endpoints. Every daemon computes the same assignment.
 * @module
 */
import type { ConfigurationView, RoutingTarget } from '../configuration/index.js';
import * as rendezvous from '../membership/rendezvous.js';

/** Names of the classes whose floor an endpoint serves, by endpoint name. */
export function floorClassesByEndpoint(cfg: ConfigurationView): Map<string, Set<string>> {
	const floors = new Map<string, Set<string>>();
	for (const target of targetsOf(cfg)) {
		for (const cls of cfg.document.classes) {
			const names = cfg.findEligibleEndpoints(target, cls.name).map((endpoint) => endpoint.name);
			const key = `floor ${cls.name} ${target}`;
			for (const name of rendezvous.pickTop(key, names, cls.floor)) {
				const classes = floors.get(name) ?? new Set();
				classes.add(cls.name);
				floors.set(name, classes);
			}
		}
	}
	return floors;
}

function targetsOf(cfg: ConfigurationView): Set<RoutingTarget> {
	const targets = new Set<RoutingTarget>();
	for (const endpoint of cfg.document.endpoints) {
		for (const model of endpoint.models) {
			targets.add(`model:${model}`);
		}
		if (endpoint.service !== undefined) {
			targets.add(`service:${endpoint.service}`);
		}
	}
	return targets;
}
