/**
 * Stand-in for an engine behind the relay that answers by a configurable behaviour and records the
 * requests it received.
 * @module
 */
import * as http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** Ways in which the engine handles requests. */
export const engineBehaviours = {
	healthy: 'well',
	/** Answers 503 with the header that says that the request did not run. */
	rejects: 'rejects',
	/** Answers 503 without that header. */
	unmarked503: 'bare-503',
	/** Answers 404, which says nothing about whether the request ran. */
	unmarked404: 'bare-404',
	/** Resets the connection before any answer. */
	resets: 'resets',
	/** Sends three events and half of the fourth, then resets the connection. */
	resetsMidStream: 'breaks-off',
	/** Answers with the attempt id of another request. */
	wrongAttemptId: 'mixes-up',
	/** Answers 200 without a signature. */
	unsigned: 'unsigned',
	/** Sends part of an answer without a content length, then resets the connection after a pause. */
	unframedReset: 'unframed-reset',
	/** Sends part of an answer without a content length and resets the connection at once. */
	unframedImmediateReset: 'unframed-reset-at-once',
	/** Sends an answer without a content length that ends when the connection closes. */
	unframed: 'unframed',
	/** Sends streams without a length or chunks, which end with the connection. */
	unframedStream: 'unframed-stream',
	/** The same, but the connection ends inside the fourth event, or inside its id. */
	unframedStreamCut: 'unframed-stream-cut',
	unframedStreamCutInId: 'unframed-stream-cut-in-id',
	/** Answers 500. */
	fails: 'fails',
	/** Sends a second, unsolicited answer after the first. */
	answersTwice: 'answers-twice',
	/** Answers before it reads the body, then reads it on the same connection. */
	answersEarly: 'answers-early',
	/** Never answers. */
	silent: 'silent',
} as const;
export type EngineBehaviour = (typeof engineBehaviours)[keyof typeof engineBehaviours];

export interface ReceivedRequest {
	method: string;
	url: string;
	headers: http.IncomingHttpHeaders;
	body: string;
	/** Monotonic time in milliseconds at which the body was read. */
	at: number;
	/** Whether the engine answered that the request did not run. */
	wasRejected: boolean;
	/** Whether the connection closed before the answer was complete. */
	hasCallerLeft: boolean;
	/** Notice in the head of the answer, once that was sent. */
	notice?: EngineNotice;
}

/** Ways in which the end of an answer is told. */
export const framings = {
	length: 'length',
	chunked: 'chunked',
	/** By the end of the connection. */
	unframed: 'unframed',
} as const;
export type Framing = (typeof framings)[keyof typeof framings];

/** An error answer to a request with this body. */
export interface ErrorAnswer {
	requestBody: string;
	status: number;
	bytes: number;
	framing: Framing;
}

/** An answer byte by byte. `SIGNED` in a head stands for the headers that prove its origin. */
export interface RawEngineAnswer {
	requestBody: string;
	text: string;
	/** Time for which the second half is held back, in milliseconds. */
	pauseMs?: number;
	/** Whether the connection is kept, closed or reset behind it. */
	connection: 'keep' | 'close' | 'reset';
}

/** State of an engine that it announces in the head of an answer. */
export interface EngineNotice {
	/** Monotonic time in milliseconds. */
	at: number;
	isDraining: boolean;
	/** Time for which the engine asks for no requests; 0 if it does not ask. */
	backOffMs: number;
	/** Limit on requests per second from all VMs together. */
	limitPerS?: number;
}

/** Delay between the start of a request that crashes the engine and the crash. */
const crashDelayMs = 30;
/** Steps by which that delay differs between requests. */
const crashDelayStepMs = 15;

/** Time in which bytes before a reset reach the relay. */
const rawResetDelayMs = 60;

/** Interval at which a silent engine looks whether it may go on. */
const silenceCheckMs = 50;

/** Number of events in every streamed answer. */
export const streamEventCount = 8;

export class PlatformEngineStandIn {
	readonly receivedRequests: ReceivedRequest[] = [];
	behaviour: EngineBehaviour = engineBehaviours.healthy;
	eventIntervalMs = 5;
	/** Delay of answers that are not streamed. */
	answerDelayMs = 0;
	/** Until when answers are held back, in monotonic milliseconds. */
	private silentUntil = 0;
	/** Body of requests that crash the engine. */
	crashBody?: string;
	/** Whether the crash leaves connections open and the engine silent, as when its host loses power. */
	crashesSilently = false;
	/** Error that the engine gives to one request, unless another engine has given it. */
	errorAnswer?: ErrorAnswer & { wasGiven: boolean };
	/** Bytes that the engine sends in place of its answer to requests with this body, and what becomes of the connection. */
	rawAnswer?: RawEngineAnswer;
	/** Parts of prompts that crash the engine once it has begun to answer; the last part of a prompt does not. */
	crashParts: readonly string[] = [];
	/** Whether all answers announce that the engine drains. */
	isDraining = false;
	/** Back-off requested by answers with status 503. */
	backOffS?: number;
	/** Limit on requests per second that all answers announce. */
	limitPerS?: number;
	/** Resets connections on their second request. */
	resetsReusedConnections = false;
	/** Resets new connections, as an engine with too many of them does. */
	resetsNewConnections = false;
	/** Sockets that have carried a request. */
	private readonly usedSockets = new WeakSet<Socket>();
	onCrash?: () => void;
	/** Whether the engine is back at once after a crash, so that only its connections end. */
	restartsAtOnce = false;
	readonly server = http.createServer((req, res) => void this.handle(req, res));

	constructor(readonly id: string) {
		this.server.on('connection', (socket) => {
			if (this.resetsNewConnections) {
				socket.resetAndDestroy();
			}
		});
	}

	async start(): Promise<string> {
		await new Promise<void>((done) => this.server.listen(0, '127.0.0.1', done));
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	stop(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Sends no answers for a time and then goes on; connections and requests are still accepted. */
	fallSilent(ms: number): void {
		this.silentUntil = Math.max(this.silentUntil, performance.now() + ms);
	}

	private async untilSpeaking(): Promise<void> {
		for (let left = this.silentUntil - performance.now(); left > 0; ) {
			await pause(Math.min(left, silenceCheckMs));
			left = this.silentUntil - performance.now();
		}
	}

	private async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		if (this.resetsReusedConnections && this.usedSockets.has(req.socket)) {
			req.socket.resetAndDestroy();
			return;
		}
		this.usedSockets.add(req.socket);
		if (this.behaviour === engineBehaviours.answersEarly) {
			const id = String(req.headers['slategauge-attempt-id']);
			const signed = {
				'slategauge-attempt-id': id,
				'slategauge-response-signature': `by-${this.id}`,
			};
			res.writeHead(200, signed).end(`early answer to ${req.url}`);
		}
		const chunks: Buffer[] = [];
		for await (const chunk of req) {
			chunks.push(chunk as Buffer);
		}
		const { method = '', url = '', headers } = req;
		const body = Buffer.concat(chunks).toString();
		const wasRejected = this.behaviour === engineBehaviours.rejects;
		const request = {
			method,
			url,
			headers,
			body,
			at: performance.now(),
			wasRejected,
			hasCallerLeft: false,
		};
		const expected = headers['slategauge-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			res.writeHead(421, { 'slategauge-instance-id': this.id, ...this.noticeHeaders }).end();
			return;
		}
		this.receivedRequests.push(request);
		res.on('close', () => {
			request.hasCallerLeft = !res.writableFinished;
		});
		await this.answer(request, res, req.socket);
	}

	private async answer(
		req: ReceivedRequest,
		res: http.ServerResponse,
		socket: Socket,
	): Promise<void> {
		const id = String(req.headers['slategauge-attempt-id']);
		const signed = {
			'slategauge-attempt-id': id,
			'slategauge-response-signature': `by-${this.id}`,
		};
		if (this.crashBody !== undefined && req.body === this.crashBody) {
			await pause(crashDelayMs);
			if (this.crashesSilently) {
				this.behaviour = engineBehaviours.silent;
				this.onCrash?.();
				return;
			}
			this.stop();
			this.onCrash?.();
			return;
		}
		const { errorAnswer } = this;
		if (errorAnswer?.requestBody === req.body && !errorAnswer.wasGiven) {
			errorAnswer.wasGiven = true;
			this.sendError(req, res, signed, errorAnswer);
			return;
		}
		if (this.rawAnswer?.requestBody === req.body) {
			await this.sendRaw(this.rawAnswer, signed, res, socket);
			return;
		}
		if (partsOf(req).some((part) => this.crashParts.includes(part))) {
			await this.crashOnPart(req, res, signed);
			return;
		}
		const { behaviour } = this;
		await this.untilSpeaking();
		switch (behaviour) {
			case engineBehaviours.rejects:
				this.writeHead(req, res, 503, { 'slategauge-not-executed': '1' }).end();
				return;
			case engineBehaviours.unmarked503:
				this.writeHead(req, res, 503, signed).end('busy');
				return;
			case engineBehaviours.unmarked404:
				this.writeHead(req, res, 404, signed).end('unknown');
				return;
			case engineBehaviours.resets:
				socket.resetAndDestroy();
				return;
			case engineBehaviours.wrongAttemptId:
				this.writeHead(req, res, 200, { ...signed, 'slategauge-attempt-id': 'another' }).end(
					'not yours',
				);
				return;
			case engineBehaviours.unsigned:
				this.writeHead(req, res, 200, { 'slategauge-attempt-id': id }).end('whose?');
				return;
			case engineBehaviours.fails:
				this.writeHead(req, res, 500, signed).end('failed');
				return;
			case engineBehaviours.unframed:
			case engineBehaviours.unframedReset:
			case engineBehaviours.unframedImmediateReset:
				await this.sendUnframedAnswer(req, socket, behaviour);
				return;
			case engineBehaviours.unframedStream:
			case engineBehaviours.unframedStreamCut:
			case engineBehaviours.unframedStreamCutInId:
				await this.sendUnframedStream(req, socket);
				return;
			case engineBehaviours.answersTwice:
				if (req.url.startsWith('/stream')) {
					await this.sendAnswer(req, res, signed, socket);
					return;
				}
				this.writeHead(req, res, 200, signed).end(`answer to ${req.body || req.url}`, () => {
					const head = `HTTP/1.1 200 OK\r\nslategauge-attempt-id: ${id}\r\n`;
					socket.write(
						`${head}slategauge-response-signature: again\r\ncontent-length: 5\r\n\r\nagain`,
					);
				});
				return;
			case engineBehaviours.answersEarly:
			case engineBehaviours.silent:
				return;
			default:
				await this.sendAnswer(req, res, signed, socket);
		}
	}

	private sendError(
		req: ReceivedRequest,
		res: http.ServerResponse,
		signed: Record<string, string>,
		{ status, bytes, framing }: ErrorAnswer,
	): void {
		const body = errorBody(req.body, bytes);
		if (framing === framings.unframed) {
			const head = Object.entries(signed).map((header) => header.join(': '));
			res.socket?.end(
				`HTTP/1.1 ${status} Error\r\n${head.join('\r\n')}\r\nconnection: close\r\n\r\n${body}`,
			);
			return;
		}
		const length = framing === framings.length ? { 'content-length': body.length } : undefined;
		this.writeHead(req, res, status, { ...signed, ...length });
		res.write(body.slice(0, bytes / 2));
		res.end(body.slice(bytes / 2));
	}

	private async sendRaw(
		{ text, pauseMs, connection }: RawEngineAnswer,
		signed: Record<string, string>,
		res: http.ServerResponse,
		socket: Socket,
	): Promise<void> {
		const lines = Object.entries(signed).map((header) => header.join(': '));
		const bytes = text.replace('SIGNED', lines.join('\r\n'));
		const middle = pauseMs === undefined ? bytes.length : bytes.length / 2;
		socket.write(bytes.slice(0, middle));
		if (pauseMs !== undefined) {
			await pause(pauseMs);
			socket.write(bytes.slice(middle));
		}
		if (connection === 'close') {
			socket.end();
		} else if (connection === 'reset') {
			await pause(rawResetDelayMs);
			socket.resetAndDestroy();
		} else {
			// The response, of which nothing was sent, makes way for the next one on the connection.
			res.emit('finish');
		}
	}

	private async crashOnPart(
		req: ReceivedRequest,
		res: http.ServerResponse,
		signed: Record<string, string>,
	): Promise<void> {
		// Every other crash comes before any byte of the answer.
		if (req.url.startsWith('/stream') && this.receivedRequests.length % 2 === 0) {
			this.writeHead(req, res, 200, { ...signed, 'content-type': 'text/event-stream' });
			res.write(formatEvent(Number(req.headers['last-event-id'] ?? 0) + 1, req.body));
		}
		await pause(crashDelayMs + (this.receivedRequests.length % 4) * crashDelayStepMs);
		if (this.restartsAtOnce) {
			this.server.closeAllConnections();
			this.onCrash?.();
		} else if (this.server.listening) {
			this.stop();
			this.onCrash?.();
		}
	}

	/** Writes the head of an answer with the engine notice and records the notice. */
	private writeHead(
		req: ReceivedRequest,
		res: http.ServerResponse,
		status: number,
		headers: http.OutgoingHttpHeaders,
	): http.ServerResponse {
		const backOffS = status === 503 ? this.backOffS : undefined;
		const retryAfter = backOffS === undefined ? {} : { 'retry-after': String(backOffS) };
		req.notice = {
			at: performance.now(),
			isDraining: this.isDraining,
			backOffMs: (backOffS ?? 0) * 1000,
			limitPerS: this.limitPerS,
		};
		return res.writeHead(status, { ...headers, ...this.noticeHeaders, ...retryAfter });
	}

	/** Headers of the engine notice that all answers carry. */
	private get noticeHeaders(): Record<string, string> {
		const draining = this.isDraining ? { 'server-leaving': '1' } : undefined;
		const limit =
			this.limitPerS === undefined ? undefined : { 'server-limit': String(this.limitPerS) };
		return { ...draining, ...limit };
	}

	/** Writes the head of an answer without a length and records the notice. */
	private writeUnframedHead(req: ReceivedRequest, socket: Socket): void {
		const { isDraining, limitPerS, noticeHeaders } = this;
		req.notice = { at: performance.now(), isDraining, backOffMs: 0, limitPerS };
		const head = [
			'HTTP/1.1 200 OK',
			`slategauge-attempt-id: ${req.headers['slategauge-attempt-id']}`,
			`slategauge-response-signature: by-${this.id}`,
			'connection: close',
			...(req.url.startsWith('/stream') ? ['content-type: text/event-stream'] : []),
			...Object.entries(noticeHeaders).map((header) => header.join(': ')),
		];
		socket.write(`${head.join('\r\n')}\r\n\r\n`);
	}

	private async sendUnframedStream(req: ReceivedRequest, socket: Socket): Promise<void> {
		this.writeUnframedHead(req, socket);
		const first = Number(req.headers['last-event-id'] ?? 0) + 1;
		for (let event = first; event <= streamEventCount; event++) {
			if (event === 4 && this.behaviour !== engineBehaviours.unframedStream) {
				const isInId = this.behaviour === engineBehaviours.unframedStreamCutInId;
				socket.end(isInId ? 'id:' : `id: ${event}\ndata: tok`);
				return;
			}
			socket.write(formatEvent(event, req.body));
			await pause(this.eventIntervalMs);
		}
		socket.end();
	}

	private async sendUnframedAnswer(
		req: ReceivedRequest,
		socket: Socket,
		behaviour: EngineBehaviour,
	): Promise<void> {
		this.writeUnframedHead(req, socket);
		socket.write('half');
		if (behaviour === engineBehaviours.unframedImmediateReset) {
			socket.resetAndDestroy();
			return;
		}
		await pause(100);
		if (behaviour === engineBehaviours.unframedReset) {
			socket.resetAndDestroy();
		} else {
			socket.end(' and half');
		}
	}

	private async sendAnswer(
		req: ReceivedRequest,
		res: http.ServerResponse,
		signed: Record<string, string>,
		socket: Socket,
	): Promise<void> {
		if (!req.url.startsWith('/stream')) {
			await pause(this.answerDelayMs);
			await this.untilSpeaking();
			this.writeHead(req, res, 200, signed).end(`answer to ${req.body || req.url}`);
			return;
		}
		this.writeHead(req, res, 200, { ...signed, 'content-type': 'text/event-stream' });
		const first = Number(req.headers['last-event-id'] ?? 0) + 1;
		for (let event = first; event <= streamEventCount; event++) {
			if (this.behaviour === engineBehaviours.resetsMidStream && event === 4) {
				res.write(`id: ${event}\ndata: tok`);
				await pause(this.eventIntervalMs);
				socket.resetAndDestroy();
				return;
			}
			await this.untilSpeaking();
			res.write(formatEvent(event, req.body));
			await pause(this.eventIntervalMs);
		}
		await this.untilSpeaking();
		res.end();
	}
}

/** Ids of the parts of the prompt but the last. */
export function partsOf({ headers }: ReceivedRequest): string[] {
	const parts = String(headers['slategauge-prefix-hash'] ?? '').split(',');
	return parts.slice(0, -1).map((part) => part.split(':')[0] ?? '');
}

/** Formats an event of a streamed answer, with the request body if there is one. */
export function formatEvent(event: number, body = ''): string {
	const suffix = body === '' ? '' : ` of ${body}`;
	return `id: ${event}\ndata: token ${event}${suffix}\n\n`;
}

/** Body of an error answer. */
export function errorBody(requestBody: string, bytes: number): string {
	return `no ${requestBody} `.repeat(bytes).slice(0, bytes);
}

/** Complete body of a streamed answer. */
export function wholeStream(body = ''): string {
	const events = Array.from({ length: streamEventCount }, (_, index) =>
		formatEvent(index + 1, body),
	);
	return events.join('');
}

function pause(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}
