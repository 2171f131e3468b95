/**
 * Records of a soak run: what callers and engines observed, and which faults were injected.
 * @module
 */
import type { EngineNotice } from '../stand-ins/platform-engine.js';

/** A request as observed by its caller. Times are in monotonic milliseconds. */
export interface CallerRecord {
	id: string;
	kind: RequestKind;
	/** Whether its prompt has the part that may crash engines. */
	hasCrashingPart?: boolean;
	vm: string;
	/** Number of the process start of the VM that received the request. */
	incarnation: number;
	key: string;
	sentAt: number;
	endedAt: number;
	/** HTTP status; 0 when the connection closed before an answer. */
	status: number;
	body: string;
	/** Whether the answer ended before it was complete. */
	truncated: boolean;
}

/** A request as received by an engine. */
export interface EngineArrival {
	id: string;
	engine: string;
	at: number;
	/** Whether the engine refused the request without running it. */
	rejected: boolean;
	customer?: string;
	/** The engine notice in the head of the answer. */
	notice?: EngineNotice;
}

export const requestKinds = {
	plain: 'plain',
	singleRun: 'once',
	/** A stream that must not be resumed at another engine. */
	nonResumable: 'cut',
	resumable: 'resumed',
} as const;
export type RequestKind = (typeof requestKinds)[keyof typeof requestKinds];

/** Kinds that may run at most once. */
export const singleRunKinds: ReadonlySet<RequestKind> = new Set([
	requestKinds.singleRun,
	requestKinds.nonResumable,
]);

/** Faults of engines that checks tell apart from the others. */
export const engineFaults = {
	/** The engine sends nothing for a while and then goes on. */
	silent: 'falls silent',
	/** The engine ends with the requests that it runs, and starts again at once. */
	crashed: 'crashed',
	/** The engine leaves and turns requests away meanwhile. */
	overloaded: 'leaves overloaded',
} as const;

/** A time span in which a fault was injected. */
export interface InjectedFault {
	/** Name of a VM, id of an engine, or `store`. */
	target: string;
	fault: string;
	from: number;
	/** Infinity while the fault lasts. */
	until: number;
	/** Whether the VM was signalled as an operator would: SIGTERM or SIGHUP. */
	planned: boolean;
}

/** An API key was added or removed by a configuration written to the store at this time. */
export interface KeyChange {
	key: string;
	version: number;
	at: number;
	kind: 'added' | 'removed';
}

/** Time at which an engine was registered as draining, or its registration was removed. */
export interface EngineDeparture {
	engine: string;
	at: number;
}

/** A limit that an engine announced in all its answers, in requests per second. */
export interface AnnouncedLimit {
	engine: string;
	limitPerS: number;
	from: number;
	/** Infinity while the limit is announced. */
	until: number;
}

/** Bounds from the daemons' settings that the guarantees depend on. */
export interface SoakBounds {
	contactMs: number;
	drainMs: number;
	configurationMs: number;
	/** Time from SIGTERM to SIGKILL. */
	stopMs: number;
	retryRatio: number;
	retryExtra: number;
	retryWindowMs: number;
}

export interface SoakRecords {
	bounds: SoakBounds;
	requests: CallerRecord[];
	arrivals: EngineArrival[];
	injectedFaults: InjectedFault[];
	keyChanges: KeyChange[];
	departures: EngineDeparture[];
	announcedLimits: AnnouncedLimit[];
	/** VMs that did not serve again in time after the last fault. */
	notRecovered: string[];
	/** Daemons with too many open files or too much memory at the end, one line each. */
	resourceLeaks: string[];
	/** Processes that ended without having been signalled, one line each. */
	unexpectedExits: string[];
	/** Log lines about requests that an error in the relay ended. */
	requestDefects: string[];
}

/** A violated guarantee. */
export interface SoakFinding {
	guarantee: string;
	detail: string;
}
