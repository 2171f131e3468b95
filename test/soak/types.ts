/**
 * What the soak sees at both ends, and what it did in between.
 * @module
 */
import type { EngineNotice } from '../stand-ins/platform-engine.js';

/** A request as its caller saw it. Times are monotonic milliseconds. */
export interface CallerRecord {
	id: string;
	kind: RequestKind;
	vm: string;
	/** Start of the VM's process that took it. */
	incarnation: number;
	key: string;
	sentAt: number;
	endedAt: number;
	/** 0 when the connection ended without an answer. */
	status: number;
	body: string;
	/** The answer did not come to its end. */
	truncated: boolean;
}

/** An arrival as the engine saw it. */
export interface EngineArrival {
	id: string;
	engine: string;
	at: number;
	/** The engine refused it and says that it did not run. */
	rejected: boolean;
	customer?: string;
	/** What the head of its answer said of the engine. */
	notice?: EngineNotice;
}

export const requestKinds = {
	plain: 'plain',
	singleRun: 'once',
	/** A stream that may not be resumed. */
	nonResumable: 'cut',
	resumable: 'resumed',
} as const;
export type RequestKind = (typeof requestKinds)[keyof typeof requestKinds];

/** Kinds that may run once at the most. */
export const singleRunKinds: ReadonlySet<RequestKind> = new Set([
	requestKinds.singleRun,
	requestKinds.nonResumable,
]);

/** A span in which something was harmed. */
export interface InjectedFault {
	/** A VM, an engine, or `store`. */
	target: string;
	fault: string;
	from: number;
	/** Infinity while it lasts. */
	until: number;
	/** A stop by SIGTERM alone. */
	planned: boolean;
}

/** A key came into force, or was taken away, with the store's word at this time. */
export interface KeyChange {
	key: string;
	version: number;
	at: number;
	kind: 'added' | 'removed';
}

/** An engine was marked as leaving, or its registration was removed. */
export interface EngineDeparture {
	engine: string;
	at: number;
}

/** An engine named a limit of requests a second in all its answers. */
export interface AnnouncedLimit {
	engine: string;
	limitPerS: number;
	from: number;
	/** Infinity while it does. */
	until: number;
}

/** Bounds that the daemons were started with, in milliseconds unless said otherwise. */
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
	/** VMs that held more open files at the end than bounds allow. */
	resourceLeaks: string[];
	/** Processes that ended without having been told to. */
	unexpectedExits: string[];
}

/** One broken promise. */
export interface SoakFinding {
	guarantee: string;
	detail: string;
}
