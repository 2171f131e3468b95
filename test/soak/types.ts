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
	life: number;
	key: string;
	sentAt: number;
	endedAt: number;
	/** 0 when the connection ended without an answer. */
	status: number;
	body: string;
	/** The answer did not come to its end. */
	cut: boolean;
}

/** An arrival as the engine saw it. */
export interface EngineRecord {
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
	once: 'once',
	/** A stream that may not be resumed. */
	cut: 'cut',
	resumed: 'resumed',
} as const;
export type RequestKind = (typeof requestKinds)[keyof typeof requestKinds];

/** Kinds that may run once at the most. */
export const singleRunKinds: ReadonlySet<RequestKind> = new Set([
	requestKinds.once,
	requestKinds.cut,
]);

/** A span in which something was harmed. */
export interface Disturbance {
	/** A VM, an engine, or `store`. */
	target: string;
	what: string;
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
export interface EngineLeft {
	engine: string;
	at: number;
}

/** An engine named a limit of requests a second in all its answers. */
export interface LimitNamed {
	engine: string;
	perS: number;
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
	arrivals: EngineRecord[];
	disturbances: Disturbance[];
	keys: KeyChange[];
	left: EngineLeft[];
	limits: LimitNamed[];
	/** VMs that did not serve again in time after the last fault. */
	notRecovered: string[];
	/** VMs that held more open files at the end than bounds allow. */
	grown: string[];
	/** Processes that ended without having been told to. */
	ended: string[];
}

/** One broken promise. */
export interface SoakFinding {
	promise: string;
	detail: string;
}
