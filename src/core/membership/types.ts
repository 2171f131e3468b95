/**
 * Members of the fleet and messages of the failure detector.
 * @module
 */

/** State of a member as seen by another. */
export const memberStates = { alive: 'alive', suspect: 'suspect', dead: 'dead' } as const;
export type MemberState = (typeof memberStates)[keyof typeof memberStates];

/** A daemon of the fleet. */
export interface Member {
	id: string;
	address: string;
	/** TCP port for trpc, UDP port for datagrams. */
	port: number;
	domain: string;
	state: MemberState;
	/** Raised by the member itself to refute a suspicion. */
	incarnation: number;
	/** Last known configuration version in force at the member. */
	version: number;
}

/** Gossip about one member, piggybacked on messages. */
export type MemberUpdate = Member;

/** Messages of the failure detector. */
export type MembershipMessage =
	| { kind: 'ping'; seq: number; from: MemberUpdate; updates: MemberUpdate[] }
	| { kind: 'ack'; seq: number; from: MemberUpdate; updates: MemberUpdate[] }
	| { kind: 'ping-req'; seq: number; from: MemberUpdate; target: string; updates: MemberUpdate[] };

/** A message and its recipient. */
export interface OutgoingMessage<T> {
	to: { id: string; address: string; port: number };
	message: T;
}
