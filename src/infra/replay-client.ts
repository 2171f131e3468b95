/**
 * Sends a trace's requests at their times and judges each answer.
 * @module
 */
import * as crypto from 'node:crypto';
import * as eventsource from 'eventsource-parser';
import * as undici from 'undici';
import type { ReplayResult, TraceRequest } from '../core/replay/types.js';

export interface ReplayOptions {
	/** Base URLs of daemons, used in turn. */
	daemonUrls: string[];
	/** Bearer key of each customer. */
	keys: ReadonlyMap<string, string>;
	/** Called after each result. */
	onResult?: (result: ReplayResult, done: number, total: number) => void;
	/** Nothing is waited for longer, in milliseconds. */
	timeoutMs: number;
}

interface Reading {
	text: string;
	tokens: number;
	firstAt: number;
	lastAt: number;
	outcome: string;
	error?: string;
	ended: boolean;
}

export class ReplayClient {
	private readonly agent = new undici.Agent({ connections: 2048, pipelining: 1 });
	private turn = 0;

	constructor(private readonly opts: ReplayOptions) {}

	/** Resolves when every request has its result. */
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
		const began = performance.now();
		const reading: Reading = {
			text: '',
			tokens: 0,
			firstAt: 0,
			lastAt: 0,
			outcome: '',
			ended: false,
		};
		let status = 0;
		let headers: Record<string, string | string[] | undefined> = {};
		try {
			const res = await this.balance(item);
			status = res.statusCode;
			headers = res.headers;
			await readAnswer(item, res, reading);
		} catch (err) {
			reading.error ??= (err as Error).message;
		}
		return judge(item, reading, { sentAt, began, status, headers });
	}

	/** As a balancer does: a daemon that cannot be reached is passed over. */
	private async balance(item: TraceRequest): Promise<undici.Dispatcher.ResponseData> {
		for (let tries = 1; ; tries++) {
			const daemon = this.opts.daemonUrls[this.turn++ % this.opts.daemonUrls.length] ?? '';
			try {
				return await this.request(daemon, item);
			} catch (err) {
				const refused = (err as { code?: string }).code === 'ECONNREFUSED';
				if (!refused || tries >= this.opts.daemonUrls.length) {
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
		return undici.request(`${daemon}${pathOf(item)}`, {
			method: 'POST',
			headers,
			body: bodyOf(item),
			dispatcher: this.agent,
			signal: AbortSignal.timeout(this.opts.timeoutMs),
			headersTimeout: this.opts.timeoutMs,
			bodyTimeout: this.opts.timeoutMs,
		});
	}
}

interface Sent {
	sentAt: number;
	began: number;
	status: number;
	headers: Record<string, string | string[] | undefined>;
}

function judge(item: TraceRequest, reading: Reading, sent: Sent): ReplayResult {
	const header = String(sent.headers['x-slategauge-outcome'] ?? '');
	const outcome = reading.outcome || header || (reading.ended ? 'complete' : 'incomplete');
	const hash = crypto.createHash('sha256').update(reading.text).digest('hex');
	const wrongText = item.answer_sha256 !== undefined && hash !== item.answer_sha256;
	const wrongOutcome = !item.outcomes.includes(outcome);
	const retryAfter = sent.headers['retry-after'];
	const gaps = Math.max(reading.tokens - 1, 1);
	return {
		id: item.id,
		request: String(sent.headers['x-slategauge-request-id'] ?? ''),
		class: item.class,
		customer: item.customer,
		sentAt: sent.sentAt,
		outcome,
		status: sent.status,
		error: reading.error,
		streamed: item.stream,
		wrong: wrongOutcome || (outcome === 'complete' && (wrongText || sent.status >= 400)),
		tokens: reading.tokens,
		firstTokenMs: reading.firstAt > 0 ? reading.firstAt - sent.began : 0,
		betweenMs: reading.tokens > 1 ? (reading.lastAt - reading.firstAt) / gaps : 0,
		totalMs: performance.now() - sent.began,
		retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter),
	};
}

async function readAnswer(
	item: TraceRequest,
	res: undici.Dispatcher.ResponseData,
	reading: Reading,
): Promise<void> {
	const type = String(res.headers['content-type'] ?? '');
	if (type.startsWith('text/event-stream')) {
		await readStream(item, res, reading);
		return;
	}
	const text = await res.body.text();
	reading.ended = true;
	const json = parseJson(text);
	if (res.statusCode >= 400) {
		reading.error = json?.error?.message ?? text;
		return;
	}
	reading.firstAt = performance.now();
	reading.lastAt = reading.firstAt;
	reading.text = textOf(item, json, text);
	reading.tokens = json?.usage?.completion_tokens ?? 0;
}

async function readStream(
	item: TraceRequest,
	res: undici.Dispatcher.ResponseData,
	reading: Reading,
): Promise<void> {
	const decoder = new TextDecoder();
	const parser = eventsource.createParser({ onEvent: (event) => readEvent(item, event, reading) });
	for await (const chunk of res.body) {
		parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
	}
}

function readEvent(
	item: TraceRequest,
	event: eventsource.EventSourceMessage,
	reading: Reading,
): void {
	if (event.data === '[DONE]') {
		reading.ended = true;
		reading.outcome = 'complete';
		return;
	}
	const json = parseJson(event.data);
	if (json?.error) {
		reading.error = json.error.message;
		reading.outcome = json.error.outcome ?? 'incomplete';
		return;
	}
	const text = textOf(item, json, '');
	if (text !== '') {
		reading.lastAt = performance.now();
		reading.firstAt ||= reading.lastAt;
		reading.tokens++;
		reading.text += text;
	}
}

/** The parts of an answer that are read. */
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

function textOf(item: TraceRequest, json: AnswerJson | undefined, raw: string): string {
	if (item.kind === 'service') {
		return raw;
	}
	const choice = json?.choices?.[0];
	return choice?.message?.content ?? choice?.delta?.content ?? choice?.text ?? '';
}

function pathOf(item: TraceRequest): string {
	if (item.kind === 'service') {
		return `/services/${item.target}/`;
	}
	return item.kind === 'chat' ? '/v1/chat/completions' : '/v1/completions';
}

function bodyOf(item: TraceRequest): string {
	if (item.kind === 'service') {
		return item.prompt;
	}
	const shared = { model: item.target, stream: item.stream };
	if (item.kind === 'completion') {
		return JSON.stringify({ ...shared, prompt: item.prompt });
	}
	const system = item.system === '' ? [] : [{ role: 'system', content: item.system }];
	return JSON.stringify({
		...shared,
		messages: [...system, { role: 'user', content: item.prompt }],
	});
}

async function waitUntil(at: number): Promise<void> {
	const wait = at - performance.now();
	if (wait > 0) {
		await new Promise((done) => setTimeout(done, wait));
	}
}
