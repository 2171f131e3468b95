/**
 * Sends messages between daemons over UDP. Messages to one peer are batched into shared datagrams;
 * lost ones are not retransmitted, because every message carries complete state.
 * @module
 */
import * as crypto from 'node:crypto';
import * as dgram from 'node:dgram';
import type {
	PeerAddress,
	PeerBatch,
	PeerMessage,
	PeerTraffic,
	PeerTransport,
} from '../../core/peers.js';
import type { HybridClock } from '../../core/timeline/index.js';
import * as codec from './codec.js';

/** IPv4 and UDP headers of a datagram. */
const ipUdpHeaderBytes = 28;
/** Payload that fits a typical path MTU without fragmentation. */
const maxPayloadBytes = 1400;
/** Size that is reserved for the signature and envelope of a batch. */
const batchOverheadBytes = 60;
/** Up to this many messages share a datagram without a check of their size. */
const maxUncheckedMessages = 3;
/** Socket receive buffer; absorbs bursts while the process is busy. */
const receiveBufferBytes = 1024 * 1024;

export interface UdpTransportOptions {
	/** VM of this daemon; the sender of its batches. */
	selfId: string;
	/** Shared secret that signs datagrams. */
	token: string;
	/** Minimum time between two flushes. */
	flushIntervalMs: number;
	clock: HybridClock;
	onBatch: (batch: PeerBatch) => void;
	/** Whether to drop all messages to and from a peer; for fault injection. */
	isPeerBlocked?: (peer: string) => boolean;
}

interface Outbox {
	to: PeerAddress;
	messages: PeerMessage[];
}

export class UdpTransport implements PeerTransport {
	readonly traffic: PeerTraffic = {
		bytesSent: 0,
		bytesReceived: 0,
		datagramsSent: 0,
		datagramsReceived: 0,
		datagramsRejected: 0,
	};
	private readonly socket = dgram.createSocket({
		type: 'udp4',
		recvBufferSize: receiveBufferBytes,
	});
	private readonly secret: crypto.KeyObject;
	private readonly outboxes = new Map<string, Outbox>();
	private timer?: NodeJS.Timeout;
	private isClosed = false;
	private lastFlushMs = 0;

	constructor(private readonly opts: UdpTransportOptions) {
		this.secret = crypto.createSecretKey(Buffer.from(opts.token));
		this.socket.on('message', (datagram) => this.receive(datagram));
		this.socket.on('error', () => {});
	}

	/** Binds the socket and resolves with its port. */
	async bind(address: string, port: number): Promise<number> {
		await new Promise<void>((done, failed) => {
			this.socket.once('error', failed);
			this.socket.bind(port, address, () => {
				this.socket.off('error', failed);
				done();
			});
		});
		return this.socket.address().port;
	}

	send(to: PeerAddress, message: PeerMessage): void {
		let outbox = this.outboxes.get(to.id);
		if (!outbox) {
			outbox = { to, messages: [] };
			this.outboxes.set(to.id, outbox);
		}
		outbox.to = to;
		outbox.messages.push(message);
		this.timer ??= setTimeout(() => this.flush(), this.msUntilFlush());
	}

	/** Sends all queued messages now. */
	flush(): void {
		this.lastFlushMs = performance.now();
		clearTimeout(this.timer);
		this.timer = undefined;
		for (const { to, messages } of this.outboxes.values()) {
			for (const batchMessages of splitIntoDatagrams(messages)) {
				this.sendBatch(to, batchMessages);
			}
		}
		this.outboxes.clear();
	}

	close(): void {
		this.flush();
		this.isClosed = true;
		this.socket.close();
	}

	/** Zero after an idle interval, so a lone message leaves without delay; under load messages are batched. */
	private msUntilFlush(): number {
		return Math.max(0, this.lastFlushMs + this.opts.flushIntervalMs - performance.now());
	}

	private sendBatch(to: PeerAddress, messages: PeerMessage[]): void {
		if (this.isClosed || this.opts.isPeerBlocked?.(to.id)) {
			return;
		}
		const batch = { from: this.opts.selfId, time: this.opts.clock.now(), messages };
		const datagram = codec.encodeBatch(batch, this.secret);
		this.traffic.datagramsSent++;
		this.traffic.bytesSent += datagram.length + ipUdpHeaderBytes;
		this.socket.send(datagram, to.port, to.address, () => {});
	}

	private receive(datagram: Buffer): void {
		this.traffic.datagramsReceived++;
		this.traffic.bytesReceived += datagram.length + ipUdpHeaderBytes;
		const batch = codec.decodeBatch(datagram, this.secret);
		if (!batch) {
			this.traffic.datagramsRejected++;
			return;
		}
		if (this.opts.isPeerBlocked?.(batch.from)) {
			return;
		}
		this.opts.clock.merge(batch.time);
		this.opts.onBatch(batch);
	}
}

/** Splits messages into batches that fit one datagram each. */
function splitIntoDatagrams(messages: readonly PeerMessage[]): PeerMessage[][] {
	if (messages.length <= maxUncheckedMessages) {
		return [[...messages]];
	}
	const batches: PeerMessage[][] = [];
	let batchMessages: PeerMessage[] = [];
	let size = batchOverheadBytes;
	for (const message of messages) {
		const bytes = codec.encodedMessageBytes(message);
		if (batchMessages.length > 0 && size + bytes > maxPayloadBytes) {
			batches.push(batchMessages);
			batchMessages = [];
			size = batchOverheadBytes;
		}
		batchMessages.push(message);
		size += bytes;
	}
	batches.push(batchMessages);
	return batches;
}
