/**
 * Sends calls to engines with undici.
 * @module
 */
import * as net from 'node:net';
import type * as undici from 'undici';
import type {
	AnswerListener,
	CallListener,
	EngineCall,
	EngineTransport,
	ForwardHop,
	RawHeaders,
	RunningCall,
} from '../../core/relay/definitions.js';
import { afterReads } from '../../core/time/after-reads.js';
import { connectTimeoutMs, EngineConnectionPool } from './engine-connection-pool.js';
import type { AnswerDecoder } from './engine-running-call.js';
import { connectionRefusedCode, EngineRunningCall } from './engine-running-call.js';
import { encodeOrder, stripForwardHeaders } from './forwarding-headers.js';
import { HopListener } from './hop-listener.js';

/** Encodes heads of calls and decodes heads of answers, as defined by the platform adapter. */
export interface HeadCodec {
	encodeCall(call: EngineCall): RawHeaders;
	decodeAnswer: AnswerDecoder;
}

/** A request whose head is encoded. */
export interface EncodedRequest {
	method: string;
	/** Path and query. */
	target: string;
	headers: RawHeaders;
	body: Buffer;
}

export class UndiciEngineTransport implements EngineTransport {
	/** By the address of an engine, or of a VM that forwards requests. */
	private readonly pools = new Map<string, EngineConnectionPool>();
	private readonly decodeAnswer: AnswerDecoder;

	/** @param ip from which other VMs are asked to forward, as they check it; undefined for any */
	constructor(
		private readonly codec: HeadCodec,
		private readonly ip?: string,
	) {
		this.decodeAnswer = (status, rawHeaders) => codec.decodeAnswer(status, rawHeaders);
	}

	send(call: EngineCall, listener: CallListener): RunningCall {
		const { req, via } = call;
		const headers = this.codec.encodeCall(call);
		const { method, target, body } = req;
		return via
			? this.sendVia(via, call, { method, target, headers, body }, listener)
			: this.sendEncoded(call.address, { method, target, headers, body }, listener);
	}

	/** Sends a request whose head another VM has encoded. */
	sendEncoded(address: string, req: EncodedRequest, listener: AnswerListener): RunningCall {
		const pool = this.poolFor(address);
		return this.dispatch(req, new EngineRunningCall(this.decodeAnswer, listener, pool));
	}

	private sendVia(
		{ address, enginesRevision }: ForwardHop,
		call: EngineCall,
		req: EncodedRequest,
		listener: CallListener,
	): RunningCall {
		const { engineId, urgency } = call;
		const order = { engineAddress: call.address, engineId, enginesRevision, urgency };
		const hop = new HopListener(listener, this.decodeAnswer);
		const pool = this.poolFor(address, this.ip);
		const running = new EngineRunningCall((...head) => hop.decodeAnswer(...head), hop, pool);
		// A caller must not name the engine to which the other VM sends its request.
		const headers = [...stripForwardHeaders(req.headers), ...encodeOrder(order)];
		return this.dispatch({ ...req, headers }, running);
	}

	private dispatch(req: EncodedRequest, running: EngineRunningCall): RunningCall {
		running.start({
			method: req.method as undici.Dispatcher.HttpMethod,
			path: req.target,
			headers: req.headers,
			body: req.body.length > 0 ? req.body : undefined,
		});
		return running;
	}

	hasIdleConnection(address: string): boolean {
		return this.pools.get(address)?.hasIdle === true;
	}

	async isPortClosed(address: string): Promise<boolean> {
		return (await probePort(address)) === portStates.closed;
	}

	async canConnect(address: string): Promise<boolean> {
		return (await probePort(address)) === portStates.open;
	}

	closeIdleConnections(address: string): void {
		this.pools.get(address)?.close();
		this.pools.delete(address);
	}

	async close(): Promise<void> {
		await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
	}

	private poolFor(address: string, localAddress?: string): EngineConnectionPool {
		let pool = this.pools.get(address);
		if (!pool) {
			pool = new EngineConnectionPool(address, localAddress);
			this.pools.set(address, pool);
		}
		return pool;
	}
}

const portStates = {
	open: 'open',
	/** The host refuses connections. */
	closed: 'closed',
	/** Another error, or no answer in time. */
	unreachable: 'unreachable',
} as const;
type PortState = (typeof portStates)[keyof typeof portStates];

/** Opens and closes a connection. */
function probePort(address: string): Promise<PortState> {
	const [host, port] = address.split(':');
	return new Promise((resolve) => {
		const socket = net.connect({ host, port: Number(port), timeout: connectTimeoutMs });
		const end = (state: PortState) => {
			socket.destroy();
			resolve(state);
		};
		socket.on('connect', () => end(portStates.open));
		socket.on('timeout', () => afterReads(() => end(portStates.unreachable)));
		socket.on('error', ({ code }: NodeJS.ErrnoException) =>
			end(code === connectionRefusedCode ? portStates.closed : portStates.unreachable),
		);
	});
}
