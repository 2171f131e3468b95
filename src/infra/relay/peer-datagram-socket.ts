/**
 * Messages between VMs as datagrams. Nothing is sent again here: a lost message is made good by a later one.
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
	onGossip(news: GossipMessage): void;
	onUsage(usage: UsageCounts): void;
	onUsageAck(taken: UsageAck): void;
	onPermitRequest(ask: PermitRequest): void;
	onPermitResponse(answer: PermitResponse): void;
}

export class PeerDatagramSocket {
	private readonly socket = dgram.createSocket('udp4');
	private refused = 0;
	private closed = false;

	constructor(
		private readonly log: Log,
		private readonly listener: PeerListener,
	) {
		this.socket.on('message', (datagram) => this.receive(datagram));
		this.socket.on('error', (err) => this.log.warn('peers.socket-failed', { error: err.message }));
	}

	async bind(address: HostPort): Promise<void> {
		await new Promise<void>((done, failed) => {
			this.socket.once('error', failed);
			this.socket.bind(address.port, address.host, () => {
				this.socket.off('error', failed);
				done();
			});
		});
	}

	sendGossip(to: readonly HostPort[], news: GossipMessage): void {
		this.send(to, encodeGossip(news));
	}

	sendUsage(to: HostPort, usage: UsageCounts): void {
		this.send([to], encodeUsage(usage));
	}

	sendUsageAck(to: HostPort, taken: UsageAck): void {
		this.send([to], encodeUsageAck(taken));
	}

	sendPermitRequest(to: HostPort, ask: PermitRequest): void {
		this.send([to], encodePermitRequest(ask));
	}

	sendPermitResponse(to: HostPort, answer: PermitResponse): void {
		this.send([to], encodePermitResponse(answer));
	}

	close(): void {
		this.closed = true;
		this.socket.close();
	}

	/** Sends nothing once closed: messages may come due while the daemon ends. */
	private send(to: readonly HostPort[], datagram: Uint8Array): void {
		if (this.closed) {
			return;
		}
		for (const { host, port } of to) {
			// A datagram that is lost, here or on the way, is made good by the next.
			this.socket.send(datagram, port, host, () => {});
		}
	}

	private receive(datagram: Buffer): void {
		if (dispatchDatagram(datagram, this.listener)) {
			return;
		}
		this.refused++;
		if (this.refused === 1) {
			this.log.warn('peers.unreadable', { bytes: datagram.length });
		}
	}
}

/**
 * Decodes a datagram and hands it to the listener.
 * @returns false for bytes that are no message of this format; nothing is handed on then
 */
export function dispatchDatagram(datagram: Uint8Array, listener: PeerListener): boolean {
	const message = decode(datagram);
	message?.(listener);
	return message !== undefined;
}

/** @returns what to do with the listener; undefined for bytes that are no message */
function decode(datagram: Uint8Array): ((listener: PeerListener) => void) | undefined {
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
			const taken = decodeUsageAck(row);
			return (listener) => listener.onUsageAck(taken);
		}
		if (type === messageTypes.permitRequest) {
			const ask = decodePermitRequest(row);
			return (listener) => listener.onPermitRequest(ask);
		}
		if (type === messageTypes.permitResponse) {
			const answer = decodePermitResponse(row);
			return (listener) => listener.onPermitResponse(answer);
		}
		const news = decodeGossip(type, row);
		return (listener) => listener.onGossip(news);
	} catch {
		// Not MessagePack, or a field of another type; the first such datagram is logged.
		return undefined;
	}
}

/** @returns the news in a datagram; undefined when it holds none */
export function decodeGossipDatagram(datagram: Uint8Array): GossipMessage | undefined {
	let found: GossipMessage | undefined;
	dispatchDatagram(datagram, {
		onGossip: (news) => {
			found = news;
		},
		onUsage: () => {},
		onUsageAck: () => {},
		onPermitRequest: () => {},
		onPermitResponse: () => {},
	});
	return found;
}
