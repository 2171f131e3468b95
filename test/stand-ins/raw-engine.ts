/**
 * Stand-in for an engine that sends any bytes in place of an answer, at any moment of a request.
 * @module
 */
import type { Socket } from 'node:net';
import { PlatformEngineStandIn } from './platform-engine.js';

const headEnd = '\r\n\r\n';

export interface RawReply {
	/** Bytes, as latin1, each piece in a write of its own. `SIGNED` in a head stands for the headers that prove its origin. */
	pieces: readonly string[];
	/** Pause between the pieces, in milliseconds. */
	gapMs?: number;
	/** Sent after the pieces again and again until the connection ends. */
	endless?: string;
	/** Whether the reply is sent as soon as the head of the request has arrived. */
	isEarly?: boolean;
	/** Whether the body of the request is read on during an early reply. */
	readsOn?: boolean;
	/** What becomes of the connection behind the reply. */
	connection: 'keep' | 'close' | 'reset';
	/** Time between the last piece and the end of the connection, in milliseconds. */
	endDelayMs?: number;
	/** Called before the first piece and behind the end of the connection. */
	beforeSend?: () => Promise<void>;
	afterEnd?: () => Promise<void>;
}

/** Head of a request that has arrived. */
export interface RawArrival {
	/** Id of the attempt. */
	id: string;
	head: string;
}

/** @returns the reply to a request; undefined for a sound answer */
export type ReplyChooser = (arrival: RawArrival) => RawReply | undefined;

/** A whole event, so that it is a sound answer to requests for streams, too. */
export const soundBody = 'id: 1\ndata: sound answer\n\n';
const soundAnswer = [
	'HTTP/1.1 200 OK',
	'SIGNED',
	'content-type: text/event-stream',
	`content-length: ${soundBody.length}${headEnd}${soundBody}`,
].join('\r\n');

export class RawEngine extends PlatformEngineStandIn {
	private readonly sockets = new Set<Socket>();

	constructor(
		id: string,
		private readonly chooseReply: ReplyChooser,
	) {
		super(id);
		this.server.removeAllListeners('connection');
		this.server.on('connection', (socket: Socket) => this.serve(socket));
	}

	override stop(): void {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private serve(socket: Socket): void {
		this.sockets.add(socket);
		socket.on('close', () => this.sockets.delete(socket));
		socket.on('error', () => {});
		const requests = new RequestReader((arrival, onBody) => {
			const reply = this.chooseReply(arrival);
			if (!reply?.isEarly) {
				onBody(() => void this.send(socket, arrival, reply));
				return;
			}
			if (!reply.readsOn) {
				socket.pause();
			}
			void this.send(socket, arrival, reply);
		});
		socket.on('data', (chunk) => requests.feed(chunk));
	}

	private async send(socket: Socket, { id }: RawArrival, reply?: RawReply): Promise<void> {
		const signed = `slategauge-attempt-id: ${id}\r\nslategauge-response-signature: by-${this.id}`;
		const { pieces, gapMs, endless, connection, endDelayMs, beforeSend, afterEnd }: RawReply =
			reply ?? { pieces: [soundAnswer], connection: 'keep' };
		await beforeSend?.();
		for (const [index, piece] of pieces.entries()) {
			if (index > 0) {
				await pause(gapMs ?? 0);
			}
			socket.write(piece.replace('SIGNED', signed), 'latin1');
		}
		if (endless !== undefined) {
			sendEndlessly(socket, endless);
			return;
		}
		if (endDelayMs !== undefined) {
			await pause(endDelayMs);
		}
		if (connection === 'close') {
			socket.end();
		} else if (connection === 'reset') {
			socket.resetAndDestroy();
		}
		await afterEnd?.();
	}
}

/** Writes as fast as the other side reads. */
function sendEndlessly(socket: Socket, bytes: string): void {
	while (!socket.destroyed && socket.write(bytes, 'latin1')) {
		// Goes on until the buffer is full.
	}
	if (!socket.destroyed) {
		socket.once('drain', () => sendEndlessly(socket, bytes));
	}
}

/** Finds the heads of requests on one connection, and the ends of their bodies by their lengths. */
class RequestReader {
	private head = Buffer.alloc(0);
	private bodyBytesLeft = 0;
	private handleBody?: () => void;

	constructor(
		private readonly onHead: (arrival: RawArrival, onBody: (handler: () => void) => void) => void,
	) {}

	feed(chunk: Buffer): void {
		const bodyBytes = Math.min(chunk.length, this.bodyBytesLeft);
		this.bodyBytesLeft -= bodyBytes;
		this.reportBody();
		const rest = chunk.subarray(bodyBytes);
		if (rest.length === 0) {
			return;
		}
		this.head = Buffer.concat([this.head, rest]);
		const end = this.head.indexOf(headEnd);
		if (end < 0) {
			return;
		}
		const head = this.head.toString('latin1', 0, end);
		const body = this.head.subarray(end + headEnd.length);
		this.head = Buffer.alloc(0);
		this.bodyBytesLeft = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
		const id = /\r\nslategauge-attempt-id: *(\S+)/i.exec(head)?.[1] ?? '';
		this.onHead({ id, head }, (handler) => {
			this.handleBody = handler;
		});
		this.feed(body);
	}

	private reportBody(): void {
		if (this.bodyBytesLeft === 0) {
			const { handleBody } = this;
			this.handleBody = undefined;
			handleBody?.();
		}
	}
}

function pause(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}
