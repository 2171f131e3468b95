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
import type { CallerConnections } from '../caller-connections.js';
import type { EncodedRequest, UndiciEngineTransport } from './engine-transport.js';
import {
	decodeOrder,
	encodeResult,
	forwardResults,
	orderHeader,
	stripForwardHeaders,
} from './forwarding-headers.js';

/** A larger body is more than a VM can hold for another one. */
const maxBodyBytes = 20 * 1024 * 1024;

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

export class ForwardingServer {
	private openCount = 0;

	constructor(private readonly opts: ForwardingServerOptions) {}

	/** Requests whose answer has not ended. */
	get openRequests(): number {
		return this.openCount;
	}

	/** @returns false for a request that asks for no forwarding */
	handle(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		connections: CallerConnections,
	): boolean {
		const order = decodeOrder(req.headers[orderHeader]);
		if (!order) {
			return false;
		}
		this.openCount++;
		res.on('close', () => {
			this.openCount--;
		});
		const sender = req.socket.remoteAddress ?? '';
		const requestId = this.opts.requestIdOf(req.rawHeaders);
		void this.admit({ ...order, sender, requestId }, req, res, connections);
		return true;
	}

	private async admit(
		order: ForwardOrder,
		req: http.IncomingMessage,
		res: http.ServerResponse,
		connections: CallerConnections,
	): Promise<void> {
		const refusal = await this.decide(order, connections.canRun());
		if (res.destroyed || res.headersSent) {
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
		connections.readBody(req, res, maxBodyBytes, {
			onBody: (body) => this.forward(order, req, body, response),
			onTooLarge: () => response.refuse(forwardRefusals.overloaded),
		});
	}

	private async decide(order: ForwardOrder, hasRoom: boolean): Promise<ForwardRefusal | undefined> {
		const { admission, refreshVms } = this.opts;
		if (admission.getRefusal(order) === forwardRefusals.unknownSender) {
			// It may have registered since the registrations were read.
			await refreshVms();
		}
		return admission.getRefusal(order) ?? (hasRoom ? undefined : forwardRefusals.overloaded);
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
