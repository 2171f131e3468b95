/**
 * Format version and message types of the datagrams between VMs.
 * @module
 */

/** First field of a message. Messages of another version are dropped. */
export const wireFormatVersion = 10;

/** Second field of a message. */
export const messageTypes = {
	/** Gossip, by its kind. */
	report: 0,
	group: 1,
	fleet: 2,
	/** Usage counts for the holder of the reporting duty. */
	usage: 3,
	usageAck: 4,
	/** Permission to send a request to a rate-limited engine. */
	permitRequest: 5,
	permitResponse: 6,
} as const;
