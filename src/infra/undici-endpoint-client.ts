/**
 * Adapter of endpoints by undici: OpenAI-compatible streams as server-sent events, plain HTTP
 * for the rest. A stream is resumed with the `Last-Event-ID` header of the event-stream standard.
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

/** Connections to one endpoint; the daemon's slots are the real bound. */
const maxConnections = 4096;
const connectTimeoutMs = 1000;
const loadTimeoutMs = 1000;

export class UndiciEndpointClient implements EndpointClient {
	private readonly pools = new Map<string, undici.Pool>();

	open(call: EndpointCall, sink: AnswerSink): RunningCall {
		const handler = new CallHandler(sink);
		const options: undici.Dispatcher.DispatchOptions = {
			method: call.method as undici.Dispatcher.HttpMethod,
			path: call.path,
			headers: headersOf(call),
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
		const origin = new URL(url).origin;
		let pool = this.pools.get(origin);
		if (!pool) {
			const connect = { timeout: connectTimeoutMs };
			pool = new undici.Pool(origin, { connections: maxConnections, pipelining: 1, connect });
			this.pools.set(origin, pool);
		}
		return pool;
	}
}

function headersOf(call: EndpointCall): Record<string, string> {
	const headers: Record<string, string> = { ...call.headers, 'x-request-id': call.id };
	headers['x-priority'] = String(call.priority);
	if (call.offset > 0) {
		headers['last-event-id'] = String(call.offset);
	}
	return headers;
}

/** Turns one undici dispatch into calls of the sink. */
class CallHandler implements undici.Dispatcher.DispatchHandler, RunningCall {
	private controller?: undici.Dispatcher.DispatchController;
	private readonly decoder = new TextDecoder();
	private parser?: eventsource.EventSourceParser;
	private parsed: StreamEvent[] = [];
	private sent = false;
	private done = false;
	private paused = false;

	constructor(private readonly sink: AnswerSink) {}

	pause(): void {
		this.paused = true;
		this.controller?.pause();
	}

	resume(): void {
		this.paused = false;
		this.controller?.resume();
	}

	cancel(): void {
		this.done = true;
		this.controller?.abort(new Error('cancelled'));
	}

	/** undici calls this before it writes the first byte. */
	onRequestStart(controller: undici.Dispatcher.DispatchController): void {
		this.controller = controller;
		if (this.done) {
			controller.abort(new Error('cancelled'));
			return;
		}
		this.sent = true;
	}

	onResponseStart(
		_controller: undici.Dispatcher.DispatchController,
		status: number,
		headers: Record<string, string | string[] | undefined>,
	): void {
		if (this.done || status < 200) {
			return;
		}
		const plain = plainHeaders(headers);
		if (plain['content-type']?.startsWith('text/event-stream')) {
			this.parser = eventsource.createParser({ onEvent: (event) => this.keep(event) });
		}
		this.sink.onHead(status, plain);
	}

	onResponseData(_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.done) {
			return;
		}
		if (!this.parser) {
			this.sink.onBytes(chunk);
			return;
		}
		this.parser.feed(this.decoder.decode(chunk, { stream: true }));
		if (this.parsed.length > 0) {
			const events = this.parsed;
			this.parsed = [];
			this.sink.onEvents(events);
		}
		if (this.paused) {
			this.controller?.pause();
		}
	}

	onResponseEnd(): void {
		if (!this.done) {
			this.done = true;
			this.sink.onEnd();
		}
	}

	onResponseError(_controller: undici.Dispatcher.DispatchController, err: Error): void {
		if (!this.done) {
			this.done = true;
			this.sink.onError(this.sent ? callFailures.broken : callFailures.notSent, err.message);
		}
	}

	private keep(event: eventsource.EventSourceMessage): void {
		const offset = event.id === undefined ? undefined : Number(event.id);
		this.parsed.push({ data: event.data, offset });
	}
}

function plainHeaders(
	headers: Record<string, string | string[] | undefined>,
): Record<string, string> {
	const plain: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined) {
			plain[name] = Array.isArray(value) ? value.join(', ') : value;
		}
	}
	return plain;
}
