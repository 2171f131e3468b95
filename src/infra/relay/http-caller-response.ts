/**
 * The answer to one caller of the relay's HTTP server.
 * @module
 */
import type * as http from 'node:http';
import type * as net from 'node:net';
import type { CallerResponse, RawHeaders } from '../../core/relay/definitions.js';

/**
 * Writes one answer. Chunks after the first go to the socket directly, with one write each: Node's server
 * would write their size, data and line end separately.
 */
export class HttpCallerResponse implements CallerResponse {
	/** Set once the head has been written to it and chunks may follow. */
	private socket?: net.Socket;
	private headers: RawHeaders = [];

	constructor(
		private readonly res: http.ServerResponse,
		private readonly shouldClose: () => boolean,
		/** Called when the client has stopped to take the answer, and when it takes it again. */
		private readonly onBackpressure: () => void,
	) {}

	writeHead(status: number, headers: RawHeaders): void {
		if (this.shouldClose()) {
			this.res.shouldKeepAlive = false;
		}
		this.headers = headers;
		this.res.writeHead(status, headers);
	}

	write(chunk: Buffer): boolean {
		const hasCapacity = this.writeChunk(chunk);
		if (!hasCapacity) {
			this.onBackpressure();
		}
		return hasCapacity;
	}

	private writeChunk(chunk: Buffer): boolean {
		const { res, socket } = this;
		if (socket && !socket.destroyed) {
			return chunk.length === 0 || socket.write(encodeChunk(chunk));
		}
		const hasCapacity = res.write(chunk);
		// A pipelined answer has no socket until the answers before it have ended.
		if (res.socket && res.chunkedEncoding && res.req.method !== 'HEAD') {
			this.socket = res.socket;
		}
		return hasCapacity;
	}

	end(chunk?: Buffer): void {
		this.res.end(chunk);
	}

	abort(): void {
		const { socket } = this.res;
		if (socket && this.isEndedByClose) {
			socket.resetAndDestroy();
		} else {
			this.res.destroy();
		}
	}

	/** Whether only the end of the connection marks that of the answer. An orderly end would make a part look whole. */
	private get isEndedByClose(): boolean {
		const { res, headers } = this;
		const hasLength = headers.some((name) => name.toLowerCase() === 'content-length');
		return res.headersSent && !res.chunkedEncoding && !hasLength;
	}

	onDrain(callback: () => void): void {
		(this.socket ?? this.res).once('drain', () => {
			this.onBackpressure();
			callback();
		});
	}

	onDisconnect(callback: () => void): void {
		this.res.on('close', () => {
			if (!this.res.writableFinished) {
				callback();
			}
		});
	}
}

const crlf = '\r\n';

/** Encodes a chunk for chunked transfer coding (RFC 9112, section 7.1). */
function encodeChunk(chunk: Buffer): Buffer {
	const size = chunk.length.toString(16) + crlf;
	const frame = Buffer.allocUnsafe(size.length + chunk.length + crlf.length);
	frame.write(size, 'latin1');
	chunk.copy(frame, size.length);
	frame.write(crlf, size.length + chunk.length, 'latin1');
	return frame;
}
