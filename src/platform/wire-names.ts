/**
 * Names that the platform uses on the wire. Nothing outside this folder knows them.
 * @module
 */

/** Headers of requests and answers, in lower case. */
export const headerNames = {
	attemptId: 'slategauge-attempt-id',
	/** Milliseconds that the sender still waits. */
	deadline: 'slategauge-deadline-ms',
	/** Id of the engine that alone may run the request. */
	expectInstance: 'slategauge-expect-instance',
	/** Name of the customer. */
	customer: 'slategauge-tenant',
	model: 'slategauge-model',
	/** "Token usage": tokens of the prompt, then the most that may be generated. */
	tokenUsage: 'slategauge-token-usage',
	/** "Prefix hash": all parts of the prompt in order, as ID:TOKENS. */
	promptSegments: 'slategauge-prefix-hash',
	/** Caller's guess of the tokens out. */
	lengthHint: 'slategauge-length-hint',
	/** Urgency at the engine, 0 to 9. */
	priority: 'slategauge-request-priority',
	/** Present on an answer of an engine that did not run the request. */
	notExecuted: 'slategauge-not-executed',
	/** Engine's proof that the answer is its own. */
	signature: 'slategauge-response-signature',
	/** Present in all answers of an engine that leaves. */
	draining: 'server-leaving',
	/** Requests a second that an engine takes from all VMs together, in all its answers for as long as it needs that. */
	rateLimit: 'server-limit',
	/** Seconds; of an engine: it wants nothing from this VM for so long. */
	retryAfter: 'retry-after',
	/** In answers of the store: rises by one each time it came back from an older copy. */
	storeEra: 'store-era',
	lastEventId: 'last-event-id',
	/** Address of another engine, from which the engine copies what that one keeps of the prompt. */
	copyFrom: 'kv-fetch',
	/** Name of the VM that acts for the whole fleet. */
	dutyHolder: 'slategauge-duty-holder',
	/** Rises with each VM that acts for the fleet. */
	dutyToken: 'slategauge-fencing-token',
} as const;

/** Request headers that only the router sets; what a caller sends under these names is dropped. */
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
	/** Registrations of engines, one a start. */
	engines: 'servers/',
	/** Registrations of the router's own VMs, written by this project. */
	vms: 'vms/',
	/** The VM that acts for the whole fleet; written by this project. */
	dutyHolder: 'duties/holder',
	/** Reports of usage as they were sent, or were about to be; written by this project. */
	usageReports: 'duties/usage',
	/** Contents that crashed engines; written by this project. */
	quarantine: 'quarantine/',
} as const;
