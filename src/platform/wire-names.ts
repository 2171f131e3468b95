/**
 * Header names and store keys that the platform defines.
 * @module
 */

/** Headers of requests and answers, in lower case. */
export const headerNames = {
	attemptId: 'slategauge-attempt-id',
	/** Remaining time that the sender waits, in milliseconds. */
	deadline: 'slategauge-deadline-ms',
	/** Id of the only engine that may run the request. */
	expectInstance: 'slategauge-expect-instance',
	/** Name of the customer. */
	customer: 'slategauge-tenant',
	model: 'slategauge-model',
	/** Tokens of the prompt and the maximum number to generate, as PROMPT,MAX. */
	tokenUsage: 'slategauge-token-usage',
	/** All prompt segments in order, as a list of ID:TOKENS. */
	promptSegments: 'slategauge-prefix-hash',
	/** Caller's estimate of the generated tokens. */
	lengthHint: 'slategauge-length-hint',
	/** Urgency at the engine, 0 to 9. */
	priority: 'slategauge-request-priority',
	/** Present on an answer of an engine that did not run the request. */
	notExecuted: 'slategauge-not-executed',
	/** Signature with which the engine authenticates the answer. */
	signature: 'slategauge-response-signature',
	/** Present in all answers of a draining engine. */
	draining: 'server-leaving',
	/** Requests per second that an engine accepts from all VMs together; present while the limit applies. */
	rateLimit: 'server-limit',
	/** Back-off in seconds; from an engine it applies to all requests of this VM. */
	retryAfter: 'retry-after',
	/** In answers of the store: increases by one with each restore from a backup. */
	storeEra: 'store-era',
	lastEventId: 'last-event-id',
	/** Address of the engine to copy the cached prefix from. */
	copyFrom: 'kv-fetch',
	/** Name of the VM that holds the fleet-wide duties. */
	dutyHolder: 'slategauge-duty-holder',
	/** Fencing token; increases with each new duty holder. */
	dutyToken: 'slategauge-fencing-token',
} as const;

/** Request headers that only the router sets; those of callers are dropped. */
export const routerOnlyHeaders: ReadonlySet<string> = new Set([
	headerNames.attemptId,
	headerNames.deadline,
	headerNames.expectInstance,
	headerNames.customer,
	headerNames.priority,
	headerNames.lastEventId,
	'slategauge-expect-version',
	'slategauge-pin-ms',
	'slategauge-retention',
	'slategauge-kv-backup',
	'kv-from',
	headerNames.copyFrom,
]);

/** Keys of the store. */
export const storeKeys = {
	/** The newest configuration. */
	configuration: 'op/config',
	/** Prefix of engine registrations, one per engine process. */
	engines: 'servers/',
	/** Prefix of registrations of the router's VMs; written by the router. */
	vms: 'vms/',
	/** The VM that holds the fleet-wide duties; written by the router. */
	dutyHolder: 'duties/holder',
	/** Usage reports that were sent or are about to be sent; written by the router. */
	usageReports: 'duties/usage',
	/** Prefix of quarantined contents, which crashed engines; written by the router. */
	quarantine: 'quarantine/',
} as const;
