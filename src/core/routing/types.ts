/**
 * What the operators want: routes, services, customers. The adapter of a deployment builds these.
 * @module
 */

/** How often a request of a route may run. */
export const repeatabilities = {
	/** Any number of times. */
	idempotent: 'idempotent',
	/** At most once. */
	once: 'once',
} as const;
export type Repeatability = (typeof repeatabilities)[keyof typeof repeatabilities];

/** Where a route sends its requests, with the share of each service. */
export interface ServiceShare {
	service: string;
	/** Relative to the sum over the route. */
	weight: number;
}

export interface Route {
	name: string;
	/** Lower case, without a port. */
	host: string;
	/** Starts and ends with a slash. */
	pathPrefix: string;
	repeatability: Repeatability;
	/** The answer is a stream of events. */
	isStreamed: boolean;
	/** A broken stream may go on at another engine behind its last event. */
	isResumable: boolean;
	/** Longest time that a request may be held, in milliseconds. */
	timeoutMs: number;
	/** First event or whole answer within this time is on target, in milliseconds. */
	targetMs: number;
	/** Longest pause between events on target, in milliseconds; streams only. */
	targetPauseMs?: number;
	/** 0 is the most urgent. */
	tier: number;
	services: readonly ServiceShare[];
	/** Most engines that one request may be sent to. */
	maxEngines: number;
	/** No key is asked for. */
	allowsAnonymous: boolean;
	/** Requests carry the parts of their prompt. */
	hasPromptSegments: boolean;
}

/** Batch and memory of a model engine. */
export interface ModelCapacity {
	/** Requests that run at once. */
	slots: number;
	/** Tokens that its memory holds. */
	kvCapacityTokens: number;
}

/** How many engines of a service may be ordered, and what they cost. */
export interface ScalingLimits {
	/** Of both kinds together, in each failure domain. */
	minEngines: number;
	maxEngines: number;
	/** From an order until an engine serves, in milliseconds. */
	bootMs: number;
	/** Price of an engine that may be taken away, as a share of that of another. */
	spotPrice: number;
	/** Failure domains where the service may run, with the price of an engine there. */
	domains: readonly { name: string; price: number }[];
}

export interface Service {
	name: string;
	healthPath: string;
	/** Connections that one engine accepts from all callers together. */
	maxConnections: number;
	/** Present where the service's engines run language models. */
	model?: ModelCapacity;
	/** Present where engines may be ordered. */
	scaling?: ScalingLimits;
}

export interface Customer {
	name: string;
	keys: readonly string[];
	/** Goes before the tier of the route. */
	tier?: number;
}

/** Bounds on what a caller may send. */
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
	/** Rises with each change, not always by one. */
	version: number;
	routes: readonly Route[];
	services: readonly Service[];
	customers: readonly Customer[];
	limits: CallerLimits;
}
