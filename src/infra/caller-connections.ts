/**
 * The connections of callers to one HTTP server. Node's parser reads on behind the last answer of a
 * connection; what it finds there is dropped here and never becomes a request.
 * @module
 */
import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';

/** Longest time that a connection is read after its last answer. Closing it with unread data may discard that answer. */
const maxLingerMs = 1500;

/** An error of the socket, of Node's parser or of its check of late heads. */
export type ClientError = Error & { code?: string };

export const clientErrorCodes = {
	headTooLarge: 'HPE_HEADER_OVERFLOW',
	late: 'ERR_HTTP_REQUEST_TIMEOUT',
	reset: 'ECONNRESET',
} as const;

/** The answer to bytes that are no valid request. */
export interface ErrorAnswer {
	status: number;
	reason: string;
	headers?: Readonly<Record<string, string>>;
	body?: string;
}

interface Connection {
	/** Requests that were taken since it opened. */
	takenCount: number;
	/** Answers that have not ended, in the order of their requests. */
	open: http.ServerResponse[];
	/** Answers behind the last one, to requests that were taken before it was given; undefined until then. */
	dropped?: readonly http.ServerResponse[];
	/** Sent as the last answer once all open ones have ended. */
	finalAnswer?: string;
}

export class CallerConnections {
	/** By socket, since weak references to each request would cost more than the request. */
	private readonly connections = new WeakMap<stream.Duplex, Connection>();

	constructor(
		server: http.Server,
		private readonly answerError: (err: ClientError) => ErrorAnswer,
	) {
		server.on('clientError', (err, socket) => this.handleError(err, socket));
		server.on('timeout', closeUnlessRead);
	}

	/** @returns false for a request behind the last answer of its connection, which must be ignored */
	take(req: http.IncomingMessage, res: http.ServerResponse): boolean {
		const { socket } = req;
		const connection = this.find(socket);
		if (connection.dropped) {
			req.resume();
			return false;
		}
		connection.takenCount++;
		connection.open.push(res);
		res.once('close', () => {
			connection.open.splice(connection.open.indexOf(res), 1);
			if (connection.open.length === 0 && connection.finalAnswer !== undefined) {
				endWith(socket, connection.finalAnswer);
			}
		});
		return true;
	}

	/** Whether the last answer of the connection was given since this request behind it was taken. */
	isDropped(res: http.ServerResponse): boolean {
		return this.find(res.req.socket).dropped?.includes(res) ?? false;
	}

	/** Whether no request was taken after this one. */
	isNewest(res: http.ServerResponse): boolean {
		return this.find(res.req.socket).open.at(-1) === res;
	}

	/** Makes this answer the last of its connection. */
	takeNoneAfter(res: http.ServerResponse): void {
		const connection = this.find(res.req.socket);
		if (!connection.dropped?.includes(res)) {
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

	private find(socket: stream.Duplex): Connection {
		const known = this.connections.get(socket);
		if (known) {
			return known;
		}
		const connection: Connection = { takenCount: 0, open: [] };
		this.connections.set(socket, connection);
		socket.once('close', () => closeQueued(connection.open));
		return connection;
	}

	private handleError(err: ClientError, socket: stream.Duplex): void {
		const connection = this.find(socket);
		if (err.code === clientErrorCodes.reset || socket.destroyed) {
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
	 * lie in the kernel's buffers, so only what is still missing after the next read is late.
	 */
	private judgeLate(err: ClientError, socket: stream.Duplex, connection: Connection): void {
		const { takenCount } = connection;
		const incomplete = findIncomplete(connection);
		setImmediate(() => {
			if (connection.takenCount !== takenCount || connection.dropped || !socket.writable) {
				return;
			}
			if (!incomplete) {
				this.refuseRest(err, socket, connection);
			} else if (!incomplete.req.complete) {
				socket.destroy();
			}
		});
	}

	/** Ends the connection with an error, behind the answers to the requests that were taken. */
	private refuseRest(err: ClientError, socket: stream.Duplex, connection: Connection): void {
		const answer = this.answerError(err);
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

/** Closes a connection that was idle for too long, unless a request lay in the kernel's buffers. */
function closeUnlessRead(socket: net.Socket): void {
	const { bytesRead } = socket;
	setImmediate(() => {
		if (socket.bytesRead === bytesRead) {
			socket.destroy();
		}
	});
}
