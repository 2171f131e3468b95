/**
 * Messages between daemons over UDP. Those to one peer are collected for a moment into one
 * datagram; nothing is sent again here, since every message carries whole state.
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

/** Heads of IPv4 and UDP on each datagram, in bytes. */
const headBytes = 28;
/** Payload that fits a usual path without fragments, in bytes. */
const maxPayload = 1400;
const batchOverhead = 60;
/** So many messages are sent together without a look at their size. */
const surelyFits = 3;
/** Bytes that the system may hold for a process that is busy. */
const receiveBuffer = 1024 * 1024;

export interface UdpTransportOptions {
	selfId: string;
	token: string;
	flushIntervalMs: number;
	clock: HybridClock;
	onBatch: (batch: PeerBatch) => void;
	/** Peers that are not to be reached; for tests of cuts. */
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
	private readonly socket = dgram.createSocket({ type: 'udp4', recvBufferSize: receiveBuffer });
	private readonly secret: crypto.KeyObject;
	private readonly outboxes = new Map<string, Outbox>();
	private timer?: NodeJS.Timeout;
	private closed = false;
	private flushedAt = 0;

	constructor(private readonly opts: UdpTransportOptions) {
		this.secret = crypto.createSecretKey(Buffer.from(opts.token));
		this.socket.on('message', (datagram) => this.receive(datagram));
		this.socket.on('error', () => {});
	}

	/** Resolves with the port. */
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
		this.timer ??= setTimeout(() => this.flush(), this.untilFlush());
	}

	/** Sends what is collected. */
	flush(): void {
		this.flushedAt = performance.now();
		clearTimeout(this.timer);
		this.timer = undefined;
		for (const { to, messages } of this.outboxes.values()) {
			for (const part of split(messages)) {
				this.sendPart(to, part);
			}
		}
		this.outboxes.clear();
	}

	close(): void {
		this.flush();
		this.closed = true;
		this.socket.close();
	}

	/** After a quiet time a message leaves at once; under load messages wait for each other. */
	private untilFlush(): number {
		return Math.max(0, this.flushedAt + this.opts.flushIntervalMs - performance.now());
	}

	private sendPart(to: PeerAddress, messages: PeerMessage[]): void {
		if (this.closed || this.opts.isPeerBlocked?.(to.id)) {
			return;
		}
		const batch = { from: this.opts.selfId, time: this.opts.clock.now(), messages };
		const datagram = codec.encodeBatch(batch, this.secret);
		this.traffic.datagramsSent++;
		this.traffic.bytesSent += datagram.length + headBytes;
		this.socket.send(datagram, to.port, to.address, () => {});
	}

	private receive(datagram: Buffer): void {
		this.traffic.datagramsReceived++;
		this.traffic.bytesReceived += datagram.length + headBytes;
		const batch = codec.decodeBatch(datagram, this.secret);
		if (!batch) {
			this.traffic.datagramsRejected++;
			return;
		}
		if (this.opts.isPeerBlocked?.(batch.from)) {
			return;
		}
		this.opts.clock.receive(batch.time);
		this.opts.onBatch(batch);
	}
}

/** Parts that fit one datagram each. */
function split(messages: readonly PeerMessage[]): PeerMessage[][] {
	if (messages.length <= surelyFits) {
		return [[...messages]];
	}
	const parts: PeerMessage[][] = [];
	let part: PeerMessage[] = [];
	let size = batchOverhead;
	for (const message of messages) {
		const bytes = codec.encodedMessageBytes(message);
		if (part.length > 0 && size + bytes > maxPayload) {
			parts.push(part);
			part = [];
			size = batchOverhead;
		}
		part.push(message);
		size += bytes;
	}
	parts.push(part);
	return parts;
}
