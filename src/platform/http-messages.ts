/**
 * Translates heads of requests and answers between the wire and the relay's own types.
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

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
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

/** Answers that no caller has estimated are taken to use this share of what they may; an assumption. */
const usualShare = 0.6;

/** A damaged answer may name any number; more than an engine can take is no limit, and goes into messages as a whole number. */
const mostLimitPerS = 1e6;

/** What callers send under these names does not go to engines as it came. */
const ownRequestHeaders: ReadonlySet<string> = new Set([
	...connectionHeaders,
	...routerOnlyHeaders,
	'authorization',
	'content-length',
]);

const noNames: ReadonlySet<string> = new Set();

/** A head, read once. */
interface Head {
	raw: RawHeaders;
	/** Names in lower case, in the order of the head. */
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
	const read = readHead(head.rawHeaders);
	const map = read.values;
	const id = map.get(headerNames.attemptId);
	const host = map.get('host');
	if (id === undefined || host === undefined) {
		return undefined;
	}
	const [promptTokens, mostAnswerTokens] = decodeTokens(map.get(headerNames.tokenUsage));
	const answerTokens =
		positiveNumber(map.get(headerNames.lengthHint)) ?? mostAnswerTokens * usualShare;
	return {
		method: head.method,
		target: head.target,
		host,
		id,
		deadlineMs: positiveNumber(map.get(headerNames.deadline)),
		apiKey: bearerKey(map.get('authorization')),
		promptSegments: decodeParts(map.get(headerNames.promptSegments)),
		promptTokens,
		answerTokens,
		lastEventId: map.get(headerNames.lastEventId),
		headers: requestHeaders(read, body.length),
		body,
		arrivedAt: head.arrivedAt,
	};
}

/** Headers of the request as it goes to an engine. */
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

export function decodeAnswer(status: number, rawHeaders: RawHeaders): AnswerHead {
	const read = readHead(rawHeaders);
	const map = read.values;
	const encoding = map.get('content-encoding');
	const signed = map.has(headerNames.signature);
	return {
		status,
		id: map.get(headerNames.attemptId),
		isSigned: signed,
		hasNotRun: status === 421 || map.has(headerNames.notExecuted),
		isFromOtherEngine: status === 421,
		isFramed: map.has('content-length') || map.has('transfer-encoding'),
		isEncoded: encoding !== undefined && encoding !== 'identity',
		notice: {
			isDraining: map.get(headerNames.draining) === '1',
			backOffS: status === 503 ? positiveNumber(map.get(headerNames.retryAfter)) : undefined,
			limitPerS: decodeLimit(map.get(headerNames.rateLimit)),
		},
		headers: keepEndToEnd(read, connectionHeaders),
	};
}

function requestHeaders(read: Head, bodyBytes: number): RawHeaders {
	const kept = keepEndToEnd(read, ownRequestHeaders);
	if (bodyBytes > 0 || read.values.has('content-length')) {
		kept.push('content-length', String(bodyBytes));
	}
	return kept;
}

/** Drops headers of these names, and those that `Connection` names. */
function keepEndToEnd(read: Head, dropped: ReadonlySet<string>): RawHeaders {
	const { raw, names, values } = read;
	const named = values.has('connection') ? connectionTokens(read) : noNames;
	const kept: RawHeaders = [];
	for (let at = 0; at < names.length; at++) {
		const name = names[at] as string;
		if (!dropped.has(name) && !named.has(name)) {
			kept.push(raw[2 * at] as string, raw[2 * at + 1] as string);
		}
	}
	return kept;
}

function connectionTokens({ raw, names }: Head): ReadonlySet<string> {
	const tokens = new Set<string>();
	for (let at = 0; at < names.length; at++) {
		if (names[at] === 'connection') {
			for (const token of (raw[2 * at + 1] as string).split(',')) {
				tokens.add(token.trim().toLowerCase());
			}
		}
	}
	return tokens;
}

function readHead(raw: RawHeaders): Head {
	const names: string[] = [];
	const values = new Map<string, string>();
	for (let at = 0; at + 1 < raw.length; at += 2) {
		const name = (raw[at] as string).toLowerCase();
		names.push(name);
		if (!values.has(name)) {
			values.set(name, raw[at + 1] as string);
		}
	}
	return { raw, names, values };
}

function bearerKey(authorization: string | undefined): string | undefined {
	return authorization === undefined ? undefined : /^Bearer\s+(\S+)$/i.exec(authorization)?.[1];
}

function positiveNumber(text: string | undefined): number | undefined {
	const value = Number(text);
	const isNumber = text !== undefined && text.trim() !== '' && Number.isFinite(value);
	return isNumber && value >= 0 ? value : undefined;
}

function decodeLimit(text: string | undefined): number | undefined {
	const perS = positiveNumber(text);
	return perS === undefined ? undefined : Math.min(perS, mostLimitPerS);
}

/** "PROMPT,MOST": tokens of the prompt, then the most that may be generated. */
function decodeTokens(text: string | undefined): [number, number] {
	const [prompt, answer] = (text ?? '').split(',');
	return [positiveNumber(prompt) ?? 0, positiveNumber(answer) ?? 0];
}

function decodeParts(text: string | undefined): PromptSegment[] {
	if (text === undefined || text === '') {
		return [];
	}
	return text.split(',').map((part) => {
		const [id, tokens] = part.trim().split(':');
		return { id: id ?? '', tokens: positiveNumber(tokens) ?? 0 };
	});
}
