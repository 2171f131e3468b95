/**
 * Connections to one engine by undici: one request at a time on each, kept between requests. Most VMs send an engine few requests, so
 * what a connection and a request on it cost counts from the first one on.
 * @module
 */
import * as net from 'node:net';
import * as undici from 'undici';

/** A connection between VMs comes up in 2 to 4 ms; one that takes longer is likely dead. */
export const connectTimeoutMs = 400;
/** Unused connections are closed after this time unless the engine names another, in milliseconds. */
const idleMs = 4000;
/** Longest time that an engine's own word keeps an unused connection, in milliseconds. */
const maxIdleMs = 60_000;
/** Closed so long before the engine would close it, in milliseconds. */
const idleMarginMs = 500;
/** Bytes of an answer that wait for a caller who reads slowly, before the engine is held back. */
const unreadBytes = 64 * 1024;

/** Code of the errors with which undici closes a connection that it no longer needs. */
const ownClose = 'UND_ERR_INFO';
/** An empty line between two requests; servers pass over it (RFC 9112, section 2.2). */
const emptyLine = '\r\n';

/** One connection; it remembers whether it broke, since undici takes a reset for the end of an answer that has no length. */
export class EngineConnection {
	/** It ended by an error, not by the engine's orderly close. */
	isBroken = false;
	/** Settles once it is known how the connection ended. */
	resetChecked?: Promise<void>;
	private readonly client: undici.Client;

	/** @param onLost it was closed, by whomever */
	constructor(
		private readonly origin: URL,
		private readonly onLost: (connection: EngineConnection) => void,
	) {
		this.client = new undici.Client(origin, {
			connect: (_, callback) => this.connect(callback),
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: idleMs,
			keepAliveMaxTimeout: maxIdleMs,
			keepAliveTimeoutThreshold: idleMarginMs,
		});
	}

	dispatch(
		opts: undici.Dispatcher.DispatchOptions,
		handler: undici.Dispatcher.DispatchHandler,
	): void {
		this.client.dispatch(opts, handler);
	}

	/** Closes it at once. */
	destroy(): Promise<void> {
		return this.client.destroy();
	}

	/** Closes it once its call has ended. */
	close(): Promise<void> {
		return this.client.close();
	}

	private connect(callback: undici.buildConnector.Callback): void {
		this.isBroken = false;
		this.resetChecked = undefined;
		const { hostname: host, port } = this.origin;
		const socket = net.connect({
			host,
			port: Number(port),
			noDelay: true,
			highWaterMark: unreadBytes,
		} as net.TcpNetConnectOpts);
		const timer = setTimeout(() => socket.destroy(new Error('connect time-out')), connectTimeoutMs);
		let isSettled = false;
		socket.once('connect', () => {
			isSettled = true;
			clearTimeout(timer);
			callback(null, socket);
		});
		socket.on('error', (err: NodeJS.ErrnoException) => {
			this.isBroken ||= err.code !== ownClose;
			if (!isSettled) {
				isSettled = true;
				clearTimeout(timer);
				callback(err, null);
			}
		});
		socket.prependListener('end', () => this.watchEnd(socket));
		socket.on('close', () => this.onLost(this));
	}

	/**
	 * Learns how the connection ends. A reset that comes together with the last bytes is read as an
	 * orderly end: the event loop takes the hang-up for the end of the stream without asking for the
	 * error behind it. Writing asks: it fails after a reset and succeeds after an orderly end.
	 */
	private watchEnd(socket: net.Socket): void {
		this.resetChecked = new Promise((done) => {
			socket.write(emptyLine, (err) => {
				const { code } = (err ?? {}) as NodeJS.ErrnoException;
				this.isBroken ||= code === 'EPIPE' || code === 'ECONNRESET';
				done();
			});
		});
	}
}

/** All connections to one engine. */
export class EngineConnectionPool {
	private readonly origin: URL;
	/** Those that carry no call, the last one used at the end. */
	private readonly idle: EngineConnection[] = [];
	private readonly busy = new Set<EngineConnection>();
	private isClosed = false;

	/** @param address IP:PORT */
	constructor(address: string) {
		this.origin = new URL(`http://${address}`);
	}

	get hasIdle(): boolean {
		return this.idle.length > 0;
	}

	/** A connection for one call, open or about to be. */
	acquire(): EngineConnection {
		const connection =
			this.idle.pop() ?? new EngineConnection(this.origin, (lost) => this.lost(lost));
		this.busy.add(connection);
		return connection;
	}

	/** Its call was answered whole: the next one may use it. */
	release(connection: EngineConnection): void {
		this.busy.delete(connection);
		if (this.isClosed) {
			connection.close().catch(() => {});
		} else {
			this.idle.push(connection);
		}
	}

	/** Its call broke, or is no longer wanted: it is not used again. */
	discard(connection: EngineConnection): void {
		this.busy.delete(connection);
		// Not from inside undici's own handling of the call.
		setImmediate(() => connection.destroy());
	}

	/** Calls that run may end; unused connections are closed at once. */
	close(): void {
		this.isClosed = true;
		for (const connection of this.idle.splice(0)) {
			connection.close().catch(() => {});
		}
	}

	async destroy(): Promise<void> {
		this.isClosed = true;
		await Promise.all([...this.idle.splice(0), ...this.busy].map((one) => one.destroy()));
	}

	private lost(connection: EngineConnection): void {
		const at = this.idle.indexOf(connection);
		if (at >= 0) {
			this.idle.splice(at, 1);
		}
	}
}
