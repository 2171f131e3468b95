/**
 * The connections of clients to one HTTP server: what they may hold, and which of their requests are still taken.
 * Nothing behind the last answer of a connection becomes a request.
 * @module
 */
import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';
import type { ConnectionEntry, ConnectionLedger } from '../core/connections/connection-ledger.js';
import type { ReadTurns } from '../core/connections/read-turns.js';
import { BlockPool } from './connections/block-pool.js';
import { BodyCollector } from './connections/body-collector.js';
import { MeteredReader } from './connections/metered-reader.js';

/** Longest time that a connection is read after its last answer. Closing it with unread data may discard that answer. */
const maxLingerMs = 1500;
/** Upper bound for request heads; the limit in force may be lower. */
export const maxHeadBytes = 65_536;
/** Bytes of an answer that wait in the connection from its endpoint while its client takes nothing. */
const blockedAnswerBytes = 128 * 1024;
/** Interval at which a late request is looked at again while its connection has to wait. */
const unparsedCheckMs = 500;

/** An error of the socket, of Node's parser or of its check of late heads. */
export type ClientError = Error & { code?: string };

export const clientErrorCodes = {
	headTooLarge: 'HPE_HEADER_OVERFLOW',
	late: 'ERR_HTTP_REQUEST_TIMEOUT',
	reset: 'ECONNRESET',
	/** The request was given up while it was read, for want of memory or sockets. */
	overloaded: 'ERR_OVERLOADED',
} as const;

/** Options of `http.createServer` for servers with `CallerConnections`, which answer requests without a host themselves. */
export const meteredServerOptions = { requireHostHeader: false } as const;

/** The answer to bytes that are no valid request. */
export interface ErrorAnswer {
	status: number;
	reason: string;
	headers?: Readonly<Record<string, string>>;
	body?: string;
}

export interface CallerConnectionsOptions {
	ledger: ConnectionLedger;
	turns: ReadTurns;
	answerError: (err: ClientError) => ErrorAnswer;
}

/** What becomes of the body of a request. */
export interface BodyListener {
	onBody: (body: Buffer) => void;
	onTooLarge: () => void;
	/** @param bytes that had arrived */
	onBroken?: (err: Error, bytes: number) => void;
}

interface Connection {
	readonly entry: ConnectionEntry;
	readonly reader: MeteredReader;
	/** Requests that were taken since it opened. */
	takenCount: number;
	/** Answers that have not ended, in the order of their requests. */
	open: http.ServerResponse[];
	/** Answers behind the last one, to requests that were taken before it was given; undefined until then. */
	dropped?: readonly http.ServerResponse[];
	/** Sent as the last answer once all open ones have ended. */
	finalAnswer?: string;
	/** Bodies of open requests. */
	readonly bodies: Map<http.ServerResponse, BodyCollector>;
	/** Whether the request that was being read is not read to its end. */
	isGivenUp: boolean;
	/** Bytes of a head that has arrived in part. */
	headBytes: number;
	/** Whether a body was being read, and the requests taken, when bytes were last parsed. */
	wasIncomplete: boolean;
	parsedCount: number;
}

export class CallerConnections {
	/** By socket, since weak references to each request would cost more than the request. */
	private readonly connections = new WeakMap<stream.Duplex, Connection>();
	private readonly blocks = new BlockPool();

	constructor(
		server: http.Server,
		private readonly opts: CallerConnectionsOptions,
	) {
		server.on('connection', (socket: net.Socket) => this.open(socket));
		server.on('clientError', (err, socket) => this.handleError(err, socket));
		server.on('timeout', (socket: net.Socket) => this.closeUnlessRead(socket));
		server.on('checkExpectation', (req, res) => this.refuseExpectation(req, res));
	}

	/** @returns false for a request behind the last answer of its connection, which must be ignored */
	take(req: http.IncomingMessage, res: http.ServerResponse): boolean {
		const { socket } = req;
		const connection = this.find(socket);
		if (!connection || connection.dropped) {
			req.resume();
			return false;
		}
		const { ledger } = this.opts;
		connection.takenCount++;
		connection.open.push(res);
		ledger.begin(connection.entry);
		res.once('close', () => {
			connection.open.splice(connection.open.indexOf(res), 1);
			connection.bodies.delete(res);
			if (!socket.destroyed) {
				this.updateLedger(socket, connection);
			}
			ledger.end(connection.entry);
			if (connection.open.length === 0 && connection.finalAnswer !== undefined) {
				endWith(socket, connection.finalAnswer);
			}
		});
		return true;
	}

	/** Whether there is memory and a socket to run the request that was taken last. */
	canRun(): boolean {
		return this.opts.ledger.canRun();
	}

	/** Collects the body of a request that was taken, unless the request is refused meanwhile. */
	readBody(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		maxBytes: number,
		listener: BodyListener,
	): void {
		const body = new BodyCollector(this.blocks);
		this.find(req.socket)?.bodies.set(res, body);
		req.on('data', (chunk: Buffer) => {
			if (res.headersSent) {
				return;
			}
			body.add(chunk);
			if (body.size > maxBytes) {
				body.clear();
				listener.onTooLarge();
			}
		});
		req.on('end', () => {
			if (!res.headersSent) {
				listener.onBody(body.take());
			}
		});
		req.on('error', (err) => listener.onBroken?.(err, body.size));
	}

	/** Whether the last answer of the connection was given since this request behind it was taken. */
	isDropped(res: http.ServerResponse): boolean {
		return this.find(res.req.socket)?.dropped?.includes(res) ?? false;
	}

	/** Whether no request was taken after this one. */
	isNewest(res: http.ServerResponse): boolean {
		return this.find(res.req.socket)?.open.at(-1) === res;
	}

	/** Makes this answer the last of its connection. */
	takeNoneAfter(res: http.ServerResponse): void {
		const connection = this.find(res.req.socket);
		if (connection && !connection.dropped?.includes(res)) {
			connection.dropped = connection.open.slice(connection.open.indexOf(res) + 1);
		}
	}

	/**
	 * Answers a request whose body may be unread. The connection closes once the caller stops writing or
	 * `maxLingerMs` have passed.
	 */
	refuse(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		status: number,
		headers: http.OutgoingHttpHeaders,
		body: string,
	): void {
		if (this.isDropped(res)) {
			req.resume();
			return;
		}
		this.takeNoneAfter(res);
		const bytes = Buffer.from(body);
		res.writeHead(status, { ...headers, connection: 'close', 'content-length': bytes.length });
		if (req.complete) {
			res.end(bytes);
			return;
		}
		// The content length marks the answer as complete while the connection stays open.
		res.write(bytes);
		const timer = setTimeout(() => res.end(), maxLingerMs);
		const endResponse = () => {
			clearTimeout(timer);
			res.end();
		};
		req.once('end', endResponse);
		req.once('close', endResponse);
		req.resume();
	}

	private find(socket: stream.Duplex): Connection | undefined {
		return this.connections.get(socket);
	}

	private open(socket: net.Socket): void {
		const { ledger, turns } = this.opts;
		const entry = ledger.open({
			close: () => socket.destroy(),
			refuseUnfinished: () => this.giveUp(socket, connection),
			readOn: () => connection.reader.readOn(),
		});
		if (!entry) {
			socket.destroy();
			return;
		}
		const reader = new MeteredReader(
			socket,
			{
				isDropped: () =>
					connection.isGivenUp || (connection.dropped !== undefined && !findIncomplete(connection)),
				mayRead: () => findIncomplete(connection) !== undefined || ledger.mayReadNext(entry),
				getMissingBytes: () => countMissing(connection),
				onParsed: (bytes) => countHead(connection, bytes),
				onRead: () => this.updateLedger(socket, connection),
			},
			turns,
		);
		const connection: Connection = {
			entry,
			reader,
			takenCount: 0,
			open: [],
			bodies: new Map(),
			isGivenUp: false,
			headBytes: 0,
			wasIncomplete: false,
			parsedCount: 0,
		};
		this.connections.set(socket, connection);
		socket.once('close', () => {
			ledger.close(entry);
			closeQueued(connection.open);
		});
	}

	/** Tells the ledger what the connection of an answer holds, after the client has stopped or begun to take it. */
	recordBackpressure({ req }: http.ServerResponse): void {
		const connection = this.find(req.socket);
		if (connection && !req.socket.destroyed) {
			this.updateLedger(req.socket, connection);
		}
	}

	private updateLedger(socket: stream.Duplex, connection: Connection): void {
		const { bodies, headBytes, dropped, open } = connection;
		let heldBytes = socket.readableLength + headBytes + socket.writableLength;
		for (const res of open) {
			const isBlocked = res.writableNeedDrain || (res.socket && socket.writableNeedDrain);
			heldBytes += res.writableLength + (isBlocked ? blockedAnswerBytes : 0);
		}
		for (const body of bodies.values()) {
			heldBytes += body.heldBytes;
		}
		const isUnread = open.length === 0 && socket.readableLength > 0;
		const isUnfinished = findIncomplete(connection) !== undefined || headBytes > 0 || isUnread;
		this.opts.ledger.update(connection.entry, heldBytes, isUnfinished && !dropped);
	}

	/** Refuses a request that was read in part, and reads no more of it. */
	private giveUp(socket: stream.Duplex, connection: Connection): void {
		const incomplete = findIncomplete(connection);
		if (incomplete) {
			connection.bodies.get(incomplete)?.clear();
		}
		const err: ClientError = new Error('given up for want of memory or sockets');
		err.code = clientErrorCodes.overloaded;
		connection.isGivenUp = true;
		this.refuseRest(err, socket, connection);
	}

	/** Refuses a request that expects more than leave to send its body. */
	private refuseExpectation(req: http.IncomingMessage, res: http.ServerResponse): void {
		if (this.take(req, res)) {
			this.refuse(req, res, 417, {}, '');
		}
	}

	/** Closes a connection that was idle for too long, unless a request has arrived. */
	private closeUnlessRead(socket: net.Socket): void {
		const { bytesRead } = socket;
		setImmediate(() => {
			if (socket.bytesRead === bytesRead && !this.find(socket)?.reader.hasUnparsed) {
				socket.destroy();
			}
		});
	}

	private handleError(err: ClientError, socket: stream.Duplex): void {
		const connection = this.find(socket);
		if (!connection || err.code === clientErrorCodes.reset || socket.destroyed) {
			socket.destroy();
		} else if (connection.dropped) {
			// Bytes behind the last answer are read only to keep it from being discarded.
		} else if (!socket.writable) {
			socket.destroy();
		} else if (err.code === clientErrorCodes.late) {
			this.judgeLate(err, socket, connection);
		} else {
			this.refuseRest(err, socket, connection);
		}
	}

	/**
	 * Node checks for late requests before it reads the sockets. If this process stood still, the rest may
	 * lie in the kernel's buffers, so only what is still missing after the next read is late. It may also lie in
	 * the buffers of this process, if the connection has to wait before it is read on.
	 */
	private judgeLate(err: ClientError, socket: stream.Duplex, connection: Connection): void {
		const { takenCount } = connection;
		const incomplete = findIncomplete(connection);
		setImmediate(() => {
			if (connection.takenCount !== takenCount || connection.dropped || !socket.writable) {
				return;
			}
			if (connection.reader.hasUnparsed) {
				setTimeout(() => this.judgeLate(err, socket, connection), unparsedCheckMs);
			} else if (!incomplete) {
				this.refuseRest(err, socket, connection);
			} else if (!incomplete.req.complete) {
				socket.destroy();
			}
		});
	}

	/** Ends the connection with an error, behind the answers to the requests that were taken. */
	private refuseRest(err: ClientError, socket: stream.Duplex, connection: Connection): void {
		const answer = this.opts.answerError(err);
		const incomplete = findIncomplete(connection);
		connection.dropped = [];
		if (incomplete) {
			// The error is in its body, so it will never be complete.
			if (!incomplete.headersSent) {
				const { status, headers = {}, body = '' } = answer;
				this.refuse(incomplete.req, incomplete, status, headers, body);
			}
		} else if (connection.open.length > 0) {
			connection.finalAnswer = encodeAnswer(answer);
		} else {
			endWith(socket, encodeAnswer(answer));
		}
	}
}

/** Finds the answer to the request whose body is being read. */
function findIncomplete({ open }: Connection): http.ServerResponse | undefined {
	const res = open.at(-1);
	return res && !res.req.complete ? res : undefined;
}

/** Counts what has arrived of a head that is not complete. */
function countHead(connection: Connection, bytes: number): void {
	const { takenCount, parsedCount, wasIncomplete } = connection;
	const isIncomplete = findIncomplete(connection) !== undefined;
	const isHead = takenCount === parsedCount && !wasIncomplete && !isIncomplete;
	connection.headBytes = isHead ? Math.min(connection.headBytes + bytes, maxHeadBytes) : 0;
	connection.parsedCount = takenCount;
	connection.wasIncomplete = isIncomplete;
}

/** Bytes that the body of the request that is being read still lacks; 0 if its length is not known. */
function countMissing(connection: Connection): number {
	const res = findIncomplete(connection);
	const body = res && connection.bodies.get(res);
	const length = Number(res?.req.headers['content-length'] ?? 0);
	return body && !res.headersSent ? Math.max(0, length - body.size) : 0;
}

/**
 * Tells the answers that waited for others that their connection has closed, which Node tells only the
 * answer that was being sent.
 */
function closeQueued(open: readonly http.ServerResponse[]): void {
	for (const res of [...open]) {
		if (!res.socket && !res.writableFinished) {
			res.destroy();
			res.emit('close');
		}
	}
}

function encodeAnswer({ status, reason, headers = {}, body = '' }: ErrorAnswer): string {
	const lines = [`HTTP/1.1 ${status} ${reason}`];
	for (const [name, value] of Object.entries(headers)) {
		lines.push(`${name}: ${value}`);
	}
	lines.push(`content-length: ${Buffer.byteLength(body)}`, 'connection: close');
	return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Sends the last bytes of a connection and closes it once the caller has, or after `maxLingerMs`. */
function endWith(socket: stream.Duplex, answer: string): void {
	if (!socket.writable) {
		return;
	}
	socket.end(answer);
	const timer = setTimeout(() => socket.destroy(), maxLingerMs);
	socket.once('close', () => clearTimeout(timer));
}
