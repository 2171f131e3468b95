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
import {
	decodePermitAnswer,
	decodePermitAsk,
	encodePermitAnswer,
	encodePermitAsk,
} from './limit-codec.js';
import { messageFormat, messageTypes } from './message-types.js';
import { decodeNews, encodeNews } from './news-codec.js';
import { RowReader } from './row-reader.js';
import { decodeUsage, decodeUsageTaken, encodeUsage, encodeUsageTaken } from './usage-codec.js';

/** Receives what other VMs send. */
export interface PeerListener {
	news(news: GossipMessage): void;
	usage(usage: UsageCounts): void;
	usageTaken(taken: UsageAck): void;
	permitAsk(ask: PermitRequest): void;
	permitAnswer(answer: PermitResponse): void;
}

export class PeerDatagrams {
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

	sendNews(to: readonly HostPort[], news: GossipMessage): void {
		this.send(to, encodeNews(news));
	}

	sendUsage(to: HostPort, usage: UsageCounts): void {
		this.send([to], encodeUsage(usage));
	}

	sendUsageTaken(to: HostPort, taken: UsageAck): void {
		this.send([to], encodeUsageTaken(taken));
	}

	sendPermitAsk(to: HostPort, ask: PermitRequest): void {
		this.send([to], encodePermitAsk(ask));
	}

	sendPermitAnswer(to: HostPort, answer: PermitResponse): void {
		this.send([to], encodePermitAnswer(answer));
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
		if (hand(datagram, this.listener)) {
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
export function hand(datagram: Uint8Array, listener: PeerListener): boolean {
	const message = decode(datagram);
	message?.(listener);
	return message !== undefined;
}

/** @returns what to do with the listener; undefined for bytes that are no message */
function decode(datagram: Uint8Array): ((listener: PeerListener) => void) | undefined {
	try {
		const row = new RowReader(msgpack.decode(datagram));
		if (row.number() !== messageFormat) {
			return undefined;
		}
		const type = row.number();
		if (type === messageTypes.usage) {
			const usage = decodeUsage(row);
			return (listener) => listener.usage(usage);
		}
		if (type === messageTypes.usageTaken) {
			const taken = decodeUsageTaken(row);
			return (listener) => listener.usageTaken(taken);
		}
		if (type === messageTypes.permitAsk) {
			const ask = decodePermitAsk(row);
			return (listener) => listener.permitAsk(ask);
		}
		if (type === messageTypes.permitAnswer) {
			const answer = decodePermitAnswer(row);
			return (listener) => listener.permitAnswer(answer);
		}
		const news = decodeNews(type, row);
		return (listener) => listener.news(news);
	} catch {
		// Not MessagePack, or a field of another type; the first such datagram is logged.
		return undefined;
	}
}

/** @returns the news in a datagram; undefined when it holds none */
export function newsIn(datagram: Uint8Array): GossipMessage | undefined {
	let found: GossipMessage | undefined;
	hand(datagram, {
		news: (news) => {
			found = news;
		},
		usage: () => {},
		usageTaken: () => {},
		permitAsk: () => {},
		permitAnswer: () => {},
	});
	return found;
}
