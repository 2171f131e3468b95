/**
 * What a daemon tells operators and peers over its control port.
 * @module
 */
import type { VersionedConfiguration } from '../../core/configuration/index.js';
import type { ChangeRequest } from '../../core/configuration/writer.js';
import type { EndpointOrder } from '../../core/definitions.js';
import type { StoredAnswer } from '../../core/requests/answer-store.js';
import type { TimelineEvent } from '../../core/timeline/index.js';

/** One request that a daemon holds. */
export interface RequestRow {
	id: string;
	vm: string;
	state: 'queued' | 'running';
	class: string;
	tier: number;
	customer: string;
	endpoint: string;
	/** The first-token target has passed without a token. */
	late: boolean;
	/** Milliseconds since it came. */
	age_ms: number;
	tokens: number;
}

/** One endpoint as a daemon sees it. */
export interface EndpointRow {
	endpoint: string;
	vm: string;
	/** Daemon that grants its slots, as this daemon believes. */
	owner: string;
	state: string;
	limit: number;
	/** Requests of this daemon that run there. */
	running: number;
	/** Standing slots that this daemon holds unused. */
	idle: number;
}

/** State of one daemon. */
export interface StatusReport {
	vm: string;
	failure_domain: string;
	configuration_version: number;
	policy: string;
	ready: string;
	queued: number;
	running: number;
	members: { vm: string; state: string; control: string }[];
	kv_calls: number;
	/** Processor time since the start, in milliseconds. */
	cpu_ms: number;
	/** Resident memory, in bytes. */
	rss_bytes: number;
	/** Bytes on the wire between daemons since the start, IP and UDP heads included. */
	peer_bytes_sent: number;
	peer_bytes_received: number;
	peer_datagrams_sent: number;
	peer_datagrams_received: number;
	uptime_ms: number;
}

/** What the control port calls. */
export interface DaemonApi {
	status(): StatusReport;
	requests(): RequestRow[];
	endpoints(): EndpointRow[];
	events(since: number): TimelineEvent[];
	configuration(): VersionedConfiguration | undefined;
	applyConfiguration(change: ChangeRequest): Promise<VersionedConfiguration>;
	/** Answer of a request that must run once, when it has ended. */
	answer(request: string): Promise<StoredAnswer | undefined>;
	/** Gives an order to an endpoint; resolves with its fencing token. */
	order(endpoint: string, kind: EndpointOrder['kind'], argument: string): Promise<number>;
	/** Drill: peers that this daemon neither sends to nor hears. */
	cutPeers(peers: readonly string[]): void;
	/** Checks an operator's token, or the peers' own. */
	isOperator(token: string): boolean;
}
