/**
 * Calls endpoints over HTTP with undici; OpenAI-compatible streams arrive as server-sent events.
 * A stream is resumed with the standard `Last-Event-ID` header.
 * @module
 */
import * as eventsource from 'eventsource-parser';
import * as undici from 'undici';
import type {
	AnswerSink,
	EndpointCall,
	EndpointClient,
	EndpointOrder,
	LoadReport,
	RunningCall,
	StreamEvent,
} from '../core/definitions.js';
import { callFailures } from '../core/definitions.js';
import { ChunkBatch } from './chunk-batch.js';
import { connectClient } from './client-socket.js';
import { holdEnd } from './connection-end.js';

/** Connections to one endpoint; high enough that slots, not connections, limit concurrency. */
const maxConnections = 4096;
const connectTimeoutMs = 1000;
/** Port of `http` URLs that name none. */
const defaultPort = 80;
/** Idle time after which TCP checks whether the endpoint is still there. */
const keepAliveDelayMs = 60_000;
const loadTimeoutMs = 1000;

const openTls = undici.buildConnector({ timeout: connectTimeoutMs });

export class UndiciEndpointClient implements EndpointClient {
	private readonly pools = new Map<string, undici.Pool>();

	open(call: EndpointCall, sink: AnswerSink): RunningCall {
		const handler = new CallHandler(sink);
		const options: undici.Dispatcher.DispatchOptions = {
			method: call.method as undici.Dispatcher.HttpMethod,
			path: call.path,
			headers: buildHeaders(call),
			body: call.body,
			headersTimeout: call.stallMs,
			bodyTimeout: call.stallMs,
		};
		this.pool(call.url).dispatch(options, handler);
		return handler;
	}

	async fetchLoad(url: string): Promise<LoadReport> {
		const res = await this.pool(url).request({
			method: 'GET',
			path: '/load',
			signal: AbortSignal.timeout(loadTimeoutMs),
		});
		const row = (await res.body.json()) as Record<string, unknown>;
		return {
			running: Number(row.running),
			waiting: Number(row.waiting),
			isDraining: row.leaving === true,
		};
	}

	async order(url: string, order: EndpointOrder, timeoutMs: number): Promise<number> {
		const res = await this.pool(url).request({
			method: 'POST',
			path: '/orders',
			headers: { 'content-type': 'application/json' },
			body: JSON.stringify(order),
			signal: AbortSignal.timeout(timeoutMs),
		});
		await res.body.dump();
		return res.statusCode;
	}

	async close(): Promise<void> {
		await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
	}

	private pool(url: string): undici.Pool {
		const { origin, protocol } = new URL(url);
		let pool = this.pools.get(origin);
		if (!pool) {
			pool = new undici.Pool(origin, {
				connections: maxConnections,
				pipelining: 1,
				connect: protocol === 'http:' ? connectTcp : connectTls,
			});
			this.pools.set(origin, pool);
		}
		return pool;
	}
}

function connectTcp(
	{ hostname: host, port }: undici.buildConnector.Options,
	callback: undici.buildConnector.Callback,
): void {
	const opts = { host, port: Number(port || defaultPort), timeoutMs: connectTimeoutMs };
	connectClient(opts, callback).setKeepAlive(true, keepAliveDelayMs);
}

function connectTls(
	opts: undici.buildConnector.Options,
	callback: undici.buildConnector.Callback,
): void {
	openTls(opts, (...result) => {
		const [, socket] = result;
		if (socket) {
			holdEnd(socket);
		}
		callback(...result);
	});
}

function buildHeaders(call: EndpointCall): Record<string, string> {
	const headers: Record<string, string> = { ...call.headers, 'x-request-id': call.id };
	headers['x-priority'] = String(call.priority);
	if (call.offset > 0) {
		headers['last-event-id'] = String(call.offset);
	}
	return headers;
}

/** Forwards the callbacks of one undici dispatch to a sink. */
class CallHandler implements undici.Dispatcher.DispatchHandler, RunningCall {
	private controller?: undici.Dispatcher.DispatchController;
	private readonly decoder = new TextDecoder();
	private parser?: eventsource.EventSourceParser;
	private pendingEvents: StreamEvent[] = [];
	private hasStarted = false;
	private isDone = false;
	private isPaused = false;
	private readonly batch = new ChunkBatch((bytes) => this.handleBytes(bytes));

	constructor(private readonly sink: AnswerSink) {}

	pause(): void {
		this.isPaused = true;
		this.controller?.pause();
	}

	resume(): void {
		this.isPaused = false;
		this.controller?.resume();
	}

	cancel(): void {
		this.isDone = true;
		this.controller?.abort(new Error('cancelled'));
	}

	/** Called before undici writes the first byte of the request. */
	onRequestStart(controller: undici.Dispatcher.DispatchController): void {
		this.controller = controller;
		if (this.isDone) {
			controller.abort(new Error('cancelled'));
			return;
		}
		this.hasStarted = true;
	}

	onResponseStart(
		_controller: undici.Dispatcher.DispatchController,
		status: number,
		headers: Record<string, string | string[] | undefined>,
	): void {
		if (this.isDone || status < 200) {
			return;
		}
		const flatHeaders = flattenHeaders(headers);
		if (flatHeaders['content-type']?.startsWith('text/event-stream')) {
			this.parser = eventsource.createParser({ onEvent: (event) => this.enqueueEvent(event) });
		}
		this.sink.onHead(status, flatHeaders);
	}

	onResponseData(_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
		this.batch.add(chunk);
	}

	onResponseEnd(): void {
		this.batch.flush();
		if (!this.isDone) {
			this.isDone = true;
			this.sink.onEnd();
		}
	}

	onResponseError(_controller: undici.Dispatcher.DispatchController, err: Error): void {
		this.batch.flush();
		if (!this.isDone) {
			this.isDone = true;
			this.sink.onError(this.hasStarted ? callFailures.broken : callFailures.notSent, err.message);
		}
	}

	private handleBytes(chunk: Buffer): void {
		if (this.isDone) {
			return;
		}
		if (!this.parser) {
			this.sink.onBytes(chunk);
			return;
		}
		this.parser.feed(this.decoder.decode(chunk, { stream: true }));
		if (this.pendingEvents.length > 0) {
			const events = this.pendingEvents;
			this.pendingEvents = [];
			this.sink.onEvents(events);
		}
		if (this.isPaused) {
			this.controller?.pause();
		}
	}

	private enqueueEvent(event: eventsource.EventSourceMessage): void {
		const offset = event.id === undefined ? undefined : Number(event.id);
		this.pendingEvents.push({ data: event.data, offset });
	}
}

/** Joins the values of repeated headers. */
function flattenHeaders(
	headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
	const flatHeaders: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined) {
			flatHeaders[name] = Array.isArray(value) ? value.join(', ') : value;
		}
	}
	return flatHeaders;
}
