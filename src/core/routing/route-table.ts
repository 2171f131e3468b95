/**
 * Finds the route of a request and the customer of a key in one version of the configuration.
 * @module
 */
import type { Customer, Route, RoutingConfiguration, Service } from './types.js';

export class RouteTable {
	private readonly routesByHost = new Map<string, Route[]>();
	private readonly customersByKey = new Map<string, Customer>();
	private readonly servicesByName = new Map<string, Service>();
	private readonly leastUrgentTiers = new Map<string, number>();
	private readonly minTargetPauses = new Map<string, number>();
	/** Pairs of route tier and customer tier, most urgent first. */
	private readonly urgencies: readonly string[];

	constructor(readonly configuration: RoutingConfiguration) {
		for (const route of configuration.routes) {
			const routes = this.routesByHost.get(route.host);
			if (routes) {
				routes.push(route);
			} else {
				this.routesByHost.set(route.host, [route]);
			}
			this.recordTier(route);
			this.recordTargetPause(route);
		}
		for (const routes of this.routesByHost.values()) {
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}
		for (const customer of configuration.customers) {
			for (const key of customer.keys) {
				this.customersByKey.set(key, customer);
			}
		}
		for (const service of configuration.services) {
			this.servicesByName.set(service.name, service);
		}
		this.urgencies = collectUrgencies(configuration);
	}

	/** Shortest target pause of the streams of a service, in milliseconds; undefined when none has one. */
	getMinTargetPauseMs(service: string): number | undefined {
		return this.minTargetPauses.get(service);
	}

	private recordTargetPause(route: Route): void {
		if (!route.isStreamed || route.targetPauseMs === undefined) {
			return;
		}
		for (const { service } of route.services) {
			const known = this.minTargetPauses.get(service) ?? Number.POSITIVE_INFINITY;
			this.minTargetPauses.set(service, Math.min(known, route.targetPauseMs));
		}
	}

	private recordTier(route: Route): void {
		if (!route.hasPromptSegments) {
			return;
		}
		for (const { service } of route.services) {
			const tier = Math.max(route.tier, this.leastUrgentTiers.get(service) ?? 0);
			this.leastUrgentTiers.set(service, tier);
		}
	}

	get version(): number {
		return this.configuration.version;
	}

	/** Whether requests must identify a customer by a key. */
	get requiresKeys(): boolean {
		return this.configuration.customers.length > 0;
	}

	/**
	 * Returns the route of the host with the longest matching path prefix.
	 * @param host as sent by the caller, with or without a port
	 * @param target path and query as sent by the caller
	 */
	match(host: string, target: string): Route | undefined {
		const name = host.toLowerCase().replace(/:\d+$/, '');
		const path = target.split('?', 1)[0] ?? target;
		return this.routesByHost.get(name)?.find((route) => path.startsWith(route.pathPrefix));
	}

	findCustomer(key: string | undefined): Customer | undefined {
		return key === undefined ? undefined : this.customersByKey.get(key);
	}

	findService(name: string): Service | undefined {
		return this.servicesByName.get(name);
	}

	/** Highest tier number among the routes to a service whose requests carry prompt segments. */
	getLeastUrgentTier(service: string): number {
		return this.leastUrgentTiers.get(service) ?? 0;
	}

	/**
	 * Urgency of a request at an engine: ordered by the tier of the route, then by the tier of the customer.
	 * @returns 0 for the most urgent, up to `levels - 1`; equal on all VMs
	 */
	getUrgency(route: Route, customer: Customer | undefined, levels: number): number {
		const rank = this.urgencies.indexOf(urgencyKey(route, customer));
		const count = this.urgencies.length;
		return count <= levels ? rank : Math.floor((rank * levels) / count);
	}

	/**
	 * Picks a service of the route by weight.
	 * @param draw random number from 0 (inclusive) to 1 (exclusive)
	 */
	static pickService(route: Route, draw: number): string | undefined {
		const total = route.services.reduce((sum, share) => sum + share.weight, 0);
		let left = draw * total;
		for (const share of route.services) {
			left -= share.weight;
			if (left < 0) {
				return share.service;
			}
		}
		return route.services.at(-1)?.service;
	}
}

function urgencyKey(route: Route, customer: Customer | undefined): string {
	return `${route.tier} ${customer?.tier ?? route.tier}`;
}

function collectUrgencies(configuration: RoutingConfiguration): string[] {
	const keys = new Set<string>();
	for (const route of configuration.routes) {
		keys.add(urgencyKey(route, undefined));
		for (const customer of configuration.customers) {
			keys.add(urgencyKey(route, customer));
		}
	}
	return [...keys].sort(compareUrgencyKeys);
}

function compareUrgencyKeys(a: string, b: string): number {
	const [firstA = 0, secondA = 0] = a.split(' ').map(Number);
	const [firstB = 0, secondB = 0] = b.split(' ').map(Number);
	return firstA - firstB || secondA - secondB;
}
