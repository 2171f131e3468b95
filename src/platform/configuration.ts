/**
 * Decodes the operators' configuration from the platform's store.
 * @module
 */
import './zod-setup.js';
import * as zod from 'zod/mini';
import type { Route, RoutingConfiguration, ScalingLimits, Service } from '../core/routing/types.js';
import { repeatabilities } from '../core/routing/types.js';

/** Tier of a route without a priority; the scale is 0 to 9. */
const defaultTier = 5;
/** Applies to routes without a `timeout-ms`. */
const defaultTimeoutMs = 60_000;

/** Timers fire at once when set for longer, in milliseconds. */
const maxTimerMs = 2 ** 31 - 1;
const nonNegative = zod.number().check(zod.gte(0));
const duration = zod.number().check(zod.gte(0), zod.lte(maxTimerMs));

const routeSchema = zod.object({
	name: zod.string(),
	hostname: zod.string(),
	'path-prefix': zod.string(),
	/** `streaming`, `idempotent` or `non_idempotent`; requests of any other type run at most once. */
	type: zod._default(zod.string(), 'non_idempotent'),
	'timeout-ms': zod._default(duration, defaultTimeoutMs),
	'target-latency-ms': zod._default(duration, 1000),
	/** Inter-token latency: the longest pause between two events. */
	'target-itl-ms': zod.optional(duration),
	priority: zod._default(nonNegative, defaultTier),
	service: zod.optional(zod.string()),
	'traffic-split': zod.optional(
		zod.array(zod.object({ service: zod.string(), weight: nonNegative })),
	),
	'max-attempts': zod._default(nonNegative, 1),
	anonymous: zod._default(zod.boolean(), false),
	/** Set on routes whose requests list their prompt segments. */
	'session-affinity': zod._default(zod.boolean(), false),
	'stream-resume': zod._default(zod.boolean(), false),
});

const serviceSchema = zod.object({
	name: zod.string(),
	'health-path': zod._default(zod.string(), '/healthz'),
	'max-connections': zod._default(nonNegative, 100),
	/** Present for model engines. */
	backend: zod.optional(zod.object({ slots: nonNegative, 'kv-capacity': nonNegative })),
	/** Present where the router scales the engines; the limits apply per zone. */
	autoscale: zod.optional(
		zod.object({
			'min-replicas': zod._default(nonNegative, 0),
			'max-replicas': nonNegative,
			'boot-time-s': zod._default(duration, 0),
			'spot-price': zod._default(nonNegative, 1),
			/** Price of one engine for one second, by zone. */
			'zone-prices': zod.record(zod.string(), nonNegative),
		}),
	),
});

const schema = zod.object({
	version: zod.int().check(zod.gte(0)),
	routes: zod.array(routeSchema),
	services: zod.array(serviceSchema),
	limits: zod.prefault(
		zod.object({
			'max-header-bytes': zod._default(nonNegative, 16_384),
			'max-body-bytes': zod._default(nonNegative, 4_194_304),
			'header-timeout-ms': zod._default(duration, 3000),
			'idle-timeout-ms': zod._default(duration, 15_000),
		}),
		{},
	),
	tenants: zod._default(
		zod.array(
			zod.object({
				name: zod.string(),
				'api-keys': zod._default(zod.array(zod.string()), []),
				priority: zod.optional(nonNegative),
			}),
		),
		[],
	),
});

/**
 * @throws Error when the text is not a valid configuration; the message lists every finding
 */
export function decodeConfiguration(text: string): RoutingConfiguration {
	const parsed = schema.safeParse(JSON.parse(text));
	if (!parsed.success) {
		const findings = parsed.error.issues.map(
			(issue) => `${issue.path.join('.')}: ${issue.message}`,
		);
		throw new Error(findings.join('; '));
	}
	const raw = parsed.data;
	return {
		version: raw.version,
		routes: raw.routes.map(toRoute),
		services: raw.services.map(toService),
		customers: raw.tenants.map((tenant) => ({
			name: tenant.name,
			keys: tenant['api-keys'],
			tier: tenant.priority,
		})),
		limits: {
			headBytes: raw.limits['max-header-bytes'],
			bodyBytes: raw.limits['max-body-bytes'],
			headTimeoutMs: raw.limits['header-timeout-ms'],
			idleTimeoutMs: raw.limits['idle-timeout-ms'],
		},
	};
}

function toRoute(raw: zod.infer<typeof routeSchema>): Route {
	const isResumable = raw.type === 'streaming' && raw['stream-resume'];
	const isRepeatable = raw.type === 'idempotent' || isResumable;
	const singleService = raw.service === undefined ? [] : [{ service: raw.service, weight: 1 }];
	return {
		name: raw.name,
		host: raw.hostname.toLowerCase(),
		pathPrefix: raw['path-prefix'],
		repeatability: isRepeatable ? repeatabilities.idempotent : repeatabilities.once,
		isStreamed: raw.type === 'streaming',
		isResumable,
		timeoutMs: raw['timeout-ms'],
		targetMs: raw['target-latency-ms'],
		targetPauseMs: raw['target-itl-ms'],
		tier: raw.priority,
		services: raw['traffic-split'] ?? singleService,
		maxEngines: Math.max(1, raw['max-attempts']),
		allowsAnonymous: raw.anonymous,
		hasPromptSegments: raw['session-affinity'],
	};
}

function toService(raw: zod.infer<typeof serviceSchema>): Service {
	const { backend } = raw;
	return {
		name: raw.name,
		healthPath: raw['health-path'],
		maxConnections: raw['max-connections'],
		model: backend && { slots: backend.slots, kvCapacityTokens: backend['kv-capacity'] },
		scaling: raw.autoscale && toScalingLimits(raw.autoscale),
	};
}

function toScalingLimits(
	raw: NonNullable<zod.infer<typeof serviceSchema>['autoscale']>,
): ScalingLimits {
	return {
		minEngines: raw['min-replicas'],
		maxEngines: raw['max-replicas'],
		bootMs: raw['boot-time-s'] * 1000,
		spotPrice: raw['spot-price'],
		domains: Object.entries(raw['zone-prices']).map(([name, price]) => ({ name, price })),
	};
}
