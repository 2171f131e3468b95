/**
 * The operators' configuration: routes, services and customers. Built by the adapter of a deployment.
 * @module
 */

/** How often a request of a route may be executed. */
export const repeatabilities = {
	/** Any number of times. */
	idempotent: 'idempotent',
	/** At most once. */
	once: 'once',
} as const;
export type Repeatability = (typeof repeatabilities)[keyof typeof repeatabilities];

/** Share of the requests of a route that a service receives. */
export interface ServiceShare {
	service: string;
	/** Relative to the sum of the weights of the route. */
	weight: number;
}

export interface Route {
	name: string;
	/** Lower case, without a port. */
	host: string;
	/** Starts and ends with a slash. */
	pathPrefix: string;
	repeatability: Repeatability;
	isStreamed: boolean;
	/** A broken stream may continue on another engine after its last event. */
	isResumable: boolean;
	/** Maximum duration of a request, in milliseconds. */
	timeoutMs: number;
	/** Target for the first event or the whole answer, in milliseconds. */
	targetMs: number;
	/** Target for the pause between events of a stream, in milliseconds. */
	targetPauseMs?: number;
	/** 0 is the most urgent. */
	tier: number;
	services: readonly ServiceShare[];
	/** Maximum number of engines that a request may be sent to. */
	maxEngines: number;
	/** Requests need no key. */
	allowsAnonymous: boolean;
	hasPromptSegments: boolean;
}

/** Batch size and KV cache capacity of a model engine. */
export interface ModelCapacity {
	/** Number of requests that run concurrently. */
	slots: number;
	kvCapacityTokens: number;
}

/** Limits and prices for ordering engines of a service. */
export interface ScalingLimits {
	/** Limits per failure domain, for spot and regular engines together. */
	minEngines: number;
	maxEngines: number;
	/** Time from an order until the engine serves, in milliseconds. */
	bootMs: number;
	/** Price of a spot engine as a share of the regular price. */
	spotPrice: number;
	/** Failure domains where the service may run, with their price per engine. */
	domains: readonly { name: string; price: number }[];
}

export interface Service {
	name: string;
	healthPath: string;
	/** Connections that one engine accepts in total. */
	maxConnections: number;
	/** Present if the engines run language models. */
	model?: ModelCapacity;
	/** Present if engines may be ordered. */
	scaling?: ScalingLimits;
}

export interface Customer {
	name: string;
	keys: readonly string[];
	/** Orders requests within the tier of a route; defaults to the tier of the route. */
	tier?: number;
}

/** Limits on requests of callers. */
export interface CallerLimits {
	headBytes: number;
	bodyBytes: number;
	/** A head must be complete within this time, in milliseconds. */
	headTimeoutMs: number;
	/** An unused connection is closed after this time, in milliseconds. */
	idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface RoutingConfiguration {
	/** Increases with each change, not necessarily by one. */
	version: number;
	routes: readonly Route[];
	services: readonly Service[];
	customers: readonly Customer[];
	limits: CallerLimits;
}
