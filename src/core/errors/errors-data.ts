/**
 * Errors shown to callers and operators. The error reference is generated from these definitions.
 * @module
 */

/** Definition of a user-facing error. */
export interface ErrorData {
	/** Stable name, used in response bodies, logs and documentation. */
	name: string;
	title: string;
	/** What happened; a function when it includes details. */
	message: string | ((...params: string[]) => string);
	/** How to resolve it. */
	hint?: string;
	/** HTTP status, for errors that reach an HTTP client. */
	status?: number;
}

export const InvalidSettings = {
	name: 'InvalidSettings',
	title: 'The settings are not valid',
	message: 'The settings file has findings; the daemon did not start.',
	hint: 'Run `slategauged check FILE` for the list.',
} as const satisfies ErrorData;

export const InvalidConfiguration = {
	name: 'InvalidConfiguration',
	title: 'The configuration is not valid',
	message: 'The configuration has findings; it was not applied.',
	hint: 'Run `slategauge config check FILE` for the list.',
	status: 400,
} as const satisfies ErrorData;

export const ConfigurationConflict = {
	name: 'ConfigurationConflict',
	title: 'Another operator changed the configuration first',
	message: (version: string, by: string, changed: string) =>
		`Version ${version} by ${by} was accepted first; it changed: ${changed}.`,
	hint: 'Look at `slategauge config show`, then apply again on top of that version.',
	status: 409,
} as const satisfies ErrorData;

export const PlatformUnavailable = {
	name: 'PlatformUnavailable',
	title: 'The key-value service cannot be reached',
	message:
		'The key-value service did not answer in time; whether a write took effect is not known.',
	hint: 'Requests go on with the configuration in force. Try the change again later.',
	status: 503,
} as const satisfies ErrorData;

export const NotReady = {
	name: 'NotReady',
	title: 'The daemon has no configuration yet',
	message: 'No configuration was found in the key-value service or at a peer.',
	hint: 'Upload one with `slategauge config apply FILE`.',
	status: 503,
} as const satisfies ErrorData;

export const Stopping = {
	name: 'Stopping',
	title: 'The daemon is stopping',
	message: 'This daemon takes no new requests.',
	hint: 'Send the request again; the balancer will choose another daemon.',
	status: 503,
} as const satisfies ErrorData;

export const Unauthorized = {
	name: 'Unauthorized',
	title: 'The key is missing or unknown',
	message: 'The bearer key belongs to no customer.',
	hint: 'Send `Authorization: Bearer KEY` with a key that an operator gave you.',
	status: 401,
} as const satisfies ErrorData;

export const BadRequest = {
	name: 'BadRequest',
	title: 'The request cannot be read',
	message: (why: string) => `The request cannot be read: ${why}.`,
	status: 400,
} as const satisfies ErrorData;

export const NotFound = {
	name: 'NotFound',
	title: 'No such path, model or service',
	message: (what: string) => `Nothing here serves ${what}.`,
	hint: 'Ask GET /v1/models for the models that your key may use.',
	status: 404,
} as const satisfies ErrorData;

export const ClassNotAllowed = {
	name: 'ClassNotAllowed',
	title: 'The class is unknown or not open to this customer',
	message: (cls: string) => `The class ${cls} is unknown or not open to this customer.`,
	status: 403,
} as const satisfies ErrorData;

export const TooLarge = {
	name: 'TooLarge',
	title: 'The request is too large',
	message: (limit: string) => `The request body is larger than ${limit} bytes.`,
	status: 413,
} as const satisfies ErrorData;

export const HeadTooLarge = {
	name: 'HeadTooLarge',
	title: 'The request head is too large',
	message: (limit: string) => `The request line and headers are larger than ${limit} bytes.`,
	status: 431,
} as const satisfies ErrorData;

export const NoSuchWeights = {
	name: 'NoSuchWeights',
	title: 'The weight store does not have these weights',
	message: (name: string) => `The weight store has nothing named ${name}.`,
	status: 404,
} as const satisfies ErrorData;

export const WeightStoreBusy = {
	name: 'WeightStoreBusy',
	title: 'The weight store is busy',
	message:
		'The weight store has reached its rate limit or does not answer; the order was not given.',
	hint: 'Give the order again later.',
	status: 503,
} as const satisfies ErrorData;

export const Shed = {
	name: 'Shed',
	title: 'Given up under load',
	message: 'There is more work of this or a higher tier than the endpoints can finish in time.',
	hint: 'Come back after the time in Retry-After.',
	status: 503,
} as const satisfies ErrorData;

export const Overloaded = {
	name: 'Overloaded',
	title: 'No memory or connections are left',
	message:
		'Callers hold as much memory, or as many connections, as this VM has for them. It did not run.',
	hint: 'Come back after the time in Retry-After.',
	status: 503,
} as const satisfies ErrorData;

export const DeadlinePassed = {
	name: 'DeadlinePassed',
	title: 'The deadline passed before an endpoint was free',
	message: 'The request waited until its deadline could no longer be met. It did not run.',
	hint: 'Come back after the time in Retry-After.',
	status: 504,
} as const satisfies ErrorData;

export const EndpointUnavailable = {
	name: 'EndpointUnavailable',
	title: 'No endpoint could be reached',
	message: 'No endpoint that serves this request could be reached. It did not run.',
	status: 503,
} as const satisfies ErrorData;

export const OutcomeUnknown = {
	name: 'OutcomeUnknown',
	title: 'The request may have run',
	message:
		'The endpoint was lost after the request was sent. It may have run, and was not sent again.',
	hint: 'Find out at the service itself before you send it again.',
	status: 502,
} as const satisfies ErrorData;

export const AnswerIncomplete = {
	name: 'AnswerIncomplete',
	title: 'The answer broke off',
	message: 'The answer broke off and could not be resumed.',
	hint: 'What was received is a part only; send the request again.',
	status: 502,
} as const satisfies ErrorData;

export const ClaimedElsewhere = {
	name: 'ClaimedElsewhere',
	title: 'A request with this Idempotency-Key was sent before',
	message: 'A request with this Idempotency-Key was dispatched before; it was not run again.',
	hint: 'Its outcome is not known here. Find out at the service itself.',
	status: 409,
} as const satisfies ErrorData;

export const ClaimUnavailable = {
	name: 'ClaimUnavailable',
	title: 'A single run cannot be promised now',
	message: 'The key-value service did not answer, so the request was not run.',
	hint: 'Send it again with the same Idempotency-Key.',
	status: 503,
} as const satisfies ErrorData;

export const EndpointRejected = {
	name: 'EndpointRejected',
	title: 'The endpoint refused the request',
	message: (status: string) => `The endpoint answered with status ${status}.`,
	status: 502,
} as const satisfies ErrorData;

export const UnknownWord = {
	name: 'UnknownWord',
	title: 'The command cannot be read',
	message: (column: string, expected: string) => `Column ${column}: expected ${expected}.`,
	hint: 'See `slategauge help query`.',
} as const satisfies ErrorData;

export const OrderInProgress = {
	name: 'OrderInProgress',
	title: 'Another order is being given',
	message: (what: string, vm: string) => `${what} is held by ${vm} for another order.`,
	hint: 'Give the order again in a few seconds.',
	status: 409,
} as const satisfies ErrorData;

export const OrderRefused = {
	name: 'OrderRefused',
	title: 'The endpoint refused the order',
	message: (endpoint: string, status: string) => `${endpoint} answered with status ${status}.`,
	status: 502,
} as const satisfies ErrorData;

export const OrderLeaseLost = {
	name: 'OrderLeaseLost',
	title: 'The lease for the order ran out',
	message: 'The lease ran out before the order could be sent safely; it was not sent.',
	hint: 'Give the order again.',
	status: 503,
} as const satisfies ErrorData;

export const DrillsDisabled = {
	name: 'DrillsDisabled',
	title: 'Drills are not enabled',
	message: 'This daemon does not accept drills.',
	hint: 'Set `enabled = true` under `[drills]` in its settings.',
	status: 503,
} as const satisfies ErrorData;
