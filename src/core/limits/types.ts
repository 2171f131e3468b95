/**
 * Messages that VMs exchange about request rate limits of engines.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';

/** Versioned rate limit of one incarnation of an engine. */
export interface LimitUpdate {
	engine: EngineRef;
	/** Requests per second over all VMs; undefined when the engine no longer announces a limit. */
	limitPerS?: number;
	/** Increases with each change; the higher version wins. */
	version: number;
}

/** Heartbeat of the VM that issues permits. */
export interface IssuerAnnouncement {
	/** Datagram address as IP:PORT. */
	address: string;
	/** Increases with each takeover; the higher term wins. */
	term: number;
	/** Increases with each heartbeat of the term. */
	heartbeatSeq: number;
	/** Whether the issuer is shutting down, so that another VM may take over at once. */
	isResigned: boolean;
}

/** Request for permission to send one request to an engine. */
export interface PermitRequest {
	/** Address that the response is sent to, as IP:PORT. */
	from: string;
	/** Unique among the permit requests of the VM. */
	id: number;
	/** The engine's limit as known to the requesting VM. */
	limit: LimitUpdate;
	/** 0 is the most urgent. */
	urgency: number;
	/** How long the request can wait for a permit, in milliseconds. */
	waitMs: number;
}

export interface PermitResponse {
	id: number;
	/** The engine's limit as known to the issuer. */
	limit: LimitUpdate;
	isGranted: boolean;
	/** Delay before the next request after a denial, in milliseconds. */
	retryAfterMs: number;
}
