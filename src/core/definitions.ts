/**
 * Ports to the clock, the platform's services and endpoints. Adapters live in `src/infra`.
 * @module
 */

export interface Clock {
	/** Monotonic milliseconds from an arbitrary start. Does not advance while the VM is suspended. */
	monotonic(): number;
	/**
	 * As `monotonic`, but advances while the VM is suspended: for leases, deadlines and the age of
	 * data. Steps of the wall clock may be included.
	 */
	sinceBoot(): number;
	/** Milliseconds since the Unix epoch, by the VM's wall clock. */
	wall(): number;
}

export interface Random {
	/** Returns a number in [0, 1). */
	next(): number;
	/** Returns random bytes as hex digits. */
	hex(bytes: number): string;
}

/** Value of a field in a log line or timeline event. */
export type FieldValue = string | number | boolean | undefined;
export type Fields = Record<string, FieldValue>;

/** Structured log with one line per event. */
export interface Log {
	debug(event: string, fields?: Fields): void;
	info(event: string, fields?: Fields): void;
	warn(event: string, fields?: Fields): void;
	error(event: string, fields?: Fields): void;
}

/** Names and units are documented in docs/METRICS.md. */
export interface Metrics {
	count(name: string, value: number, tags?: Record<string, string>): void;
	timing(name: string, ms: number, tags?: Record<string, string>): void;
	gauge(name: string, value: number, tags?: Record<string, string>): void;
}

/** A value in the key-value service with its revision. */
export interface KvEntry {
	value: string;
	/** Increases with every change of the key; 0 means absent. */
	rev: number;
}

/** Result of a compare-and-swap; `current` is the entry that prevented it. */
export type KvSwapResult = { swapped: true; rev: number } | { swapped: false; current?: KvEntry };

/** The platform's key-value service. All methods reject with `KvError` when it is unavailable. */
export interface KvStore {
	get(key: string): Promise<KvEntry | undefined>;
	/** Writes only if the key has revision `rev`; 0 requires the key to be absent. */
	compareAndSwap(key: string, rev: number, value: string, leaseId?: string): Promise<KvSwapResult>;
	/** Resolves once the key has a revision above `rev`, or with the current entry after `waitMs`. */
	watch(key: string, rev: number, waitMs: number): Promise<KvEntry | undefined>;
	/** Resolves with the id of the new lease. */
	grantLease(ttlMs: number): Promise<string>;
	/** Resolves with false if the lease has expired. */
	renewLease(id: string): Promise<boolean>;
	revokeLease(id: string): Promise<void>;
	/** Calls made since the start, pending watches included. */
	readonly callCount: number;
}

/** A call to the key-value service got no answer; whether it took effect is unknown. */
export class KvError extends Error {}

/** A VM in the platform's list. */
export interface VmEntry {
	id: string;
	address: string;
	callersPort: number;
	controlPort: number;
	domain: string;
	isLeaving: boolean;
}

/** The platform's VM list; may be out of date. */
export interface VmList {
	list(): Promise<VmEntry[]>;
}

/** Whether the weight store has some weights; `busy` if it did not say. */
export const weightLookupResults = { present: 'present', absent: 'absent', busy: 'busy' } as const;
export type WeightLookupResult = (typeof weightLookupResults)[keyof typeof weightLookupResults];

/** The platform's weight store; rate limited. */
export interface WeightStore {
	/** Checks whether weights of this name exist. */
	lookup(name: string): Promise<WeightLookupResult>;
}

/** Reasons for which a call to an endpoint fails. */
export const callFailures = {
	/** No byte of the request was sent. */
	notSent: 'not-sent',
	/** Some of the request may have been sent, and the answer is incomplete. */
	broken: 'broken',
	/** The endpoint answered that it accepts no work. */
	refused: 'refused',
} as const;
export type CallFailure = (typeof callFailures)[keyof typeof callFailures];

/** One call to an endpoint. */
export interface EndpointCall {
	/** Id of the request, assigned by the daemon. */
	id: string;
	url: string;
	method: string;
	path: string;
	headers: Record<string, string>;
	body?: Uint8Array;
	/** Forwarded to engines, which serve 0 first. */
	priority: number;
	/** Tokens that the caller has received; the stream resumes after them. */
	offset: number;
	/** The call fails as broken after this time without data. */
	stallMs: number;
}

/** One event of a streamed answer. */
export interface StreamEvent {
	data: string;
	/** Offset after this event's token, if the endpoint sends one. */
	offset?: number;
}

/** Receives an answer. The last call is either `onEnd` or `onError`. */
export interface AnswerSink {
	onHead(status: number, headers: Record<string, string>): void;
	/** Complete events of a streamed answer. */
	onEvents(events: StreamEvent[]): void;
	/** Body bytes of any other answer. */
	onBytes(chunk: Uint8Array): void;
	onEnd(): void;
	onError(failure: CallFailure, detail: string): void;
}

/** A call in progress. */
export interface RunningCall {
	/** Stops reading until `resume`, so that backpressure reaches the endpoint. */
	pause(): void;
	resume(): void;
	/** Cancels the call; the sink is not called any more. */
	cancel(): void;
}

/** Load reported by an endpoint; may be out of date. */
export interface LoadReport {
	running: number;
	waiting: number;
	isDraining: boolean;
}

export interface EndpointClient {
	open(call: EndpointCall, sink: AnswerSink): RunningCall;
	fetchLoad(url: string): Promise<LoadReport>;
	/** Sends an order; resolves with the HTTP status. */
	order(url: string, order: EndpointOrder, timeoutMs: number): Promise<number>;
	close(): Promise<void>;
}

/** Orders that endpoints accept. */
export const orderKinds = [
	'drain',
	'undrain',
	'load-model',
	'load-adapter',
	'set-version',
	'set-role',
] as const;
export type OrderKind = (typeof orderKinds)[number];

/** An order to an endpoint, sent under a lease with a fencing token. */
export interface EndpointOrder {
	kind: OrderKind;
	argument: string;
	fencingToken: number;
}
