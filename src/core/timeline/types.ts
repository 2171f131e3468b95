/**
 * Events of the timeline.
 * @module
 */

/** Kinds of events; listed in docs/TIMELINE.md. */
export const eventKinds = {
	requestQueued: 'request.queued',
	requestStarted: 'request.started',
	requestFirstToken: 'request.first-token',
	requestEnded: 'request.ended',
	requestShed: 'request.shed',
	requestPreempted: 'request.preempted',
	requestFailed: 'request.failed',
	requestResumed: 'request.resumed',
	claimTaken: 'claim.taken',
	claimRefused: 'claim.refused',
	grant: 'slot.granted',
	limitChanged: 'limit.changed',
	ownerChanged: 'owner.changed',
	memberChanged: 'member.changed',
	configurationApplied: 'configuration.applied',
	endpointLeaving: 'endpoint.leaving',
	clockJumped: 'clock.jumped',
	stopping: 'daemon.stopping',
} as const;
export type EventKind = (typeof eventKinds)[keyof typeof eventKinds];

/**
 * Hybrid logical time: wall milliseconds and a counter. Source: Kulkarni et al., "Logical
 * Physical Clocks", 2014.
 */
export interface HybridTime {
	wall: number;
	counter: number;
}

/** Details of an event; each kind sets only the fields it needs. */
export interface EventFields {
	request?: string;
	cls?: string;
	tier?: number;
	customer?: string;
	endpoint?: string;
	member?: string;
	outcome?: string;
	reason?: string;
	floor?: boolean;
	value?: number;
}

/** One event of one daemon. */
export interface TimelineEvent extends EventFields {
	vm: string;
	/** Number of the event on its daemon, from 1; a gap means that the ring buffer overflowed. */
	seq: number;
	kind: EventKind;
	time: HybridTime;
}
