/**
 * What VMs tell each other about the requests a second that engines take from all of them together.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';

/** What the fleet knows of the limit of one start of an engine. */
export interface LimitUpdate {
	engine: EngineRef;
	/** Requests a second from all VMs together; undefined when it no longer names a limit. */
	limitPerS?: number;
	/** Rises with each change that any VM hears of; of two words the higher one counts. */
	version: number;
}

/** Which VM issues permits, as its heartbeats tell. */
export interface IssuerAnnouncement {
	/** Where it hears datagrams, as IP:PORT. */
	address: string;
	/** Rises with each VM that takes over; of two issuers the one of the higher term counts. */
	term: number;
	/** Rises with each heartbeat of the term. */
	heartbeatSeq: number;
	/** It stops: another may take over at once. */
	isResigned: boolean;
}

/** A VM asks for leave to send one request to an engine. */
export interface PermitRequest {
	/** Where the answer goes, as IP:PORT. */
	from: string;
	/** Names the ask among those of its VM. */
	id: number;
	/** What the VM knows of the engine's limit. */
	limit: LimitUpdate;
	/** 0 is the most urgent. */
	urgency: number;
	/** How long the request can wait for it, in milliseconds. */
	waitMs: number;
}

export interface PermitResponse {
	id: number;
	/** What the issuer knows of the engine's limit. */
	limit: LimitUpdate;
	isGranted: boolean;
	/** When to ask again after a denial, in milliseconds. */
	retryAfterMs: number;
}
