/**
 * Converts the heads of requests and answers between HTTP headers and the relay's types.
 * @module
 */
import type {
	AnswerHead,
	CallerRequest,
	EngineCall,
	PromptSegment,
	RawHeaders,
} from '../core/relay/definitions.js';
import { headerNames, routerOnlyHeaders } from './wire-names.js';

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const connectionHeaders: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
]);

/** Expected share of the token limit that an answer uses when its caller sends no length hint. */
const expectedAnswerShare = 0.6;

/** Bounds the limit from a malformed answer; gossip messages encode it as an integer. */
const maxLimitPerS = 1e6;

/** Headers of callers that are dropped or replaced before a request goes to an engine. */
const strippedRequestHeaders: ReadonlySet<string> = new Set([
	...connectionHeaders,
	...routerOnlyHeaders,
	'authorization',
	'content-length',
]);

const emptyNames: ReadonlySet<string> = new Set();

interface ParsedHead {
	raw: RawHeaders;
	/** Lower-case names, in the order of the head. */
	names: string[];
	/** First value of each header, by lower-case name. */
	values: Map<string, string>;
}

export interface RequestHead {
	method: string;
	target: string;
	rawHeaders: RawHeaders;
	arrivedAt: number;
}

/** @returns the request, or undefined when its head lacks an id or a host */
export function decodeRequest(head: RequestHead, body: Buffer): CallerRequest | undefined {
	const parsedHead = parseHead(head.rawHeaders);
	const values = parsedHead.values;
	const id = values.get(headerNames.attemptId);
	const host = values.get('host');
	if (id === undefined || host === undefined) {
		return undefined;
	}
	const [promptTokens, maxAnswerTokens] = decodeTokens(values.get(headerNames.tokenUsage));
	const answerTokens =
		nonNegativeNumber(values.get(headerNames.lengthHint)) ?? maxAnswerTokens * expectedAnswerShare;
	return {
		method: head.method,
		target: head.target,
		host,
		id,
		deadlineMs: nonNegativeNumber(values.get(headerNames.deadline)),
		apiKey: bearerKey(values.get('authorization')),
		promptSegments: decodePromptSegments(values.get(headerNames.promptSegments)),
		promptTokens,
		answerTokens,
		lastEventId: values.get(headerNames.lastEventId),
		headers: requestHeaders(parsedHead, body.length),
		body,
		arrivedAt: head.arrivedAt,
	};
}

/** @returns the headers of the request to an engine */
export function encodeCall(call: EngineCall): RawHeaders {
	const raw = [...call.req.headers];
	raw.push(headerNames.attemptId, call.req.id);
	raw.push(headerNames.deadline, String(Math.max(1, Math.round(call.deadlineMs))));
	raw.push(headerNames.expectInstance, call.engineId);
	raw.push(headerNames.priority, String(call.urgency));
	if (call.customer !== undefined) {
		raw.push(headerNames.customer, call.customer);
	}
	if (call.copyFrom !== undefined) {
		raw.push(headerNames.copyFrom, call.copyFrom);
	}
	if (call.lastEventId !== undefined) {
		raw.push(headerNames.lastEventId, call.lastEventId);
	}
	return raw;
}

/** Removes the headers that concern one connection only. */
export function stripConnectionHeaders(rawHeaders: RawHeaders): RawHeaders {
	return filterHeaders(parseHead(rawHeaders), connectionHeaders);
}

/** @returns the id of the request with this head; empty without one */
export function requestIdOf(rawHeaders: RawHeaders): string {
	return parseHead(rawHeaders).values.get(headerNames.attemptId) ?? '';
}

export function decodeAnswer(status: number, rawHeaders: RawHeaders): AnswerHead {
	const parsedHead = parseHead(rawHeaders);
	const values = parsedHead.values;
	const encoding = values.get('content-encoding');
	const isSigned = values.has(headerNames.signature);
	return {
		status,
		id: values.get(headerNames.attemptId),
		isSigned,
		hasNotRun: status === 421 || values.has(headerNames.notExecuted),
		isFromOtherEngine: status === 421,
		isEncoded: encoding !== undefined && encoding !== 'identity',
		notice: {
			isDraining: values.get(headerNames.draining) === '1',
			backOffS: status === 503 ? nonNegativeNumber(values.get(headerNames.retryAfter)) : undefined,
			limitPerS: decodeLimit(values.get(headerNames.rateLimit)),
		},
		headers: filterHeaders(parsedHead, connectionHeaders),
	};
}

function requestHeaders(parsedHead: ParsedHead, bodyBytes: number): RawHeaders {
	const kept = filterHeaders(parsedHead, strippedRequestHeaders);
	if (bodyBytes > 0 || parsedHead.values.has('content-length')) {
		kept.push('content-length', String(bodyBytes));
	}
	return kept;
}

/** Drops the given headers and those listed in `Connection`. */
function filterHeaders(parsedHead: ParsedHead, dropped: ReadonlySet<string>): RawHeaders {
	const { raw, names, values } = parsedHead;
	const connectionNames = values.has('connection') ? parseConnectionHeader(parsedHead) : emptyNames;
	const kept: RawHeaders = [];
	for (let index = 0; index < names.length; index++) {
		const name = names[index] as string;
		if (!dropped.has(name) && !connectionNames.has(name)) {
			kept.push(raw[2 * index] as string, raw[2 * index + 1] as string);
		}
	}
	return kept;
}

function parseConnectionHeader({ raw, names }: ParsedHead): ReadonlySet<string> {
	const tokens = new Set<string>();
	for (let index = 0; index < names.length; index++) {
		if (names[index] === 'connection') {
			for (const token of (raw[2 * index + 1] as string).split(',')) {
				tokens.add(token.trim().toLowerCase());
			}
		}
	}
	return tokens;
}

function parseHead(raw: RawHeaders): ParsedHead {
	const names: string[] = [];
	const values = new Map<string, string>();
	for (let index = 0; index + 1 < raw.length; index += 2) {
		const name = (raw[index] as string).toLowerCase();
		names.push(name);
		if (!values.has(name)) {
			values.set(name, raw[index + 1] as string);
		}
	}
	return { raw, names, values };
}

function bearerKey(authorization: string | undefined): string | undefined {
	return authorization === undefined ? undefined : /^Bearer\s+(\S+)$/i.exec(authorization)?.[1];
}

function nonNegativeNumber(text: string | undefined): number | undefined {
	const value = Number(text);
	const isNumber = text !== undefined && text.trim() !== '' && Number.isFinite(value);
	return isNumber && value >= 0 ? value : undefined;
}

function decodeLimit(text: string | undefined): number | undefined {
	const limitPerS = nonNegativeNumber(text);
	return limitPerS === undefined ? undefined : Math.min(limitPerS, maxLimitPerS);
}

/** Decodes "PROMPT,MAX": the tokens of the prompt and the maximum number of tokens to generate. */
function decodeTokens(text: string | undefined): [number, number] {
	const [prompt, answer] = (text ?? '').split(',');
	return [nonNegativeNumber(prompt) ?? 0, nonNegativeNumber(answer) ?? 0];
}

function decodePromptSegments(text: string | undefined): PromptSegment[] {
	if (text === undefined || text === '') {
		return [];
	}
	return text.split(',').map((segment) => {
		const [id, tokens] = segment.trim().split(':');
		return { id: id ?? '', tokens: nonNegativeNumber(tokens) ?? 0 };
	});
}
