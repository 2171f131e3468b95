/**
 * Settings of a relaying daemon.
 * @module
 */
import type { Machine } from '../connections/connection-limits.js';

export interface HostPort {
	host: string;
	port: number;
}

/** Limits on retries, over the whole fleet. */
export interface RetrySettings {
	/** Retries per request of a window. */
	ratio: number;
	windowMs: number;
	/** Additional retries of a window. */
	extra: number;
}

/** Duties that one VM at a time performs for the whole fleet at the platform's API. */
export interface DutySettings {
	api: HostPort;
	/** Calls per second that the API accepts from all VMs together. */
	callsPerSecond: number;
	reportsUsage: boolean;
	ordersEngines: boolean;
	/** Whether the API refuses fencing tokens lower than the highest that it has seen. */
	checksTokens: boolean;
	/** Duration of the holder's lease, and the minimum time between two holders. */
	leaseMs: number;
	/** Length of a window for usage counts. */
	windowMs: number;
	/** How long after the end of a window its counts are due. */
	usageDelayMs: number;
}

export interface RelaySettings {
	/** `cores` is the processor capacity of the VM, in cores of standard speed. */
	vm: { id: string; address: string; domain: string; cores: number };
	machine: Machine;
	listen: {
		callers: HostPort;
		readiness: HostPort;
		/** Gossip datagrams and configurations between VMs. */
		peers: HostPort;
		/** Second address for peers, used in seeds; absent where the platform provides none. */
		control?: HostPort;
		metrics: HostPort;
	};
	/** Peers to contact first; may be outdated. */
	seeds: readonly HostPort[];
	store: { address: HostPort; leaseMinMs: number };
	/** Interval between an engine's heartbeats. */
	engineHeartbeatMs: number;
	/** Time after a fault within which a VM has to meet all limits again. */
	contactMs: number;
	/** Time after which a draining engine gets no new requests. */
	drainMs: number;
	/** Time from the stop signal to the kill. */
	stopMs: number;
	/** Time within which a new configuration has to be in force. */
	configurationMs: number;
	retries: RetrySettings;
	/** Absent where the VM performs no duties. */
	duties?: DutySettings;
}
