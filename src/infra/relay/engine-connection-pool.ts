/**
 * Pool of undici connections to one engine, with one request at a time on each.
 * @module
 */
import * as undici from 'undici';
import { connectClient } from '../client-socket.js';

export const connectTimeoutMs = 400;
/** Idle connections are closed after this time unless the engine's keep-alive header sets another. */
const defaultIdleTimeoutMs = 4000;
/** Upper bound for the keep-alive time that an engine sets. */
const maxIdleTimeoutMs = 60_000;
/** Idle connections are closed this long before the engine would close them. */
const idleTimeoutMarginMs = 500;
/** Bytes of an answer that are buffered for a slow caller before the engine is throttled. */
const receiveBufferBytes = 64 * 1024;

/** Connection to an engine. */
export class EngineConnection {
	private readonly client: undici.Client;

	/**
	 * @param localAddress IP to connect from; undefined for any
	 * @param onClose called when either side has closed the connection
	 */
	constructor(
		private readonly origin: URL,
		private readonly localAddress: string | undefined,
		private readonly onClose: (connection: EngineConnection) => void,
	) {
		this.client = new undici.Client(origin, {
			connect: (_, callback) => this.connect(callback),
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: defaultIdleTimeoutMs,
			keepAliveMaxTimeout: maxIdleTimeoutMs,
			keepAliveTimeoutThreshold: idleTimeoutMarginMs,
		});
	}

	dispatch(
		opts: undici.Dispatcher.DispatchOptions,
		handler: undici.Dispatcher.DispatchHandler,
	): void {
		this.client.dispatch(opts, handler);
	}

	/** Closes the connection at once and fails its call. */
	destroy(): Promise<void> {
		return this.client.destroy();
	}

	/** Closes the connection once its call has ended. */
	close(): Promise<void> {
		return this.client.close();
	}

	private connect(callback: undici.buildConnector.Callback): void {
		const socket = connectClient(
			{
				host: this.origin.hostname,
				port: Number(this.origin.port),
				localAddress: this.localAddress,
				timeoutMs: connectTimeoutMs,
				highWaterMark: receiveBufferBytes,
			},
			callback,
		);
		socket.on('close', () => this.onClose(this));
	}
}

export class EngineConnectionPool {
	private readonly origin: URL;
	/** Connections without a call, most recently used last. */
	private readonly idle: EngineConnection[] = [];
	private readonly busy = new Set<EngineConnection>();
	private isClosed = false;

	/**
	 * @param address as IP:PORT
	 * @param localAddress IP to connect from; undefined for any
	 */
	constructor(
		address: string,
		private readonly localAddress?: string,
	) {
		this.origin = new URL(`http://${address}`);
	}

	get hasIdle(): boolean {
		return this.idle.length > 0;
	}

	/** Returns an idle connection, or a new one that opens with its first call. */
	acquire(): EngineConnection {
		const connection =
			this.idle.pop() ??
			new EngineConnection(this.origin, this.localAddress, (closed) => this.removeIdle(closed));
		this.busy.add(connection);
		return connection;
	}

	/** Returns a connection to the pool after a complete answer. */
	release(connection: EngineConnection): void {
		this.busy.delete(connection);
		if (this.isClosed) {
			connection.close().catch(() => {});
		} else {
			this.idle.push(connection);
		}
	}

	/** Closes a connection whose call failed or was aborted. */
	discard(connection: EngineConnection): void {
		this.busy.delete(connection);
		// Deferred, since undici may be handling the call.
		setImmediate(() => connection.destroy());
	}

	/** Closes idle connections at once and the others when their calls end. */
	close(): void {
		this.isClosed = true;
		for (const connection of this.idle.splice(0)) {
			connection.close().catch(() => {});
		}
	}

	async destroy(): Promise<void> {
		this.isClosed = true;
		await Promise.all(
			[...this.idle.splice(0), ...this.busy].map((connection) => connection.destroy()),
		);
	}

	private removeIdle(connection: EngineConnection): void {
		const index = this.idle.indexOf(connection);
		if (index >= 0) {
			this.idle.splice(index, 1);
		}
	}
}
