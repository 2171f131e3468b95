/**
 * TCP sockets for undici's clients.
 * @module
 */
import * as net from 'node:net';
import type * as undici from 'undici';
import { afterReads } from '../core/time/after-reads.js';
import { holdEnd } from './connection-end.js';

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

/** Reads in turns with other connections. The end of a connection is reported as `holdEnd` says. */
export class ClientSocket extends net.Socket {
	/** Whether a full read was made in this turn of the event loop; others wait for the next one. */
	private hasReadFully = false;
	/** Size of the read that waits for it. */
	private deferredSize?: number;

	constructor(opts: net.SocketConstructorOpts) {
		super(opts);
		holdEnd(this);
	}

	override push(chunk: Buffer | null, encoding?: BufferEncoding): boolean {
		if (chunk && chunk.length >= fullReadBytes) {
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
