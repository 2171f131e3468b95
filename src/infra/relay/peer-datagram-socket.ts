/**
 * UDP socket for messages between VMs. Nothing is retransmitted: later messages supersede lost ones.
 * @module
 */
import * as dgram from 'node:dgram';
import * as msgpack from '@msgpack/msgpack';
import type { Log } from '../../core/definitions.js';
import type { UsageAck, UsageCounts } from '../../core/duties/types.js';
import type { GossipMessage } from '../../core/fleet/types.js';
import type { PermitRequest, PermitResponse } from '../../core/limits/types.js';
import type { HostPort } from '../../core/relay/settings.js';
import { decodeGossip, encodeGossip } from './gossip-codec.js';
import {
	decodePermitRequest,
	decodePermitResponse,
	encodePermitRequest,
	encodePermitResponse,
} from './limit-codec.js';
import { messageTypes, wireFormatVersion } from './message-types.js';
import { RowReader } from './row-reader.js';
import { decodeUsage, decodeUsageAck, encodeUsage, encodeUsageAck } from './usage-codec.js';

/** Receives what other VMs send. */
export interface PeerListener {
	onGossip(message: GossipMessage): void;
	onUsage(usage: UsageCounts): void;
	onUsageAck(ack: UsageAck): void;
	onPermitRequest(request: PermitRequest): void;
	onPermitResponse(response: PermitResponse): void;
}

export class PeerDatagramSocket {
	private readonly socket = dgram.createSocket('udp4');
	private unreadableCount = 0;
	private isClosed = false;

	constructor(
		private readonly log: Log,
		private readonly listener: PeerListener,
	) {
		this.socket.on('message', (datagram, from) => this.receive(datagram, from));
		this.socket.on('error', (err) => this.log.warn('peers.socket-failed', { error: err.message }));
	}

	async bind(address: HostPort): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.socket.once('error', reject);
			this.socket.bind(address.port, address.host, () => {
				this.socket.off('error', reject);
				resolve();
			});
		});
	}

	sendGossip(to: readonly HostPort[], message: GossipMessage): void {
		this.send(to, encodeGossip(message));
	}

	sendUsage(to: HostPort, usage: UsageCounts): void {
		this.send([to], encodeUsage(usage));
	}

	sendUsageAck(to: HostPort, ack: UsageAck): void {
		this.send([to], encodeUsageAck(ack));
	}

	sendPermitRequest(to: HostPort, request: PermitRequest): void {
		this.send([to], encodePermitRequest(request));
	}

	sendPermitResponse(to: HostPort, response: PermitResponse): void {
		this.send([to], encodePermitResponse(response));
	}

	close(): void {
		this.isClosed = true;
		this.socket.close();
	}

	/** Does nothing after `close`, since timers may still fire during shutdown. */
	private send(to: readonly HostPort[], datagram: Uint8Array): void {
		if (this.isClosed) {
			return;
		}
		for (const { host, port } of to) {
			// Errors are ignored like losses on the network.
			this.socket.send(datagram, port, host, () => {});
		}
	}

	private receive(datagram: Buffer, { address, port }: dgram.RemoteInfo): void {
		if (dispatchDatagram(datagram, this.listener)) {
			return;
		}
		this.unreadableCount++;
		if (this.unreadableCount === 1) {
			this.log.warn('peers.unreadable', { from: `${address}:${port}`, bytes: datagram.length });
		}
	}
}

/**
 * Decodes a datagram and passes its message to the listener.
 * @returns false for bytes that are not a message of this format version
 */
export function dispatchDatagram(datagram: Uint8Array, listener: PeerListener): boolean {
	const deliver = decodeMessage(datagram);
	deliver?.(listener);
	return deliver !== undefined;
}

/** @returns a function that passes the message to a listener; undefined for bytes that are not a message */
function decodeMessage(datagram: Uint8Array): ((listener: PeerListener) => void) | undefined {
	try {
		const row = new RowReader(msgpack.decode(datagram));
		if (row.number() !== wireFormatVersion) {
			return undefined;
		}
		const type = row.number();
		if (type === messageTypes.usage) {
			const usage = decodeUsage(row);
			return (listener) => listener.onUsage(usage);
		}
		if (type === messageTypes.usageAck) {
			const ack = decodeUsageAck(row);
			return (listener) => listener.onUsageAck(ack);
		}
		if (type === messageTypes.permitRequest) {
			const request = decodePermitRequest(row);
			return (listener) => listener.onPermitRequest(request);
		}
		if (type === messageTypes.permitResponse) {
			const response = decodePermitResponse(row);
			return (listener) => listener.onPermitResponse(response);
		}
		const message = decodeGossip(type, row);
		return (listener) => listener.onGossip(message);
	} catch {
		// Not MessagePack, or not the expected fields.
		return undefined;
	}
}

/** @returns undefined when the datagram is not gossip */
export function decodeGossipDatagram(datagram: Uint8Array): GossipMessage | undefined {
	let found: GossipMessage | undefined;
	dispatchDatagram(datagram, {
		onGossip: (message) => {
			found = message;
		},
		onUsage: () => {},
		onUsageAck: () => {},
		onPermitRequest: () => {},
		onPermitResponse: () => {},
	});
	return found;
}
