/**
 * Translates heads of requests and answers between the wire and the relay's own types.
 * @module
 */
import type {
	AnswerHead,
	CallerRequest,
	EngineCall,
	PromptPart,
	RawHeaders,
} from '../core/relay/definitions.js';
import { headers, routerOnlyHeaders } from './wire.js';

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

/** First value of each header, by lower-case name. */
type HeaderMap = Map<string, string>;

export interface CallerHead {
	method: string;
	target: string;
	rawHeaders: RawHeaders;
	arrivedAt: number;
}

/** @returns the request, or undefined when its head lacks an id or a host */
export function decodeRequest(head: CallerHead, body: Buffer): CallerRequest | undefined {
	const map = mapOf(head.rawHeaders);
	const id = map.get(headers.attemptId);
	const host = map.get('host');
	if (id === undefined || host === undefined) {
		return undefined;
	}
	const [promptTokens, mostAnswerTokens] = decodeTokens(map.get(headers.tokens));
	const answerTokens = positiveNumber(map.get(headers.lengthHint)) ?? mostAnswerTokens * usualShare;
	return {
		method: head.method,
		target: head.target,
		host,
		id,
		deadlineMs: positiveNumber(map.get(headers.deadline)),
		key: bearerKey(map.get('authorization')),
		parts: decodeParts(map.get(headers.promptParts)),
		promptTokens,
		answerTokens,
		lastEventId: map.get(headers.lastEventId),
		headers: requestHeaders(head.rawHeaders, body.length),
		body,
		arrivedAt: head.arrivedAt,
	};
}

/** Headers of the request as it goes to an engine. */
export function encodeCall(call: EngineCall): RawHeaders {
	const raw = [...call.req.headers];
	raw.push(headers.attemptId, call.req.id);
	raw.push(headers.deadline, String(Math.max(1, Math.round(call.deadlineMs))));
	raw.push(headers.expectInstance, call.engineId);
	raw.push(headers.priority, String(call.urgency));
	if (call.customer !== undefined) {
		raw.push(headers.customer, call.customer);
	}
	if (call.copyFrom !== undefined) {
		raw.push(headers.copyFrom, call.copyFrom);
	}
	if (call.lastEventId !== undefined) {
		raw.push(headers.lastEventId, call.lastEventId);
	}
	return raw;
}

export function decodeAnswer(status: number, rawHeaders: RawHeaders): AnswerHead {
	const map = mapOf(rawHeaders);
	const encoding = map.get('content-encoding');
	const signed = map.has(headers.signature);
	return {
		status,
		id: map.get(headers.attemptId),
		signed,
		notRun: status === 421 || map.has(headers.notExecuted),
		fromOther: status === 421,
		framed: map.has('content-length') || map.has('transfer-encoding'),
		encoded: encoding !== undefined && encoding !== 'identity',
		notice: {
			leaving: map.get(headers.leaving) === '1',
			restS: status === 503 ? positiveNumber(map.get(headers.retryAfter)) : undefined,
			limitPerS: decodeLimit(map.get(headers.limit)),
		},
		headers: keepEndToEnd(rawHeaders),
	};
}

function requestHeaders(rawHeaders: RawHeaders, bodyBytes: number): RawHeaders {
	const kept = keepEndToEnd(rawHeaders, (name) => {
		return name !== 'authorization' && name !== 'content-length' && !routerOnlyHeaders.has(name);
	});
	if (bodyBytes > 0 || mapOf(rawHeaders).has('content-length')) {
		kept.push('content-length', String(bodyBytes));
	}
	return kept;
}

/** Drops what concerns one connection only, headers that `Connection` names among it. */
function keepEndToEnd(raw: RawHeaders, keep: (name: string) => boolean = () => true): RawHeaders {
	const named = new Set(connectionTokens(raw));
	const kept: RawHeaders = [];
	for (let at = 0; at + 1 < raw.length; at += 2) {
		const name = (raw[at] as string).toLowerCase();
		if (!connectionHeaders.has(name) && !named.has(name) && keep(name)) {
			kept.push(raw[at] as string, raw[at + 1] as string);
		}
	}
	return kept;
}

function connectionTokens(raw: RawHeaders): string[] {
	const tokens: string[] = [];
	for (let at = 0; at + 1 < raw.length; at += 2) {
		if ((raw[at] as string).toLowerCase() === 'connection') {
			tokens.push(...(raw[at + 1] as string).split(',').map((token) => token.trim().toLowerCase()));
		}
	}
	return tokens;
}

function mapOf(raw: RawHeaders): HeaderMap {
	const map: HeaderMap = new Map();
	for (let at = 0; at + 1 < raw.length; at += 2) {
		const name = (raw[at] as string).toLowerCase();
		if (!map.has(name)) {
			map.set(name, raw[at + 1] as string);
		}
	}
	return map;
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

function decodeParts(text: string | undefined): PromptPart[] {
	if (text === undefined || text === '') {
		return [];
	}
	return text.split(',').map((part) => {
		const [id, tokens] = part.trim().split(':');
		return { id: id ?? '', tokens: positiveNumber(tokens) ?? 0 };
	});
}
