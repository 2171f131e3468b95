/**
 * What the datagrams between VMs are.
 * @module
 */

/** Messages of another format are not understood; VMs of two formats side by side hear only their own. */
export const wireFormatVersion = 9;

/** Type of a message, its second field. */
export const messageTypes = {
	/** News, by their kind. */
	report: 0,
	group: 1,
	fleet: 2,
	/** What a VM counted, for the holder of the duty to report it. */
	usage: 3,
	/** The holder has taken it in. */
	usageAck: 4,
	/** A VM asks for leave to send a request to an engine that names a limit, and the answer. */
	permitRequest: 5,
	permitResponse: 6,
} as const;
