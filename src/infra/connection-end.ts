/**
 * Ends of connections, as undici's clients have to see them. undici takes the end of a connection, and a reset too, for the
 * end of an answer without a length, and it cannot handle either while the reader has paused the answer.
 * @module
 */
import type * as net from 'node:net';

const resetCode = 'ECONNRESET';

/** The other side reset the connection. Its code differs from that of the system, after which undici completes an answer. */
export class ConnectionResetError extends Error {
	override readonly name = 'ConnectionResetError';
	readonly code = 'ERR_CONNECTION_RESET';
}

/** How the other side ended the connection. */
const endings = { orderly: 'orderly', reset: 'reset' } as const;
type Ending = (typeof endings)[keyof typeof endings];

/**
 * Makes a socket report the end of its connection once all that came before has been read: `end` after an orderly one, else
 * a `ConnectionResetError`. Replaces methods of the socket, since Node creates TLS sockets itself.
 */
export function holdEnd(socket: net.Socket): void {
	const push = socket.push.bind(socket);
	const read = socket.read.bind(socket);
	const destroy = socket._destroy.bind(socket);
	const end = new HeldEnd(socket, () => push(null));
	socket.push = (chunk, encoding) => {
		if (chunk === null) {
			end.hold();
			return false;
		}
		return push(chunk, encoding);
	};
	socket.read = (size) => {
		const chunk = read(size);
		// A size of 0 is Node's own way to refill the buffer.
		if (size !== 0) {
			end.handleRead();
		}
		return chunk;
	};
	socket._destroy = (err, callback) => {
		const isReset = (err as NodeJS.ErrnoException | null)?.code === resetCode;
		destroy(isReset ? new ConnectionResetError(err?.message) : err, callback);
	};
}

/** The end of a connection from when it arrives until it is reported. */
class HeldEnd {
	private ending?: Ending;
	/** Whether the reader has read since it was last told to. */
	private hasRead = false;

	constructor(
		private readonly socket: net.Socket,
		private readonly reportOrderly: () => void,
	) {}

	hold(): void {
		this.ending = this.isConnected ? endings.orderly : endings.reset;
		this.report();
	}

	handleRead(): void {
		this.hasRead = true;
		if (this.ending) {
			process.nextTick(() => this.report());
		}
	}

	/**
	 * Whether the system still knows a peer. It forgets the peer on a reset, which Node reports as the end of the stream if it
	 * arrives with the last bytes. Node caches the address, so nothing else may ask for it before.
	 */
	private get isConnected(): boolean {
		return this.socket.remoteAddress !== undefined;
	}

	private report(): void {
		const { ending, socket } = this;
		if (!ending || socket.destroyed || socket.readableLength > 0 || this.isReaderPaused()) {
			return;
		}
		this.ending = undefined;
		if (ending === endings.reset) {
			socket.destroy(new ConnectionResetError('connection reset'));
		} else {
			this.reportOrderly();
		}
	}

	/** Tells the reader to read; one that has paused does so only when it goes on. */
	private isReaderPaused(): boolean {
		this.hasRead = false;
		this.socket.emit('readable');
		return !this.hasRead;
	}
}
