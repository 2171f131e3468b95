/**
 * Stand-in of an engine behind the relay: answers by a named behaviour and remembers what ran.
 * @module
 */
import * as http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** What the engine does with requests. */
export const engineBehaviours = {
	healthy: 'well',
	/** 503 with the header that says that it did not run. */
	rejects: 'rejects',
	/** 503 without that header. */
	unmarked503: 'bare-503',
	/** Ends the connection before any answer. */
	resets: 'resets',
	/** Sends three events and half of the fourth, then resets. */
	resetsMidStream: 'breaks-off',
	/** Answers with the id of another request. */
	wrongAttemptId: 'mixes-up',
	/** A success without its signature. */
	unsigned: 'unsigned',
	/** An answer without a length that is reset on the way. */
	unframedReset: 'unframed-reset',
	/** The same, with the reset right behind the bytes. */
	unframedImmediateReset: 'unframed-reset-at-once',
	/** An answer without a length that ends with its connection. */
	unframed: 'unframed',
	/** Its own failure. */
	fails: 'fails',
	/** Sends a second whole answer behind the first. */
	answersTwice: 'answers-twice',
	/** Answers before it has read the body, keeps the connection and reads on. */
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
	/** Monotonic milliseconds at which it began. */
	at: number;
	/** It was refused with the word that it did not run. */
	wasRejected: boolean;
	/** The caller's side went away before the answer ended. */
	hasCallerLeft: boolean;
	/** What the head of its answer said of the engine, once that was sent. */
	notice?: EngineNotice;
}

/** What an engine said of itself in the head of an answer. */
export interface EngineNotice {
	/** Monotonic milliseconds. */
	at: number;
	isDraining: boolean;
	/** It wants no request for so long, in milliseconds; 0 when it did not say so. */
	backOffMs: number;
	/** Requests a second that it takes from all VMs together, if it named that. */
	limitPerS?: number;
}

/** From the begin of a request that crashes its engine to the end of the engine, in milliseconds. */
const crashMs = 30;

/** Events of every streamed answer. */
export const streamEventCount = 8;

export class PlatformEngineStandIn {
	readonly receivedRequests: ReceivedRequest[] = [];
	behaviour: EngineBehaviour = engineBehaviours.healthy;
	/** Between two events, in milliseconds. */
	eventIntervalMs = 5;
	/** Before a whole answer, in milliseconds. */
	answerDelayMs = 0;
	/** A request with this body ends the engine soon after it has begun to run. */
	crashBody?: string;
	/** All its answers say that it leaves. */
	isDraining = false;
	/** A 503 asks for so many seconds of rest. */
	backOffS?: number;
	/** All its answers name this limit of requests a second. */
	limitPerS?: number;
	/** It forgets connections that were used once: the next request there is reset. */
	resetsReusedConnections = false;
	/** It resets new connections, as an engine that has too many. */
	resetsNewConnections = false;
	/** Connections that it has answered on. */
	private readonly used = new WeakSet<Socket>();
	onCrash?: () => void;
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

	private async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		if (this.resetsReusedConnections && this.used.has(req.socket)) {
			req.socket.resetAndDestroy();
			return;
		}
		this.used.add(req.socket);
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
		const rejected = this.behaviour === engineBehaviours.rejects;
		const request = { method, url, headers, body, at: performance.now(), rejected, left: false };
		const expected = headers['slategauge-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			res.writeHead(421, { 'slategauge-instance-id': this.id, ...this.wordsHead }).end();
			return;
		}
		this.receivedRequests.push(request);
		res.on('close', () => {
			request.left = !res.writableFinished;
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
			await pause(crashMs);
			this.stop();
			this.onCrash?.();
			return;
		}
		switch (this.behaviour) {
			case engineBehaviours.rejects:
				this.head(req, res, 503, { 'slategauge-not-executed': '1' }).end();
				return;
			case engineBehaviours.unmarked503:
				this.head(req, res, 503, signed).end('busy');
				return;
			case engineBehaviours.resets:
				socket.resetAndDestroy();
				return;
			case engineBehaviours.wrongAttemptId:
				this.head(req, res, 200, { ...signed, 'slategauge-attempt-id': 'another' }).end(
					'not yours',
				);
				return;
			case engineBehaviours.unsigned:
				this.head(req, res, 200, { 'slategauge-attempt-id': id }).end('whose?');
				return;
			case engineBehaviours.fails:
				this.head(req, res, 500, signed).end('failed');
				return;
			case engineBehaviours.unframed:
			case engineBehaviours.unframedReset:
			case engineBehaviours.unframedImmediateReset:
				await this.answerUnframed(req, socket);
				return;
			case engineBehaviours.answersTwice:
				if (req.url.startsWith('/stream')) {
					await this.serve(req, res, signed, socket);
					return;
				}
				this.head(req, res, 200, signed).end(`answer to ${req.body || req.url}`, () => {
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
				await this.serve(req, res, signed, socket);
		}
	}

	/** Begins an answer, with what the engine says of itself. */
	private head(
		req: ReceivedRequest,
		res: http.ServerResponse,
		status: number,
		headers: http.OutgoingHttpHeaders,
	): http.ServerResponse {
		const restS = status === 503 ? this.backOffS : undefined;
		const rest = restS === undefined ? {} : { 'retry-after': String(restS) };
		req.notice = {
			at: performance.now(),
			isDraining: this.isDraining,
			backOffMs: (restS ?? 0) * 1000,
			limitPerS: this.limitPerS,
		};
		return res.writeHead(status, { ...headers, ...this.wordsHead, ...rest });
	}

	/** What all its answers say of it. */
	private get wordsHead(): Record<string, string> {
		const leaving = this.isDraining ? { 'server-leaving': '1' } : undefined;
		const limit =
			this.limitPerS === undefined ? undefined : { 'server-limit': String(this.limitPerS) };
		return { ...leaving, ...limit };
	}

	private async answerUnframed(req: ReceivedRequest, socket: Socket): Promise<void> {
		const { behaviour, isDraining: isLeaving, limitPerS, wordsHead } = this;
		req.notice = { at: performance.now(), isDraining: isLeaving, backOffMs: 0, limitPerS };
		const head = [
			'HTTP/1.1 200 OK',
			`slategauge-attempt-id: ${req.headers['slategauge-attempt-id']}`,
			`slategauge-response-signature: by-${this.id}`,
			'connection: close',
			...Object.entries(wordsHead).map((header) => header.join(': ')),
		];
		socket.write(`${head.join('\r\n')}\r\n\r\nhalf`);
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

	private async serve(
		req: ReceivedRequest,
		res: http.ServerResponse,
		signed: Record<string, string>,
		socket: Socket,
	): Promise<void> {
		if (!req.url.startsWith('/stream')) {
			await pause(this.answerDelayMs);
			this.head(req, res, 200, signed).end(`answer to ${req.body || req.url}`);
			return;
		}
		this.head(req, res, 200, { ...signed, 'content-type': 'text/event-stream' });
		const first = Number(req.headers['last-event-id'] ?? 0) + 1;
		for (let event = first; event <= streamEventCount; event++) {
			if (this.behaviour === engineBehaviours.resetsMidStream && event === 4) {
				res.write(`id: ${event}\ndata: tok`);
				await pause(this.eventIntervalMs);
				socket.resetAndDestroy();
				return;
			}
			res.write(formatEvent(event, req.body));
			await pause(this.eventIntervalMs);
		}
		res.end();
	}
}

/** An event of a streamed answer; it names the body of its request, if that has one. */
export function formatEvent(event: number, body = ''): string {
	const of = body === '' ? '' : ` of ${body}`;
	return `id: ${event}\ndata: token ${event}${of}\n\n`;
}

/** The whole body of a streamed answer. */
export function wholeStream(body = ''): string {
	const events = Array.from({ length: streamEventCount }, (_, at) => formatEvent(at + 1, body));
	return events.join('');
}

function pause(ms: number): Promise<void> {
	return new Promise((done) => setTimeout(done, ms));
}
