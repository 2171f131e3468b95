/**
 * HTTP server for callers: the OpenAI-compatible API, plain services, health and readiness checks.
 * @module
 */
import * as http from 'node:http';
import type { ConfigurationView, RoutingTarget } from '../../core/configuration/index.js';
import type { Clock, Log, Random } from '../../core/definitions.js';
import * as errors from '../../core/errors/index.js';
import * as callerRequest from '../../core/requests/caller-request.js';
import type { CallerSink, CallTemplate } from '../../core/requests/definitions.js';
import type { Router } from '../../core/requests/router.js';
import type { Request } from '../../core/requests/types.js';
import { outcomes } from '../../core/requests/types.js';
import type { ClientError, ErrorAnswer } from '../caller-connections.js';
import {
	CallerConnections,
	clientErrorCodes,
	meteredServerOptions,
} from '../caller-connections.js';
import type { ConnectionMeter } from '../connections/metered-server.js';
import { isHostMissing } from '../connections/metered-server.js';
import { answerHeaderNames, errorBody, errorHeaders } from './error-body.js';
import * as requestBody from './request-body.js';
import { JsonSink, ServiceSink, StreamSink } from './sinks.js';

/** API paths that are routed to engines. */
const modelPaths = {
	chat: '/v1/chat/completions',
	completion: '/v1/completions',
} as const;
const servicePathPattern = /^\/services\/([a-z0-9._-]+)(\/.*)?$/;
/** Retry time of a request that is refused for want of memory or connections, in seconds. */
const overloadedRetryS = 0.2;
/** Estimated memory of a queued request besides its body. */
const requestOverheadBytes = 1024;

export interface CallersServerOptions {
	router: Router;
	clock: Clock;
	random: Random;
	log: Log;
	/** What callers may hold. */
	meter: ConnectionMeter;
	limits: { body_bytes: number; header_bytes: number; answer_bytes: number };
	/** The current configuration; undefined until one is loaded. */
	configuration: () => ConfigurationView | undefined;
	/** Why new requests are refused; undefined when they are accepted. */
	getRefusal: () => errors.ErrorData | undefined;
}

export class CallersServer {
	readonly server: http.Server;
	private readonly connections: CallerConnections;
	private nextTicket = 1;

	constructor(private readonly opts: CallersServerOptions) {
		const httpOptions = {
			...meteredServerOptions,
			maxHeaderSize: opts.limits.header_bytes,
			keepAliveTimeout: 65_000,
		};
		this.server = http.createServer(httpOptions, (req, res) => void this.handle(req, res));
		this.connections = new CallerConnections(this.server, {
			...opts.meter,
			answerError: (err) => answerError(err, opts.limits.header_bytes),
		});
	}

	private async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		if (!this.connections.take(req, res)) {
			return;
		}
		try {
			await this.route(req, res);
		} catch (err) {
			this.sendError(req, res, err);
		}
	}

	private async route(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		if (isHostMissing(req)) {
			throw new errors.UserError(errors.data.BadRequest, ['the head names no host']);
		}
		const path = (req.url ?? '/').split('?')[0] ?? '/';
		if (path === '/healthz') {
			sendJson(res, 200, { status: 'alive' });
			return;
		}
		if (path === '/readyz') {
			const refusal = this.opts.getRefusal();
			sendJson(res, refusal ? 503 : 200, { status: refusal ? refusal.name : 'ready' });
			return;
		}
		if (!this.connections.canRun()) {
			throw new errors.UserError(errors.data.Overloaded, [], { retryAfterS: overloadedRetryS });
		}
		const cfg = this.requireConfiguration();
		const service = servicePathPattern.exec(path);
		if (path === '/v1/models' && req.method === 'GET') {
			this.listModels(cfg, req, res);
		} else if (path === modelPaths.chat && req.method === 'POST') {
			await this.submitModelRequest(cfg, req, res, true);
		} else if (path === modelPaths.completion && req.method === 'POST') {
			await this.submitModelRequest(cfg, req, res, false);
		} else if (service?.[1]) {
			await this.submitServiceRequest(cfg, service[1], req, res);
		} else {
			throw new errors.UserError(errors.data.NotFound, [`${req.method} ${path}`]);
		}
	}

	/** Throws `NotReady` or the reason of the refusal while requests are not accepted. */
	private requireConfiguration(): ConfigurationView {
		const refusal = this.opts.getRefusal();
		const cfg = this.opts.configuration();
		if (refusal || !cfg) {
			throw new errors.UserError(refusal ?? errors.data.NotReady, [], { retryAfterS: 1 });
		}
		return cfg;
	}

	private listModels(
		cfg: ConfigurationView,
		req: http.IncomingMessage,
		res: http.ServerResponse,
	): void {
		callerRequest.readCustomer(cfg, req.headers);
		const data = cfg
			.listModels()
			.map((id) => ({ id, object: 'model', created: 0, owned_by: 'slategauge' }));
		sendJson(res, 200, { object: 'list', data });
	}

	private async submitModelRequest(
		cfg: ConfigurationView,
		req: http.IncomingMessage,
		res: http.ServerResponse,
		isChat: boolean,
	): Promise<void> {
		const options = callerRequest.readRequestOptions(cfg, req.headers);
		const raw = await this.readBody(req, res);
		const parsed = requestBody.parseModelBody(raw, isChat);
		const target: RoutingTarget = `model:${parsed.model}`;
		const template: CallTemplate = {
			method: 'POST',
			path: isChat ? modelPaths.chat : modelPaths.completion,
			headers: { 'content-type': 'application/json' },
			body: parsed.engineBody,
			streamed: true,
		};
		const request = this.makeRequest(cfg, options, target, raw.length);
		const sink = parsed.stream
			? new StreamSink(res, request.id)
			: new JsonSink(res, request.id, isChat, this.opts.limits.answer_bytes);
		this.submit(request, template, sink, res);
	}

	private async submitServiceRequest(
		cfg: ConfigurationView,
		name: string,
		req: http.IncomingMessage,
		res: http.ServerResponse,
	): Promise<void> {
		const options = callerRequest.readRequestOptions(cfg, req.headers);
		const raw = await this.readBody(req, res);
		const path = (req.url ?? '').slice(`/services/${name}`.length) || '/';
		const contentType = req.headers['content-type'];
		const template: CallTemplate = {
			method: req.method ?? 'GET',
			path,
			headers: contentType === undefined ? {} : { 'content-type': contentType },
			body: raw.length > 0 ? raw : undefined,
			streamed: false,
		};
		const request = this.makeRequest(cfg, options, `service:${name}`, raw.length);
		this.submit(request, template, new ServiceSink(res, request.id), res);
	}

	/** Reads the whole body; throws `TooLarge` when it exceeds the limit. */
	private async readBody(req: http.IncomingMessage, res: http.ServerResponse): Promise<Buffer> {
		const { body_bytes: limit } = this.opts.limits;
		const tooLarge = new errors.UserError(errors.data.TooLarge, [String(limit)]);
		if (Number(req.headers['content-length'] ?? 0) > limit) {
			throw tooLarge;
		}
		return await new Promise((resolve, reject) => {
			this.connections.readBody(req, res, limit, {
				onBody: resolve,
				onTooLarge: () => reject(tooLarge),
				onBroken: reject,
			});
		});
	}

	private makeRequest(
		cfg: ConfigurationView,
		options: callerRequest.CallerRequestOptions,
		target: RoutingTarget,
		bytes: number,
	): Request {
		if (cfg.findEligibleEndpoints(target, options.cls.name).length === 0) {
			throw new errors.UserError(errors.data.NotFound, [`${target} for class ${options.cls.name}`]);
		}
		const now = this.opts.clock.monotonic();
		return {
			id: this.opts.random.hex(12),
			ticket: this.nextTicket++,
			cls: options.cls,
			customer: options.customer.name,
			weight: options.customer.weight,
			target,
			repeatable: callerRequest.isRepeatable(cfg, options.cls, target, options.repeatable),
			idempotencyKey: options.idempotencyKey,
			arrivedAt: now,
			firstTokenBy: now + Math.min(options.cls.first_token_ms, options.deadlineMs),
			deadlineAt: now + options.deadlineMs,
			queueTimeoutAt:
				now + Math.min(options.cls.patience_ms ?? options.deadlineMs, options.deadlineMs),
			heldBytes: bytes + requestOverheadBytes,
			waitingSince: now,
			offset: 0,
			avoidUntil: new Map(),
		};
	}

	private submit(
		request: Request,
		template: CallTemplate,
		sink: CallerSink,
		res: http.ServerResponse,
	): void {
		if (this.connections.isDropped(res)) {
			return;
		}
		const run = this.opts.router.submit(request, template, sink);
		res.on('close', () => run.handleDisconnect());
	}

	private sendError(req: http.IncomingMessage, res: http.ServerResponse, err: unknown): void {
		if (res.headersSent || res.destroyed) {
			res.destroy();
			return;
		}
		if (!(err instanceof errors.UserError)) {
			this.opts.log.error('callers.failed', { error: (err as Error).stack });
			sendJson(res, 500, {
				error: { message: 'internal error', type: 'Internal', code: 'Internal' },
			});
			return;
		}
		const headers = errorHeaders(err, outcomes.notRun);
		this.connections.refuse(
			req,
			res,
			err.data.status ?? 500,
			headers,
			errorBody(err, outcomes.notRun),
		);
	}
}

/** Answers a request that is malformed, too large or given up while it was read. */
function answerError(err: ClientError, limit: number): ErrorAnswer {
	const error = describeError(err, limit);
	return {
		status: error.data.status ?? 400,
		reason: error.data.title,
		headers: errorHeaders(error, outcomes.notRun),
		body: errorBody(error, outcomes.notRun),
	};
}

function describeError({ code }: ClientError, limit: number): errors.UserError {
	switch (code) {
		case clientErrorCodes.headTooLarge:
			return new errors.UserError(errors.data.HeadTooLarge, [String(limit)]);
		case clientErrorCodes.overloaded:
			return new errors.UserError(errors.data.Overloaded, [], { retryAfterS: overloadedRetryS });
		default:
			return new errors.UserError(errors.data.BadRequest, ['it is not valid HTTP']);
	}
}

function sendJson(res: http.ServerResponse, status: number, value: unknown): void {
	res.writeHead(status, {
		'content-type': 'application/json',
		[answerHeaderNames.outcome]: outcomes.complete,
	});
	res.end(JSON.stringify(value));
}
