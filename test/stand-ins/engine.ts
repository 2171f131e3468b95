/**
 * Stand-in for a model engine over HTTP, with continuous batching, a bounded prefix cache,
 * priorities, delayed load reports, stream resumption, fenced orders and injectable faults.
 * @module
 */
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { answerTokenCount, textSeed, tokenText } from './engine-text.js';

export interface EngineOptions {
	models: string[];
	/** Duration of a step with an empty batch. */
	stepBaseMs: number;
	/** Duration that each running request adds to a step. */
	stepMsPerRequest: number;
	/** Maximum batch size; further requests wait, lowest priority value first. */
	maxBatch: number;
	/** Prompt characters prefilled per millisecond. */
	prefillCharsPerMs: number;
	/** Age of the load that the engine reports. */
	reportLagMs: number;
	/** Maximum number of prefixes in the cache; the least recently used one is evicted. */
	maxCachedPrefixes: number;
	/** Whether orders with an outdated fencing token are refused. */
	checksFencing: boolean;
}

export const defaultEngineOptions: EngineOptions = {
	models: ['station-1'],
	stepBaseMs: 8,
	stepMsPerRequest: 0.5,
	maxBatch: 64,
	prefillCharsPerMs: 200,
	reportLagMs: 1000,
	maxCachedPrefixes: 32,
	checksFencing: true,
};

/** Counters of the engine, served at GET /stats. */
export interface EngineStats {
	/** Tokens generated. */
	generated: number;
	/** Number of runs by request id. */
	runs: Record<string, number>;
	/** Requests refused because of the faults `leaving` and `refusing`. */
	refused: number;
	cacheHits: number;
	cacheMisses: number;
	/** Maximum batch size reached. */
	peakBatch: number;
}

interface Sequence {
	id: string;
	priority: number;
	seed: number;
	nextTokenIndex: number;
	answerTokens: number;
	model: string;
	isChat: boolean;
	includesUsage: boolean;
	uncachedPromptChars: number;
	/** Time at which the prompt is prefilled. */
	prefillDoneAt: number;
	res: http.ServerResponse;
}

/** Injected faults, set by POST /control. */
interface Faults {
	/** Factor on the duration of steps and prefill. */
	slowFactor: number;
	/** Generates nothing while connections stay open. */
	stalled: boolean;
	/** Cuts all streams after this many more tokens in total; 0 disables. */
	cutAfterTokens: number;
	/** Ends the streams normally, though incomplete, instead of resetting them. */
	endsCleanly: boolean;
	/** Refuses new requests and reports that the engine drains. */
	leaving: boolean;
	/** Refuses new requests with 503. */
	refusing: boolean;
}

/** Length of the prompt prefix that is cached. */
const prefixChars = 256;

export class Engine {
	readonly server: http.Server;
	readonly stats: EngineStats = {
		generated: 0,
		runs: {},
		refused: 0,
		cacheHits: 0,
		cacheMisses: 0,
		peakBatch: 0,
	};
	private readonly faults: Faults = {
		slowFactor: 1,
		stalled: false,
		cutAfterTokens: 0,
		endsCleanly: false,
		leaving: false,
		refusing: false,
	};
	private batch: Sequence[] = [];
	private waiting: Sequence[] = [];
	private readonly cachedPrefixes = new Map<string, true>();
	private loadHistory: { at: number; running: number; waiting: number }[] = [];
	private fencingToken = 0;
	private isStepScheduled = false;

	constructor(private readonly opts: EngineOptions) {
		this.server = http.createServer((req, res) => void this.handle(req, res));
	}

	async listen(port = 0): Promise<number> {
		await new Promise<void>((done) => this.server.listen(port, '127.0.0.1', done));
		const timer = setInterval(() => this.recordLoad(), 100);
		timer.unref();
		return (this.server.address() as AddressInfo).port;
	}

	private async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const chunks: Buffer[] = [];
		for await (const chunk of req) {
			chunks.push(chunk as Buffer);
		}
		const text = Buffer.concat(chunks).toString('utf8');
		if (req.url === '/load') {
			sendJson(res, 200, this.delayedLoadReport());
		} else if (req.url === '/stats') {
			sendJson(res, 200, this.stats);
		} else if (req.url === '/control') {
			Object.assign(this.faults, JSON.parse(text));
			this.scheduleStep();
			sendJson(res, 200, this.faults);
		} else if (req.url === '/orders') {
			this.applyOrder(JSON.parse(text), res);
		} else if (req.url?.startsWith('/v1/')) {
			this.generate(req, res, JSON.parse(text));
		} else {
			sendJson(res, 404, { error: { message: 'no such path' } });
		}
	}

	private applyOrder(
		order: { kind: string; fencingToken: number },
		res: http.ServerResponse,
	): void {
		if (this.opts.checksFencing && order.fencingToken < this.fencingToken) {
			sendJson(res, 409, { newest: this.fencingToken });
			return;
		}
		this.fencingToken = order.fencingToken;
		if (order.kind === 'drain' || order.kind === 'undrain') {
			this.faults.leaving = order.kind === 'drain';
		}
		sendJson(res, 200, { accepted: order.kind });
	}

	private generate(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		body: Record<string, unknown>,
	): void {
		const model = String(body.model);
		if (this.faults.refusing || this.faults.leaving) {
			this.stats.refused++;
			sendJson(res, 503, { error: { message: 'taking no work' } });
			return;
		}
		if (!this.opts.models.includes(model)) {
			sendJson(res, 404, { error: { message: `no model ${model}`, type: 'NotFound' } });
			return;
		}
		const id = String(req.headers['x-request-id'] ?? 'none');
		this.stats.runs[id] = (this.stats.runs[id] ?? 0) + 1;
		const sequence = this.createSequence(id, req, res, body);
		res.writeHead(200, { 'content-type': 'text/event-stream' });
		res.flushHeaders();
		res.on('close', () => this.removeSequence(sequence));
		this.waiting.push(sequence);
		this.waiting.sort((a, b) => a.priority - b.priority);
		this.scheduleStep();
	}

	private createSequence(
		id: string,
		req: http.IncomingMessage,
		res: http.ServerResponse,
		body: Record<string, unknown>,
	): Sequence {
		const isChat = req.url === '/v1/chat/completions';
		const messages = (body.messages ?? []) as { content: string }[];
		const parts = isChat ? messages.map((message) => message.content) : [String(body.prompt)];
		const prompt = parts.join('\n');
		const options = (body.stream_options ?? {}) as { include_usage?: boolean };
		return {
			id,
			priority: Number(req.headers['x-priority'] ?? 0),
			seed: textSeed(parts.at(-1) ?? ''),
			nextTokenIndex: Number(req.headers['last-event-id'] ?? 0),
			answerTokens: answerTokenCount(parts.at(-1) ?? ''),
			model: String(body.model),
			isChat,
			includesUsage: options.include_usage === true,
			uncachedPromptChars: prompt.length - this.lookUpPrefix(prompt),
			prefillDoneAt: 0,
			res,
		};
	}

	/**
	 * Looks up the prompt's prefix in the cache and adds it.
	 * @returns Number of cached characters
	 */
	private lookUpPrefix(prompt: string): number {
		const prefix = prompt.slice(0, prefixChars);
		const isHit = this.cachedPrefixes.delete(prefix);
		this.cachedPrefixes.set(prefix, true);
		if (this.cachedPrefixes.size > this.opts.maxCachedPrefixes) {
			const oldest = this.cachedPrefixes.keys().next().value;
			this.cachedPrefixes.delete(oldest ?? '');
		}
		this.stats.cacheHits += isHit ? 1 : 0;
		this.stats.cacheMisses += isHit ? 0 : 1;
		return isHit ? Math.min(prefixChars, prompt.length) : 0;
	}

	private scheduleStep(): void {
		if (this.isStepScheduled || this.faults.stalled) {
			return;
		}
		this.fillBatch();
		if (this.batch.length === 0) {
			return;
		}
		this.isStepScheduled = true;
		const batchMs = this.opts.stepMsPerRequest * this.batch.length;
		const stepMs = (this.opts.stepBaseMs + batchMs) * this.faults.slowFactor;
		setTimeout(() => {
			this.isStepScheduled = false;
			this.emitTokens();
			this.scheduleStep();
		}, stepMs);
	}

	private fillBatch(): void {
		while (this.batch.length < this.opts.maxBatch && this.waiting.length > 0) {
			const next = this.waiting.shift() as Sequence;
			const prefillMs =
				(next.uncachedPromptChars / this.opts.prefillCharsPerMs) * this.faults.slowFactor;
			next.prefillDoneAt = performance.now() + prefillMs;
			this.batch.push(next);
		}
		this.stats.peakBatch = Math.max(this.stats.peakBatch, this.batch.length);
	}

	private emitTokens(): void {
		const now = performance.now();
		for (const sequence of [...this.batch]) {
			if (
				sequence.prefillDoneAt <= now &&
				!sequence.res.writableEnded &&
				!sequence.res.writableNeedDrain
			) {
				this.emitToken(sequence);
			}
		}
	}

	private emitToken(sequence: Sequence): void {
		if (sequence.nextTokenIndex < sequence.answerTokens) {
			const token = tokenText(sequence.seed, sequence.nextTokenIndex);
			sequence.nextTokenIndex++;
			this.stats.generated++;
			sequence.res.write(
				`id: ${sequence.nextTokenIndex}\ndata: ${formatChunk(sequence, token, null)}\n\n`,
			);
			this.cutIfDue();
		}
		if (sequence.nextTokenIndex >= sequence.answerTokens) {
			this.finish(sequence);
		}
	}

	private finish(sequence: Sequence): void {
		let tail = `data: ${formatChunk(sequence, '', 'stop')}\n\n`;
		if (sequence.includesUsage) {
			tail += `data: ${formatUsage(sequence)}\n\n`;
		}
		sequence.res.end(`${tail}data: [DONE]\n\n`);
		this.removeSequence(sequence);
	}

	private cutIfDue(): void {
		if (this.faults.cutAfterTokens === 0) {
			return;
		}
		this.faults.cutAfterTokens--;
		if (this.faults.cutAfterTokens === 0) {
			for (const sequence of [...this.batch, ...this.waiting]) {
				if (this.faults.endsCleanly) {
					sequence.res.end();
				} else {
					sequence.res.destroy();
				}
			}
		}
	}

	private removeSequence(sequence: Sequence): void {
		this.batch = this.batch.filter((other) => other !== sequence);
		this.waiting = this.waiting.filter((other) => other !== sequence);
	}

	private recordLoad(): void {
		const now = performance.now();
		this.loadHistory.push({ at: now, running: this.batch.length, waiting: this.waiting.length });
		this.loadHistory = this.loadHistory.filter(
			(report) => report.at > now - this.opts.reportLagMs - 200,
		);
	}

	private delayedLoadReport(): object {
		const { running, waiting } = this.loadHistory[0] ?? { running: 0, waiting: 0 };
		return { running, waiting, leaving: this.faults.leaving };
	}
}

function formatChunk(sequence: Sequence, token: string, finish: string | null): string {
	const part = sequence.isChat
		? {
				delta:
					sequence.nextTokenIndex <= 1 ? { role: 'assistant', content: token } : { content: token },
			}
		: { text: token };
	return JSON.stringify({
		id: `cmpl-${sequence.id}`,
		object: sequence.isChat ? 'chat.completion.chunk' : 'text_completion',
		created: 1,
		model: sequence.model,
		choices: [{ index: 0, ...part, finish_reason: finish }],
	});
}

function formatUsage(sequence: Sequence): string {
	return JSON.stringify({
		id: `cmpl-${sequence.id}`,
		object: sequence.isChat ? 'chat.completion.chunk' : 'text_completion',
		created: 1,
		model: sequence.model,
		choices: [],
		usage: {
			prompt_tokens: 1,
			completion_tokens: sequence.answerTokens,
			total_tokens: sequence.answerTokens + 1,
		},
	});
}

function sendJson(res: http.ServerResponse, status: number, value: unknown): void {
	res.writeHead(status, { 'content-type': 'application/json' });
	res.end(JSON.stringify(value));
}
