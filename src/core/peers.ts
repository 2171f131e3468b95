/**
 * Messages between daemons.
 * @module
 */
import type { MembershipMessage } from './membership/types.js';
import type { HolderReport, OwnerReply } from './scheduling/types.js';
import type { HybridTime } from './timeline/index.js';

/** One message. */
export type PeerMessage =
	| { type: 'membership'; body: MembershipMessage }
	| { type: 'report'; body: HolderReport }
	| { type: 'reply'; body: OwnerReply };

/** Messages of one sender, sent together. */
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

/** Bytes and datagrams, IP and UDP heads included. */
export interface PeerTraffic {
	bytesSent: number;
	bytesReceived: number;
	datagramsSent: number;
	datagramsReceived: number;
	/** Datagrams that were not signed by a peer or could not be read. */
	datagramsRejected: number;
}

/** Carries messages between daemons; may lose, double and reorder them. */
export interface PeerTransport {
	/** Collected with other messages to the same peer for a moment. */
	send(to: PeerAddress, message: PeerMessage): void;
	readonly traffic: PeerTraffic;
}
