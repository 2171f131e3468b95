/**
 * Requests that a VM without links to engines sends through another VM.
 * @module
 */

/** Why a VM did not send a request to the engine. Each implies that the engine has not received it. */
export const forwardRefusals = {
	/** The sender is not registered as a VM of the fleet. */
	unknownSender: 'unknown-sender',
	/** The VM itself has no link to the engine. */
	cutOff: 'cut-off',
	/** The VM has no capacity for requests of this urgency. */
	overloaded: 'overloaded',
	stopping: 'stopping',
	/** The engine leaves, has left, or wants no requests from the VM. */
	engineUnavailable: 'engine-unavailable',
	/** The connection to the engine could not be opened. */
	engineUnreachable: 'engine-unreachable',
	/** The VM did not understand the request. */
	unsupported: 'unsupported',
} as const;
export type ForwardRefusal = (typeof forwardRefusals)[keyof typeof forwardRefusals];

/** What a VM needs to know of a request that it forwards; the rest is passed on unread. */
export interface ForwardOrder {
	/** Id of the request, for the log. */
	requestId: string;
	/** IP of the VM that asks for it. */
	sender: string;
	engineId: string;
	engineAddress: string;
	/** Store revision of the sender's list of engines. */
	enginesRevision: number;
	/** 0 is the most urgent. */
	urgency: number;
}
