/**
 * Members of the fleet.
 * @module
 */

/** What is believed of a member. */
export const memberStates = { alive: 'alive', suspect: 'suspect', dead: 'dead' } as const;
export type MemberState = (typeof memberStates)[keyof typeof memberStates];

/** A daemon that others may talk to. */
export interface Member {
	id: string;
	address: string;
	/** TCP port for trpc, UDP port for datagrams. */
	port: number;
	domain: string;
	state: MemberState;
	/** Raised by the member itself when it hears that it is suspected. */
	incarnation: number;
	/** Configuration version that it has in force, as last heard. */
	version: number;
}

/** News of one member, passed on with other messages. */
export type MemberUpdate = Member;

/** Messages of the failure detector. */
export type MembershipMessage =
	| { kind: 'ping'; seq: number; from: MemberUpdate; updates: MemberUpdate[] }
	| { kind: 'ack'; seq: number; from: MemberUpdate; updates: MemberUpdate[] }
	| { kind: 'ping-req'; seq: number; from: MemberUpdate; target: string; updates: MemberUpdate[] };

/** A message and the member it goes to. */
export interface OutgoingMessage<T> {
	to: { id: string; address: string; port: number };
	message: T;
}
