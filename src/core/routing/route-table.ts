/**
 * Looks up the route of a request and the customer of a key in one version of the configuration.
 * @module
 */
import type { Customer, Route, RoutingConfiguration, Service } from './types.js';

export class RouteTable {
	private readonly routesOfHost = new Map<string, Route[]>();
	private readonly customerOfKey = new Map<string, Customer>();
	private readonly serviceOfName = new Map<string, Service>();
	private readonly leastUrgentOf = new Map<string, number>();
	private readonly tightestPauseOf = new Map<string, number>();
	/** Pairs of customer's and route's tier, most urgent first. */
	private readonly urgencies: readonly string[];

	constructor(readonly configuration: RoutingConfiguration) {
		for (const route of configuration.routes) {
			const routes = this.routesOfHost.get(route.host);
			if (routes) {
				routes.push(route);
			} else {
				this.routesOfHost.set(route.host, [route]);
			}
			this.noteTier(route);
			this.notePause(route);
		}
		for (const routes of this.routesOfHost.values()) {
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}
		for (const customer of configuration.customers) {
			for (const key of customer.keys) {
				this.customerOfKey.set(key, customer);
			}
		}
		for (const service of configuration.services) {
			this.serviceOfName.set(service.name, service);
		}
		this.urgencies = urgenciesOf(configuration);
	}

	/** Shortest of the target pauses of a service's streams, in milliseconds; undefined when none has one. */
	minTargetPauseMs(service: string): number | undefined {
		return this.tightestPauseOf.get(service);
	}

	private notePause(route: Route): void {
		if (!route.isStreamed || route.targetPauseMs === undefined) {
			return;
		}
		for (const { service } of route.services) {
			const known = this.tightestPauseOf.get(service) ?? Number.POSITIVE_INFINITY;
			this.tightestPauseOf.set(service, Math.min(known, route.targetPauseMs));
		}
	}

	private noteTier(route: Route): void {
		if (!route.hasPromptSegments) {
			return;
		}
		for (const { service } of route.services) {
			const tier = Math.max(route.tier, this.leastUrgentOf.get(service) ?? 0);
			this.leastUrgentOf.set(service, tier);
		}
	}

	get version(): number {
		return this.configuration.version;
	}

	/** Whether requests must name a customer by a key. */
	get requiresKeys(): boolean {
		return this.configuration.customers.length > 0;
	}

	/**
	 * The route of the host whose prefix begins the path; of several the longest.
	 * @param host as the caller sent it, a port allowed
	 * @param target path and query as the caller sent them
	 */
	match(host: string, target: string): Route | undefined {
		const name = host.toLowerCase().replace(/:\d+$/, '');
		const path = target.split('?', 1)[0] ?? target;
		return this.routesOfHost.get(name)?.find((route) => path.startsWith(route.pathPrefix));
	}

	customer(key: string | undefined): Customer | undefined {
		return key === undefined ? undefined : this.customerOfKey.get(key);
	}

	service(name: string): Service | undefined {
		return this.serviceOfName.get(name);
	}

	/** Highest tier number of the routes to a service whose requests carry prompts. */
	leastUrgentTier(service: string): number {
		return this.leastUrgentOf.get(service) ?? 0;
	}

	/**
	 * Urgency of a request at an engine: the customer's tier first, then the route's.
	 * @returns 0 for the most urgent, up to `levels - 1`; the same on every VM
	 */
	urgency(route: Route, customer: Customer | undefined, levels: number): number {
		const rank = this.urgencies.indexOf(urgencyKey(route, customer));
		const count = this.urgencies.length;
		return count <= levels ? rank : Math.floor((rank * levels) / count);
	}

	/**
	 * Picks a service of the route by weight.
	 * @param draw a number from 0 up to, not including, 1
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

function urgenciesOf(configuration: RoutingConfiguration): string[] {
	const keys = new Set<string>();
	for (const route of configuration.routes) {
		keys.add(urgencyKey(route, undefined));
		for (const customer of configuration.customers) {
			keys.add(urgencyKey(route, customer));
		}
	}
	return [...keys].sort(byNumbers);
}

function byNumbers(a: string, b: string): number {
	const [firstA = 0, secondA = 0] = a.split(' ').map(Number);
	const [firstB = 0, secondB = 0] = b.split(' ').map(Number);
	return firstA - firstB || secondA - secondB;
}
