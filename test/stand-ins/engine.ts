/**
 * Stand-in of a model engine: a continuous batch whose rate falls as it grows, a prefix cache of
 * limited size, priorities, a lagging load report, resume, fenced orders and faults on command.
 * @module
 */
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { answerTokenCount, textSeed, tokenText } from './engine-text.js';

/** How one engine behaves. Milliseconds. */
export interface EngineOptions {
	models: string[];
	/** Time of a step with an empty batch. */
	stepBaseMs: number;
	/** Time each running request adds to a step. */
	stepMsPerRequest: number;
	/** Largest batch; more requests wait, best priority first. */
	maxBatch: number;
	/** Prompt characters taken in a millisecond. */
	prefillCharsPerMs: number;
	/** The load report is this old. */
	reportLagMs: number;
	/** Prefixes kept. */
	maxCachedPrefixes: number;
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

/** What the engine counts; read at GET /stats. */
export interface EngineStats {
	generated: number;
	/** Runs by request id. */
	runs: Record<string, number>;
	/** Requests refused while it was leaving or told to refuse. */
	refused: number;
	cacheHits: number;
	cacheMisses: number;
	/** Most requests that ran at once. */
	peakBatch: number;
}

interface Sequence {
	id: string;
	priority: number;
	seed: number;
	index: number;
	length: number;
	model: string;
	chat: boolean;
	usage: boolean;
	promptChars: number;
	/** Time at which the prompt is taken in. */
	readyAt: number;
	res: http.ServerResponse;
}

/** Faults, set by POST /control. */
interface Faults {
	/** Steps take this many times longer. */
	slowFactor: number;
	/** Nothing is generated, connections stay open. */
	stalled: boolean;
	/** Streams are cut after this many more tokens in all; 0 for never. */
	cutAfterTokens: number;
	/** They end cleanly, though early, in place of being cut. */
	endsCleanly: boolean;
	leaving: boolean;
	/** New requests are refused with 503. */
	refusing: boolean;
}

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
	private readonly prefixes = new Map<string, true>();
	private reports: { at: number; running: number; waiting: number }[] = [];
	private fencingToken = 0;
	private stepping = false;

	constructor(private readonly opts: EngineOptions) {
		this.server = http.createServer((req, res) => void this.handle(req, res));
	}

	async listen(port = 0): Promise<number> {
		await new Promise<void>((done) => this.server.listen(port, '127.0.0.1', done));
		const timer = setInterval(() => this.recordReport(), 100);
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
			sendJson(res, 200, this.report());
		} else if (req.url === '/stats') {
			sendJson(res, 200, this.stats);
		} else if (req.url === '/control') {
			Object.assign(this.faults, JSON.parse(text));
			this.step();
			sendJson(res, 200, this.faults);
		} else if (req.url === '/orders') {
			this.order(JSON.parse(text), res);
		} else if (req.url?.startsWith('/v1/')) {
			this.generate(req, res, JSON.parse(text));
		} else {
			sendJson(res, 404, { error: { message: 'no such path' } });
		}
	}

	private order(order: { kind: string; fencingToken: number }, res: http.ServerResponse): void {
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
		const sequence = this.sequenceOf(id, req, res, body);
		res.writeHead(200, { 'content-type': 'text/event-stream' });
		res.flushHeaders();
		res.on('close', () => this.drop(sequence));
		this.waiting.push(sequence);
		this.waiting.sort((a, b) => a.priority - b.priority);
		this.step();
	}

	private sequenceOf(
		id: string,
		req: http.IncomingMessage,
		res: http.ServerResponse,
		body: Record<string, unknown>,
	): Sequence {
		const chat = req.url === '/v1/chat/completions';
		const messages = (body.messages ?? []) as { content: string }[];
		const parts = chat ? messages.map((message) => message.content) : [String(body.prompt)];
		const prompt = parts.join('\n');
		const options = (body.stream_options ?? {}) as { include_usage?: boolean };
		return {
			id,
			priority: Number(req.headers['x-priority'] ?? 0),
			seed: textSeed(parts.at(-1) ?? ''),
			index: Number(req.headers['last-event-id'] ?? 0),
			length: answerTokenCount(parts.at(-1) ?? ''),
			model: String(body.model),
			chat,
			usage: options.include_usage === true,
			promptChars: prompt.length - this.cachedChars(prompt),
			readyAt: 0,
			res,
		};
	}

	/** Characters of the prompt that the prefix cache already holds. */
	private cachedChars(prompt: string): number {
		const prefix = prompt.slice(0, prefixChars);
		const hit = this.prefixes.delete(prefix);
		this.prefixes.set(prefix, true);
		if (this.prefixes.size > this.opts.maxCachedPrefixes) {
			const oldest = this.prefixes.keys().next().value;
			this.prefixes.delete(oldest ?? '');
		}
		this.stats.cacheHits += hit ? 1 : 0;
		this.stats.cacheMisses += hit ? 0 : 1;
		return hit ? Math.min(prefixChars, prompt.length) : 0;
	}

	private step(): void {
		if (this.stepping || this.faults.stalled) {
			return;
		}
		this.fillBatch();
		if (this.batch.length === 0) {
			return;
		}
		this.stepping = true;
		const each = this.opts.stepMsPerRequest * this.batch.length;
		const stepMs = (this.opts.stepBaseMs + each) * this.faults.slowFactor;
		setTimeout(() => {
			this.stepping = false;
			this.emit();
			this.step();
		}, stepMs);
	}

	private fillBatch(): void {
		while (this.batch.length < this.opts.maxBatch && this.waiting.length > 0) {
			const next = this.waiting.shift() as Sequence;
			const prefillMs = (next.promptChars / this.opts.prefillCharsPerMs) * this.faults.slowFactor;
			next.readyAt = performance.now() + prefillMs;
			this.batch.push(next);
		}
		this.stats.peakBatch = Math.max(this.stats.peakBatch, this.batch.length);
	}

	private emit(): void {
		const now = performance.now();
		for (const sequence of [...this.batch]) {
			if (
				sequence.readyAt <= now &&
				!sequence.res.writableEnded &&
				!sequence.res.writableNeedDrain
			) {
				this.emitToken(sequence);
			}
		}
	}

	private emitToken(sequence: Sequence): void {
		if (sequence.index < sequence.length) {
			const token = tokenText(sequence.seed, sequence.index);
			sequence.index++;
			this.stats.generated++;
			sequence.res.write(`id: ${sequence.index}\ndata: ${chunkOf(sequence, token, null)}\n\n`);
			this.maybeCut();
		}
		if (sequence.index >= sequence.length) {
			this.finish(sequence);
		}
	}

	private finish(sequence: Sequence): void {
		let tail = `data: ${chunkOf(sequence, '', 'stop')}\n\n`;
		if (sequence.usage) {
			tail += `data: ${usageOf(sequence)}\n\n`;
		}
		sequence.res.end(`${tail}data: [DONE]\n\n`);
		this.drop(sequence);
	}

	private maybeCut(): void {
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

	private drop(sequence: Sequence): void {
		this.batch = this.batch.filter((known) => known !== sequence);
		this.waiting = this.waiting.filter((known) => known !== sequence);
	}

	private recordReport(): void {
		const now = performance.now();
		this.reports.push({ at: now, running: this.batch.length, waiting: this.waiting.length });
		this.reports = this.reports.filter((report) => report.at > now - this.opts.reportLagMs - 200);
	}

	private report(): object {
		const { running, waiting } = this.reports[0] ?? { running: 0, waiting: 0 };
		return { running, waiting, leaving: this.faults.leaving };
	}
}

function chunkOf(sequence: Sequence, token: string, finish: string | null): string {
	const part = sequence.chat
		? { delta: sequence.index <= 1 ? { role: 'assistant', content: token } : { content: token } }
		: { text: token };
	return JSON.stringify({
		id: `cmpl-${sequence.id}`,
		object: sequence.chat ? 'chat.completion.chunk' : 'text_completion',
		created: 1,
		model: sequence.model,
		choices: [{ index: 0, ...part, finish_reason: finish }],
	});
}

function usageOf(sequence: Sequence): string {
	return JSON.stringify({
		id: `cmpl-${sequence.id}`,
		object: sequence.chat ? 'chat.completion.chunk' : 'text_completion',
		created: 1,
		model: sequence.model,
		choices: [],
		usage: {
			prompt_tokens: 1,
			completion_tokens: sequence.length,
			total_tokens: sequence.length + 1,
		},
	});
}

function sendJson(res: http.ServerResponse, status: number, value: unknown): void {
	res.writeHead(status, { 'content-type': 'application/json' });
	res.end(JSON.stringify(value));
}
