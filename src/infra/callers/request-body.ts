/**
 * Validates the body of a caller's request and derives the body that is sent to the engine.
 * @module
 */
import * as zod from 'zod';
import * as errors from '../../core/errors/index.js';

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
