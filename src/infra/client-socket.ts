/**
 * TCP sockets for undici's clients. undici takes the end of a connection, and a reset too, for the end of an answer
 * without a length, and it cannot handle either while the reader has paused the answer.
 * @module
 */
import * as net from 'node:net';
import type * as undici from 'undici';
import { afterReads } from '../core/time/after-reads.js';

const resetCode = 'ECONNRESET';
/** Bytes that Node reads at once. A read of so many is followed by others within the same turn of the event loop. */
const fullReadBytes = 64 * 1024;

export interface ConnectOptions {
	host: string;
	port: number;
	/** IP to connect from; undefined for any. */
	localAddress?: string;
	timeoutMs: number;
	/** Bytes that are read ahead of a paused reader. */
	highWaterMark?: number;
}

/** The other side reset the connection. Its code differs from that of the system, after which undici completes an answer. */
export class ConnectionResetError extends Error {
	override readonly name = 'ConnectionResetError';
	readonly code = 'ERR_CONNECTION_RESET';
}

/** How the other side ended the connection. */
const endings = { orderly: 'orderly', reset: 'reset' } as const;
type Ending = (typeof endings)[keyof typeof endings];

/** Reports the end of the connection once all that came before has been read: `end` after an orderly one, else an error. */
export class ClientSocket extends net.Socket {
	/** Set from when the end arrives until it is reported. */
	private ending?: Ending;
	/** Whether the reader has read since it was last told to. */
	private hasRead = false;
	/** Whether a full read was made in this turn of the event loop; others wait for the next one. */
	private hasReadFully = false;
	/** Size of the read that waits for it. */
	private deferredSize?: number;

	/** Receives bytes, or null for the end of the connection. */
	override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
		if (chunk === null) {
			this.ending = this.isConnected ? endings.orderly : endings.reset;
			this.reportEnd();
			return false;
		}
		if (chunk.length >= fullReadBytes) {
			this.yieldTurn();
		}
		return super.push(chunk, encoding) && !this.hasReadFully;
	}

	override _read(size: number): void {
		if (this.hasReadFully) {
			this.deferredSize = size;
		} else {
			super._read(size);
		}
	}

	/** Lets other connections have their turn, also if this one always has bytes that take long to handle. */
	private yieldTurn(): void {
		this.hasReadFully = true;
		setImmediate(() => {
			this.hasReadFully = false;
			const { deferredSize } = this;
			this.deferredSize = undefined;
			if (deferredSize !== undefined && !this.destroyed) {
				super._read(deferredSize);
			}
		});
	}

	override read(size?: number): unknown {
		const chunk = super.read(size);
		// A size of 0 is Node's own way to refill the buffer.
		if (size !== 0) {
			this.hasRead = true;
			if (this.ending) {
				process.nextTick(() => this.reportEnd());
			}
		}
		return chunk;
	}

	override _destroy(err: Error | null, callback: (err?: Error | null) => void): void {
		const isReset = (err as NodeJS.ErrnoException | null)?.code === resetCode;
		super._destroy(isReset ? new ConnectionResetError(err?.message) : err, callback);
	}

	/**
	 * Whether the system still knows a peer. It forgets the peer on a reset, which Node reports as the end of the stream if it
	 * arrives with the last bytes. Node caches the address, so nothing else may ask for it before.
	 */
	private get isConnected(): boolean {
		return this.remoteAddress !== undefined;
	}

	private reportEnd(): void {
		const { ending } = this;
		if (!ending || this.destroyed || this.readableLength > 0 || this.isReaderPaused()) {
			return;
		}
		this.ending = undefined;
		if (ending === endings.reset) {
			this.destroy(new ConnectionResetError('connection reset'));
		} else {
			super.push(null);
		}
	}

	/** Tells the reader to read; one that has paused does so only when it goes on. */
	private isReaderPaused(): boolean {
		this.hasRead = false;
		this.emit('readable');
		return !this.hasRead;
	}
}

/** Opens a connection for an undici client. */
export function connectClient(
	{ host, port, localAddress, timeoutMs, highWaterMark }: ConnectOptions,
	callback: undici.buildConnector.Callback,
): ClientSocket {
	const opts = { host, port, localAddress, highWaterMark, noDelay: true };
	// Node takes the options of a stream and of a connection in the same object.
	const socket = new ClientSocket(opts as net.SocketConstructorOpts);
	let isSettled = false;
	const giveUp = () => {
		if (!isSettled) {
			socket.destroy(new Error('connection timed out'));
		}
	};
	const timer = setTimeout(() => afterReads(giveUp), timeoutMs);
	socket.once('connect', () => {
		isSettled = true;
		clearTimeout(timer);
		callback(null, socket);
	});
	socket.on('error', (err) => {
		if (!isSettled) {
			isSettled = true;
			clearTimeout(timer);
			callback(err, null);
		}
	});
	return socket.connect(opts);
}
