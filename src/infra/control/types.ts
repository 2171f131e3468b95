/**
 * API that a daemon offers operators and peers on its control port.
 * @module
 */
import type { VersionedConfiguration } from '../../core/configuration/index.js';
import type { ChangeRequest } from '../../core/configuration/writer.js';
import type { EndpointOrder } from '../../core/definitions.js';
import type { StoredAnswer } from '../../core/requests/answer-store.js';
import type { TimelineEvent } from '../../core/timeline/index.js';

/** A queued or running request of a daemon. */
export interface RequestRow {
	id: string;
	vm: string;
	state: 'queued' | 'running';
	class: string;
	tier: number;
	customer: string;
	endpoint: string;
	/** Whether the first-token target has passed without a token. */
	late: boolean;
	/** Time since the request arrived, in milliseconds. */
	age_ms: number;
	/** Tokens of the answer so far. */
	tokens: number;
}

/** An endpoint in the local view of a daemon. */
export interface EndpointRow {
	endpoint: string;
	vm: string;
	/** Daemon that grants the endpoint's slots, according to this daemon. */
	owner: string;
	state: string;
	limit: number;
	/** Requests of this daemon that are running on the endpoint. */
	running: number;
	/** Granted slots that this daemon keeps without a running request. */
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
	/** CPU time since the process started, in milliseconds. */
	cpu_ms: number;
	/** Resident memory, in bytes. */
	rss_bytes: number;
	/** Bytes exchanged with peers since the process started, including IP and UDP headers. */
	peer_bytes_sent: number;
	peer_bytes_received: number;
	peer_datagrams_sent: number;
	peer_datagrams_received: number;
	uptime_ms: number;
}

/** Operations of a daemon that the control port exposes. */
export interface DaemonApi {
	status(): StatusReport;
	requests(): RequestRow[];
	endpoints(): EndpointRow[];
	events(since: number): TimelineEvent[];
	configuration(): VersionedConfiguration | undefined;
	applyConfiguration(change: ChangeRequest): Promise<VersionedConfiguration>;
	/** Stored answer of a request that must run only once; undefined until it has ended. */
	answer(request: string): Promise<StoredAnswer | undefined>;
	/** Sends an order to an endpoint; resolves with its fencing token. */
	order(endpoint: string, kind: EndpointOrder['kind'], argument: string): Promise<number>;
	/** Fault injection: drops all messages to and from `peers`, and replaces the previous list. */
	cutPeers(peers: readonly string[]): void;
	/** Whether the token belongs to an operator or to the peers. */
	isOperator(token: string): boolean;
}
