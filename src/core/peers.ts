/**
 * Messages between daemons and the port that carries them.
 * @module
 */
import type { MembershipMessage } from './membership/types.js';
import type { HolderReport, OwnerReply } from './scheduling/types.js';
import type { HybridTime } from './timeline/index.js';

export type PeerMessage =
	| { type: 'membership'; body: MembershipMessage }
	| { type: 'report'; body: HolderReport }
	| { type: 'reply'; body: OwnerReply };

/** Messages of one sender that share a datagram. */
export interface PeerBatch {
	from: string;
	time: HybridTime;
	messages: PeerMessage[];
}

/** Address of a daemon's control port. */
export interface PeerAddress {
	id: string;
	address: string;
	port: number;
}

/** Traffic counters; bytes include IP and UDP headers. */
export interface PeerTraffic {
	bytesSent: number;
	bytesReceived: number;
	datagramsSent: number;
	datagramsReceived: number;
	/** Datagrams without a valid signature or with unreadable content. */
	datagramsRejected: number;
}

/** Carries messages between daemons; may lose, duplicate and reorder them. */
export interface PeerTransport {
	/** Queues a message; messages to the same peer are batched for a short time. */
	send(to: PeerAddress, message: PeerMessage): void;
	readonly traffic: PeerTraffic;
}
