/**
 * Reads a caller's body within its limit and turns it into a call to an endpoint.
 * @module
 */
import type * as http from 'node:http';
import * as zod from 'zod';
import * as errors from '../../core/errors/index.js';

/** The parts of an OpenAI-compatible request that the router reads; the rest passes through. */
const bodySchema = zod.looseObject({
	model: zod.string('model must be a string').min(1),
	stream: zod.boolean('stream must be true or false').nullish(),
	stream_options: zod.looseObject({ include_usage: zod.boolean().nullish() }).nullish(),
	messages: zod.array(zod.looseObject({ role: zod.string(), content: zod.unknown() })).optional(),
	prompt: zod.unknown().optional(),
});

/** A request body, read. */
export interface ModelBody {
	model: string;
	/** The caller wants a stream. */
	stream: boolean;
	/** Body for the engine; always asks for a stream, which can be resumed. */
	engineBody: Uint8Array;
}

/** The whole body; throws `TooLarge`. */
export async function readBody(req: http.IncomingMessage, limit: number): Promise<Buffer> {
	const tooLarge = () => new errors.UserError(errors.data.TooLarge, [String(limit)]);
	if (Number(req.headers['content-length'] ?? 0) > limit) {
		throw tooLarge();
	}
	const chunks: Buffer[] = [];
	let size = 0;
	// The request outlives an early return: what is left of its body is still read by the refusal.
	for await (const chunk of req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
		size += chunk.length;
		if (size > limit) {
			throw tooLarge();
		}
		chunks.push(chunk);
	}
	return Buffer.concat(chunks);
}

/** Reads a chat or completion body; throws `BadRequest`. */
export function parseModelBody(raw: Buffer, chat: boolean): ModelBody {
	const body = parse(raw);
	const missing = chat ? body.messages === undefined : body.prompt === undefined;
	if (missing) {
		throw new errors.UserError(errors.data.BadRequest, [
			`${chat ? 'messages' : 'prompt'} is missing`,
		]);
	}
	const stream = body.stream === true;
	const forEngine = stream
		? raw
		: Buffer.from(
				JSON.stringify({ ...body, stream: true, stream_options: { include_usage: true } }),
			);
	return { model: body.model, stream, engineBody: forEngine };
}

function parse(raw: Buffer): zod.infer<typeof bodySchema> {
	let json: unknown;
	try {
		json = JSON.parse(raw.toString('utf8'));
	} catch (err) {
		throw new errors.UserError(errors.data.BadRequest, [
			`not valid JSON: ${(err as Error).message}`,
		]);
	}
	const parsed = bodySchema.safeParse(json);
	if (!parsed.success) {
		const issue = parsed.error.issues[0];
		const why = `${issue?.path.join('.')}: ${issue?.message}`;
		throw new errors.UserError(errors.data.BadRequest, [why]);
	}
	return parsed.data;
}
