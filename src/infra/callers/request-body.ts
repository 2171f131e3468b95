/**
 * Reads and validates the body of a caller's request and derives the body that is sent to the engine.
 * @module
 */
import type * as http from 'node:http';
import * as zod from 'zod';
import * as errors from '../../core/errors/index.js';
import { BodyCollector } from '../connections/body-collector.js';

/** Fields of an OpenAI-compatible request that the router interprets; all others pass through. */
const bodySchema = zod.looseObject({
	model: zod.string('model must be a string').min(1),
	stream: zod.boolean('stream must be true or false').nullish(),
	stream_options: zod.looseObject({ include_usage: zod.boolean().nullish() }).nullish(),
	messages: zod.array(zod.looseObject({ role: zod.string(), content: zod.unknown() })).optional(),
	prompt: zod.unknown().optional(),
});

/** A validated model request body. */
export interface ModelBody {
	model: string;
	/** Whether the caller requested a stream. */
	stream: boolean;
	/** Body for the engine; always requests a stream, because only streams can be resumed. */
	engineBody: Uint8Array;
}

/** Reads the whole body; throws `TooLarge` when it exceeds `limit` bytes. */
export async function readBody(req: http.IncomingMessage, limit: number): Promise<Buffer> {
	const tooLarge = () => new errors.UserError(errors.data.TooLarge, [String(limit)]);
	if (Number(req.headers['content-length'] ?? 0) > limit) {
		throw tooLarge();
	}
	const body = new BodyCollector();
	// Keeps the request open on an early return, so that the refusal can drain the rest of the body.
	for await (const chunk of req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
		body.add(chunk);
		if (body.size > limit) {
			throw tooLarge();
		}
	}
	return body.take();
}

/** Parses a chat or completion body; throws `BadRequest` when it is invalid. */
export function parseModelBody(raw: Buffer, chat: boolean): ModelBody {
	const body = parseAndValidate(raw);
	const isMissing = chat ? body.messages === undefined : body.prompt === undefined;
	if (isMissing) {
		throw new errors.UserError(errors.data.BadRequest, [
			`${chat ? 'messages' : 'prompt'} is missing`,
		]);
	}
	const stream = body.stream === true;
	const engineBody = stream
		? raw
		: Buffer.from(
				JSON.stringify({ ...body, stream: true, stream_options: { include_usage: true } }),
			);
	return { model: body.model, stream, engineBody };
}

function parseAndValidate(raw: Buffer): zod.infer<typeof bodySchema> {
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
		const detail = `${issue?.path.join('.')}: ${issue?.message}`;
		throw new errors.UserError(errors.data.BadRequest, [detail]);
	}
	return parsed.data;
}
