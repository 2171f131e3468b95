/**
 * Accepts requests that other VMs ask this one to forward, on the port for peers.
 * @module
 */
import type * as http from 'node:http';
import type {
	ForwardingContext,
	ForwardResponse,
} from '../../core/forwarding/forwarded-request.js';
import { ForwardedRequest } from '../../core/forwarding/forwarded-request.js';
import type { ForwardOrder, ForwardRefusal } from '../../core/forwarding/types.js';
import { forwardRefusals } from '../../core/forwarding/types.js';
import type { AnswerHead, RawHeaders } from '../../core/relay/definitions.js';
import { BodyCollector } from '../connections/body-collector.js';
import type { EncodedRequest, UndiciEngineTransport } from './engine-transport.js';
import {
	decodeOrder,
	encodeResult,
	forwardResults,
	orderHeader,
	stripForwardHeaders,
} from './forwarding-headers.js';

/** Bound for the bodies of all requests that are read or wait for their engine; further ones are refused. */
const maxHeldBytes = 20 * 1024 * 1024;

export interface ForwardingServerOptions extends ForwardingContext {
	transport: Pick<UndiciEngineTransport, 'sendEncoded'>;
	/** Removes the headers that concern one connection only. */
	stripConnectionHeaders: (raw: RawHeaders) => RawHeaders;
	/** Id of the request with this head, for the log. */
	requestIdOf: (raw: RawHeaders) => string;
	/** Reads the registered VMs again, unless that happened a moment ago. */
	refreshVms: () => Promise<void>;
	/** Called for each request, with the reason why it is not forwarded. */
	onOrder: (refusal: string | undefined) => void;
}

/** Bytes of one request's body that are held. */
interface HeldBody {
	bytes: number;
}

export class ForwardingServer {
	private heldBytes = 0;
	private openCount = 0;

	constructor(private readonly opts: ForwardingServerOptions) {}

	/** Requests whose answer has not ended. */
	get openRequests(): number {
		return this.openCount;
	}

	/** @returns false for a request that asks for no forwarding */
	handle(req: http.IncomingMessage, res: http.ServerResponse): boolean {
		const order = decodeOrder(req.headers[orderHeader]);
		if (!order) {
			return false;
		}
		const held = { bytes: 0 };
		this.openCount++;
		res.on('close', () => {
			this.openCount--;
			this.heldBytes -= held.bytes;
		});
		const sender = req.socket.remoteAddress ?? '';
		const requestId = this.opts.requestIdOf(req.rawHeaders);
		void this.admit({ ...order, sender, requestId }, req, res, held);
		return true;
	}

	private async admit(
		order: ForwardOrder,
		req: http.IncomingMessage,
		res: http.ServerResponse,
		held: HeldBody,
	): Promise<void> {
		const refusal = await this.decide(order);
		if (res.destroyed) {
			return;
		}
		this.opts.onOrder(refusal);
		const response = new HttpForwardResponse(res);
		if (refusal) {
			const { requestId, sender, engineId } = order;
			const fields = { request: requestId, sender, engine: engineId, reason: refusal };
			this.opts.log.warn('request.forward-refused', fields);
			req.resume();
			response.refuse(refusal);
			return;
		}
		this.readBody(req, held, (body) => this.forward(order, req, body, response));
	}

	private async decide(order: ForwardOrder): Promise<ForwardRefusal | undefined> {
		const { admission, refreshVms } = this.opts;
		if (admission.getRefusal(order) === forwardRefusals.unknownSender) {
			// It may have registered since the registrations were read.
			await refreshVms();
		}
		const isFull = this.heldBytes > maxHeldBytes;
		return admission.getRefusal(order) ?? (isFull ? forwardRefusals.overloaded : undefined);
	}

	private readBody(req: http.IncomingMessage, held: HeldBody, done: (body: Buffer) => void): void {
		const body = new BodyCollector();
		req.on('data', (chunk: Buffer) => {
			held.bytes += chunk.length;
			this.heldBytes += chunk.length;
			body.add(chunk);
		});
		req.on('end', () => done(body.take()));
	}

	private forward(
		order: ForwardOrder,
		req: http.IncomingMessage,
		body: Buffer,
		response: ForwardResponse,
	): void {
		const { method = 'GET', url: target = '/', rawHeaders } = req;
		const headers = stripForwardHeaders(this.opts.stripConnectionHeaders(rawHeaders));
		const encoded: EncodedRequest = { method, target, headers, body };
		const request = new ForwardedRequest(this.opts, order, response);
		request.start((listener) =>
			this.opts.transport.sendEncoded(order.engineAddress, encoded, listener),
		);
	}
}

class HttpForwardResponse implements ForwardResponse {
	/** Sent with the first bytes of the body. */
	private pendingHead?: AnswerHead;

	constructor(private readonly res: http.ServerResponse) {}

	refuse(refusal: ForwardRefusal): void {
		this.res.writeHead(503, [...encodeResult({ refusal }), 'content-length', '0']);
		this.res.end();
	}

	fail(reason: string): void {
		this.res.writeHead(502, encodeResult(forwardResults.failed));
		this.res.end(reason);
	}

	writeHead(head: AnswerHead): void {
		this.pendingHead = head;
	}

	write(chunk: Buffer): boolean {
		this.flushHead();
		return this.res.write(chunk);
	}

	end(): void {
		this.flushHead();
		this.res.end();
	}

	abort(reason: string): void {
		if (this.pendingHead) {
			this.fail(reason);
		} else {
			this.res.destroy();
		}
	}

	onDrain(callback: () => void): void {
		this.res.once('drain', callback);
	}

	onDisconnect(callback: () => void): void {
		this.res.on('close', () => {
			if (!this.res.writableFinished) {
				callback();
			}
		});
	}

	private flushHead(): void {
		const { pendingHead } = this;
		if (pendingHead) {
			this.pendingHead = undefined;
			const headers = stripForwardHeaders(pendingHead.headers);
			this.res.writeHead(pendingHead.status, [...headers, ...encodeResult(forwardResults.answer)]);
		}
	}
}
