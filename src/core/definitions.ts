/**
 * Ports: everything a daemon meets outside its own logic. Adapters live in `src/infra`.
 * @module
 */

/** Time. */
export interface Clock {
	/** Milliseconds that never go back, from an arbitrary start. While the VM is suspended they stand still. */
	monotonic(): number;
	/**
	 * The same with the time counted for which the VM was suspended: for leases, deadlines and the age of what is known, which
	 * run on meanwhile. A step of the VM's time of day may count too.
	 */
	sinceBoot(): number;
	/** Milliseconds since 1970, as the VM's clock has it. */
	wall(): number;
}

/** Random numbers. */
export interface Random {
	/** A number from 0 up to, not including, 1. */
	next(): number;
	/** Random bytes as hex digits. */
	hex(bytes: number): string;
}

/** Values that a log line or an event may carry. */
export type FieldValue = string | number | boolean | undefined;
export type Fields = Record<string, FieldValue>;

/** Structured log, one line an event. */
export interface Log {
	debug(event: string, fields?: Fields): void;
	info(event: string, fields?: Fields): void;
	warn(event: string, fields?: Fields): void;
	error(event: string, fields?: Fields): void;
}

/** Metrics; names and units are listed in docs/METRICS.md. */
export interface Metrics {
	count(name: string, value: number, tags?: Record<string, string>): void;
	/** Milliseconds. */
	timing(name: string, ms: number, tags?: Record<string, string>): void;
	gauge(name: string, value: number, tags?: Record<string, string>): void;
}

/** Value of the key-value service with its revision. */
export interface KvEntry {
	value: string;
	/** Grows with every change of the key; 0 stands for "absent". */
	rev: number;
}

/** Answer to a compare-and-swap. */
export type KvSwapResult = { swapped: true; rev: number } | { swapped: false; current?: KvEntry };

/** The platform's key-value service. Every method rejects with `KvError` when it is down. */
export interface KvStore {
	get(key: string): Promise<KvEntry | undefined>;
	/** Writes only if the key still has revision `rev`; 0 for "must be absent". */
	compareAndSwap(key: string, rev: number, value: string, leaseId?: string): Promise<KvSwapResult>;
	/** Resolves when the key has a revision above `rev`, or with the same entry after the wait. */
	watch(key: string, rev: number, waitMs: number): Promise<KvEntry | undefined>;
	/** Makes a lease and returns its id. */
	grantLease(ttlMs: number): Promise<string>;
	/** Renews; false when the lease has lapsed. */
	renewLease(id: string): Promise<boolean>;
	revokeLease(id: string): Promise<void>;
	/** Calls made since the start, waiting watches counted. */
	readonly callCount: number;
}

/** A call to the key-value service that brought no answer: its effect is not known. */
export class KvError extends Error {}

/** One VM of the platform's list. */
export interface VmEntry {
	id: string;
	address: string;
	callersPort: number;
	controlPort: number;
	domain: string;
	isLeaving: boolean;
}

/** The platform's VM list; it lags. */
export interface VmList {
	list(): Promise<VmEntry[]>;
}

/** Answers of the weight store to a question for weights. */
export const weightLookupResults = { present: 'present', absent: 'absent', busy: 'busy' } as const;
export type WeightLookupResult = (typeof weightLookupResults)[keyof typeof weightLookupResults];

/** The platform's weight store; rate-limited. */
export interface WeightStore {
	/** Whether it has weights of this name. */
	lookup(name: string): Promise<WeightLookupResult>;
}

/** How a call to an endpoint failed. */
export const callFailures = {
	/** No byte of the request left. */
	notSent: 'not-sent',
	/** A byte may have left, and the answer did not end. */
	broken: 'broken',
	/** The endpoint answered that it takes no work. */
	refused: 'refused',
} as const;
export type CallFailure = (typeof callFailures)[keyof typeof callFailures];

/** A request as it goes to an endpoint. */
export interface EndpointCall {
	/** The daemon's own id of the request. */
	id: string;
	url: string;
	method: string;
	path: string;
	headers: Record<string, string>;
	body?: Uint8Array;
	/** Passed on to engines: 0 is served first. */
	priority: number;
	/** Tokens that the caller already has; the stream goes on behind them. */
	offset: number;
	/** An answer that brings nothing for so long is broken, in milliseconds. */
	stallMs: number;
}

/** One event of a streamed answer. */
export interface StreamEvent {
	data: string;
	/** Offset behind this event's token, where the endpoint gives one. */
	offset?: number;
}

/** Receives an answer. Exactly one of `end` and `fail` is called last. */
export interface AnswerSink {
	onHead(status: number, headers: Record<string, string>): void;
	/** Whole events of a streamed answer. */
	onEvents(events: StreamEvent[]): void;
	/** Bytes of any other answer. */
	onBytes(chunk: Uint8Array): void;
	onEnd(): void;
	onError(failure: CallFailure, detail: string): void;
}

/** A call on its way. */
export interface RunningCall {
	/** Stops reading until `resume`; the endpoint feels it. */
	pause(): void;
	resume(): void;
	/** Ends the call; the sink hears nothing more. */
	cancel(): void;
}

/** Load that an endpoint reports; it lags. */
export interface LoadReport {
	running: number;
	waiting: number;
	isDraining: boolean;
}

/** Endpoints. */
export interface EndpointClient {
	open(call: EndpointCall, sink: AnswerSink): RunningCall;
	fetchLoad(url: string): Promise<LoadReport>;
	/** Gives an order; resolves with the HTTP status. */
	order(url: string, order: EndpointOrder, timeoutMs: number): Promise<number>;
	close(): Promise<void>;
}

/** Orders that endpoints take. */
export const orderKinds = [
	'drain',
	'undrain',
	'load-model',
	'load-adapter',
	'set-version',
	'set-role',
] as const;
export type OrderKind = (typeof orderKinds)[number];

/** An order to an endpoint, given under a lease with a fencing token. */
export interface EndpointOrder {
	kind: OrderKind;
	argument: string;
	fencingToken: number;
}
