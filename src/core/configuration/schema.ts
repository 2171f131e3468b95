/**
 * Schema of the operators' configuration: one document for the whole fleet, stored in the key-value service.
 * @module
 */
import * as zod from 'zod';

const name = zod
	.string()
	.regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected lower-case letters, digits, dots and hyphens');
const durationMs = zod.int('expected a number of milliseconds').min(1);
const tokenHash = zod
	.string()
	.regex(
		/^sha256:[0-9a-f]{64}$/,
		'expected sha256: and 64 hex digits; make one with `slategauge hash-token`',
	);

/** Scheduling policy that chooses the next request to run. */
export const policies = {
	/** The owner of each endpoint grants its slots to the whole fleet. */
	granted: 'granted',
	/** Each daemon decides alone and chooses the least-loaded endpoint by load reports. */
	independent: 'independent',
} as const;

/** Kinds of endpoint. */
export const endpointKinds = { engine: 'engine', service: 'service' } as const;

/** State of an endpoint that operators set. */
export const endpointStates = { active: 'active', drained: 'drained' } as const;

const serviceClass = zod.strictObject({
	name,
	/** 1 is the highest tier. */
	tier: zod.int().min(1).max(16),
	/** Target for the time to the first token, in milliseconds. */
	first_token_ms: durationMs,
	/** Target for the time between two tokens, in milliseconds. @default 100 */
	between_tokens_ms: durationMs.default(100),
	/** Time after the request's arrival by which the answer has to be complete, in milliseconds. */
	deadline_ms: durationMs,
	/** Maximum time that a request waits to start, in milliseconds. @default deadline_ms */
	patience_ms: durationMs.optional(),
	/** Requests may run more than once. @default true */
	repeatable: zod.boolean().default(true),
	/** Slots reserved for this class, fleet-wide. @default 1 */
	floor: zod.int().min(0).max(64).default(1),
});

const customer = zod.strictObject({
	name,
	/** SHA-256 hash of each bearer key. */
	key_hashes: zod.array(tokenHash).min(1),
	/** Class of requests without a class. */
	default_class: name,
	/** Classes this customer may use; empty for all. @default [] */
	classes: zod.array(name).default([]),
	/** Weight of this customer's share of a tier. @default 1 */
	weight: zod.number().positive().default(1),
});

const endpoint = zod.strictObject({
	name,
	/** `engine` or `service`. @default 'engine' */
	kind: zod.enum(endpointKinds).default('engine'),
	/** Base URL with an IP address. */
	url: zod.url('expected a URL, such as http://10.0.1.5:9000'),
	/** Failure domain of the endpoint. */
	failure_domain: zod.string().min(1).optional(),
	/** Models that an engine serves. @default [] */
	models: zod.array(name).default([]),
	/** Service that a service endpoint belongs to. */
	service: name.optional(),
	/** Classes that the endpoint serves; empty for all. @default [] */
	classes: zod.array(name).default([]),
	/** Initial concurrency limit, until one is learned. @default 16 */
	slots: zod.int().min(1).max(4096).default(16),
	/** Maximum concurrency limit that may be learned. @default 256 */
	max_slots: zod.int().min(1).max(4096).default(256),
	/** Whether the endpoint checks the fencing tokens of orders. @default false */
	checks_fencing: zod.boolean().default(false),
	/** `active` or `drained`. @default 'active' */
	state: zod.enum(endpointStates).default('active'),
});

const service = zod.strictObject({
	name,
	/** Requests may run more than once. @default false */
	repeatable: zod.boolean().default(false),
});

const operators = zod.strictObject({
	/** SHA-256 hash of each operator's token. */
	token_hashes: zod.array(tokenHash).min(1),
});

const policy = zod.strictObject({
	/** @default 'granted' */
	name: zod.enum(policies).default('granted'),
	/** Whether to learn concurrency limits; otherwise `slots` is the limit. @default true */
	learn_limits: zod.boolean().default(true),
	/** Fraction of its first-token target that a request waits before it may preempt another. @default 0.5 */
	preempt_after: zod.number().min(0).max(10).default(0.5),
});

export const configurationSchema = zod.strictObject({
	policy: policy.default(policy.parse({})),
	operators,
	classes: zod.array(serviceClass).min(1),
	customers: zod.array(customer).min(1),
	endpoints: zod.array(endpoint).min(1),
	services: zod.array(service).default([]),
});

export type Configuration = zod.infer<typeof configurationSchema>;
export type ServiceClass = zod.infer<typeof serviceClass>;
export type Customer = zod.infer<typeof customer>;
export type Endpoint = zod.infer<typeof endpoint>;
export type Service = zod.infer<typeof service>;
