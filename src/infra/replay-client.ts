/**
 * Sends the requests of a trace to daemons at the times it gives and checks each answer.
 * @module
 */
import * as crypto from 'node:crypto';
import * as eventsource from 'eventsource-parser';
import * as undici from 'undici';
import type { ReplayResult, TraceRequest } from '../core/replay/types.js';

export interface ReplayOptions {
	/** Base URLs of daemons, used round-robin. */
	daemonUrls: string[];
	/** API key by customer. */
	keys: ReadonlyMap<string, string>;
	/** Called after each result. */
	onResult?: (result: ReplayResult, done: number, total: number) => void;
	/** Timeout of each request, and of each wait for its headers or body. */
	timeoutMs: number;
}

/** State of an answer while it is read. */
interface AnswerProgress {
	text: string;
	tokens: number;
	firstTokenAt: number;
	lastTokenAt: number;
	outcome: string;
	error?: string;
	hasEnded: boolean;
}

export class ReplayClient {
	private readonly agent = new undici.Agent({ connections: 2048, pipelining: 1 });
	private nextDaemonIndex = 0;

	constructor(private readonly opts: ReplayOptions) {}

	/** Sends all requests and resolves when each has a result; closes the connections. */
	async replay(trace: readonly TraceRequest[]): Promise<ReplayResult[]> {
		const start = performance.now();
		const results: ReplayResult[] = [];
		const pending = trace.map(async (item) => {
			await waitUntil(start + item.at_ms);
			const result = await this.send(item);
			results.push(result);
			this.opts.onResult?.(result, results.length, trace.length);
		});
		await Promise.all(pending);
		await this.agent.destroy();
		return results;
	}

	private async send(item: TraceRequest): Promise<ReplayResult> {
		const sentAt = Date.now();
		const startedAt = performance.now();
		const progress: AnswerProgress = {
			text: '',
			tokens: 0,
			firstTokenAt: 0,
			lastTokenAt: 0,
			outcome: '',
			hasEnded: false,
		};
		let status = 0;
		let headers: Record<string, string | string[] | undefined> = {};
		try {
			const res = await this.sendWithFailover(item);
			status = res.statusCode;
			headers = res.headers;
			await readAnswer(item, res, progress);
		} catch (err) {
			progress.error ??= (err as Error).message;
		}
		return evaluateAnswer(item, progress, { sentAt, startedAt, status, headers });
	}

	/** Behaves like a load balancer: skips daemons that refuse connections. */
	private async sendWithFailover(item: TraceRequest): Promise<undici.Dispatcher.ResponseData> {
		for (let attempts = 1; ; attempts++) {
			const daemon =
				this.opts.daemonUrls[this.nextDaemonIndex++ % this.opts.daemonUrls.length] ?? '';
			try {
				return await this.request(daemon, item);
			} catch (err) {
				const refused = (err as { code?: string }).code === 'ECONNREFUSED';
				if (!refused || attempts >= this.opts.daemonUrls.length) {
					throw err;
				}
			}
		}
	}

	private request(daemon: string, item: TraceRequest): Promise<undici.Dispatcher.ResponseData> {
		const headers: Record<string, string> = {
			authorization: `Bearer ${this.opts.keys.get(item.customer) ?? ''}`,
			'content-type': 'application/json',
			'x-slategauge-class': item.class,
		};
		if (item.key !== undefined) {
			headers['idempotency-key'] = item.key;
		}
		return undici.request(`${daemon}${buildPath(item)}`, {
			method: 'POST',
			headers,
			body: buildBody(item),
			dispatcher: this.agent,
			signal: AbortSignal.timeout(this.opts.timeoutMs),
			headersTimeout: this.opts.timeoutMs,
			bodyTimeout: this.opts.timeoutMs,
		});
	}
}

interface SentRequest {
	sentAt: number;
	startedAt: number;
	status: number;
	headers: Record<string, string | string[] | undefined>;
}

function evaluateAnswer(
	item: TraceRequest,
	progress: AnswerProgress,
	sent: SentRequest,
): ReplayResult {
	const header = String(sent.headers['x-slategauge-outcome'] ?? '');
	const outcome = progress.outcome || header || (progress.hasEnded ? 'complete' : 'incomplete');
	const hash = crypto.createHash('sha256').update(progress.text).digest('hex');
	const wrongText = item.answer_sha256 !== undefined && hash !== item.answer_sha256;
	const wrongOutcome = !item.outcomes.includes(outcome);
	const retryAfter = sent.headers['retry-after'];
	const gaps = Math.max(progress.tokens - 1, 1);
	return {
		id: item.id,
		request: String(sent.headers['x-slategauge-request-id'] ?? ''),
		class: item.class,
		customer: item.customer,
		sentAt: sent.sentAt,
		outcome,
		status: sent.status,
		error: progress.error,
		streamed: item.stream,
		wrong: wrongOutcome || (outcome === 'complete' && (wrongText || sent.status >= 400)),
		tokens: progress.tokens,
		firstTokenMs: progress.firstTokenAt > 0 ? progress.firstTokenAt - sent.startedAt : 0,
		betweenMs: progress.tokens > 1 ? (progress.lastTokenAt - progress.firstTokenAt) / gaps : 0,
		totalMs: performance.now() - sent.startedAt,
		retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter),
	};
}

async function readAnswer(
	item: TraceRequest,
	res: undici.Dispatcher.ResponseData,
	progress: AnswerProgress,
): Promise<void> {
	const type = String(res.headers['content-type'] ?? '');
	if (type.startsWith('text/event-stream')) {
		await readStream(item, res, progress);
		return;
	}
	const text = await res.body.text();
	progress.hasEnded = true;
	const json = parseJson(text);
	if (res.statusCode >= 400) {
		progress.error = json?.error?.message ?? text;
		return;
	}
	progress.firstTokenAt = performance.now();
	progress.lastTokenAt = progress.firstTokenAt;
	progress.text = extractText(item, json, text);
	progress.tokens = json?.usage?.completion_tokens ?? 0;
}

async function readStream(
	item: TraceRequest,
	res: undici.Dispatcher.ResponseData,
	progress: AnswerProgress,
): Promise<void> {
	const decoder = new TextDecoder();
	const parser = eventsource.createParser({ onEvent: (event) => readEvent(item, event, progress) });
	for await (const chunk of res.body) {
		parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
	}
}

function readEvent(
	item: TraceRequest,
	event: eventsource.EventSourceMessage,
	progress: AnswerProgress,
): void {
	if (event.data === '[DONE]') {
		progress.hasEnded = true;
		progress.outcome = 'complete';
		return;
	}
	const json = parseJson(event.data);
	if (json?.error) {
		progress.error = json.error.message;
		progress.outcome = json.error.outcome ?? 'incomplete';
		return;
	}
	const text = extractText(item, json, '');
	if (text !== '') {
		progress.lastTokenAt = performance.now();
		progress.firstTokenAt ||= progress.lastTokenAt;
		progress.tokens++;
		progress.text += text;
	}
}

/** Fields of an answer that are checked. */
interface AnswerJson {
	error?: { message?: string; outcome?: string };
	usage?: { completion_tokens?: number };
	choices?: { text?: string; delta?: { content?: string }; message?: { content?: string } }[];
}

function parseJson(text: string): AnswerJson | undefined {
	try {
		return JSON.parse(text) as AnswerJson;
	} catch {
		return undefined;
	}
}

function extractText(item: TraceRequest, json: AnswerJson | undefined, raw: string): string {
	if (item.kind === 'service') {
		return raw;
	}
	const choice = json?.choices?.[0];
	return choice?.message?.content ?? choice?.delta?.content ?? choice?.text ?? '';
}

function buildPath(item: TraceRequest): string {
	if (item.kind === 'service') {
		return `/services/${item.target}/`;
	}
	return item.kind === 'chat' ? '/v1/chat/completions' : '/v1/completions';
}

function buildBody(item: TraceRequest): string {
	if (item.kind === 'service') {
		return item.prompt;
	}
	const commonFields = { model: item.target, stream: item.stream };
	if (item.kind === 'completion') {
		return JSON.stringify({ ...commonFields, prompt: item.prompt });
	}
	const system = item.system === '' ? [] : [{ role: 'system', content: item.system }];
	return JSON.stringify({
		...commonFields,
		messages: [...system, { role: 'user', content: item.prompt }],
	});
}

async function waitUntil(at: number): Promise<void> {
	const remainingMs = at - performance.now();
	if (remainingMs > 0) {
		await new Promise((done) => setTimeout(done, remainingMs));
	}
}
