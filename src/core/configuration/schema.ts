/**
 * The operators' configuration: one document for the whole fleet, kept in the key-value service.
 * @module
 */
import * as zod from 'zod';

const name = zod
	.string()
	.regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected lower-case letters, digits, dots and hyphens');
const millis = zod.int('expected a number of milliseconds').min(1);
const tokenHash = zod
	.string()
	.regex(
		/^sha256:[0-9a-f]{64}$/,
		'expected sha256: and 64 hex digits; make one with `slategauge hash-token`',
	);

/** Which policy decides the request that runs next. */
export const policies = {
	/** Each endpoint's owner grants its slots over the whole fleet. */
	granted: 'granted',
	/** Each daemon alone, least-loaded by load report; the baseline. */
	independent: 'independent',
} as const;

/** Kinds of endpoint. */
export const endpointKinds = { engine: 'engine', service: 'service' } as const;

/** What operators may say of an endpoint. */
export const endpointStates = { active: 'active', drained: 'drained' } as const;

const serviceClass = zod.strictObject({
	name,
	/** 1 is the highest tier. */
	tier: zod.int().min(1).max(16),
	/** Target of the first token, in milliseconds. */
	first_token_ms: millis,
	/** Target between two tokens, in milliseconds. @default 100 */
	between_tokens_ms: millis.default(100),
	/** An answer that ends later is of no use, in milliseconds after the request came. */
	deadline_ms: millis,
	/** A request that waits so long for a start is given up, in milliseconds. @default deadline_ms */
	patience_ms: millis.optional(),
	/** Requests may run more than once. @default true */
	repeatable: zod.boolean().default(true),
	/** Requests of this class that may always run, fleet-wide, whatever the burst. @default 1 */
	floor: zod.int().min(0).max(64).default(1),
});

const customer = zod.strictObject({
	name,
	/** SHA-256 of each bearer key. */
	key_hashes: zod.array(tokenHash).min(1),
	/** Class of requests that name none. */
	default_class: name,
	/** Classes this customer may use; empty for all. @default [] */
	classes: zod.array(name).default([]),
	/** Share of a tier beside other customers. @default 1 */
	weight: zod.number().positive().default(1),
});

const endpoint = zod.strictObject({
	name,
	/** `engine` or `service`. @default 'engine' */
	kind: zod.enum(endpointKinds).default('engine'),
	/** Base URL, by IP number. */
	url: zod.url('expected a URL, such as http://10.0.1.5:9000'),
	/** Failure domain that the endpoint stands in. */
	failure_domain: zod.string().min(1).optional(),
	/** Models of an engine. @default [] */
	models: zod.array(name).default([]),
	/** Plain service that a service endpoint belongs to. */
	service: name.optional(),
	/** Classes served; empty for all. @default [] */
	classes: zod.array(name).default([]),
	/** Running requests at the start, before a limit is learned. @default 16 */
	slots: zod.int().min(1).max(4096).default(16),
	/** Largest limit that may be learned. @default 256 */
	max_slots: zod.int().min(1).max(4096).default(256),
	/** Whether the endpoint checks fencing tokens of orders. @default false */
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
	/** SHA-256 of each operator's token. */
	token_hashes: zod.array(tokenHash).min(1),
});

const policy = zod.strictObject({
	/** @default 'granted' */
	name: zod.enum(policies).default('granted'),
	/** Learn limits; else `slots` stays. @default true */
	learn_limits: zod.boolean().default(true),
	/** A request that waited for this share of its first-token target may preempt. @default 0.5 */
	preempt_after: zod.number().min(0).max(10).default(0.5),
});

/** The whole document. */
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
