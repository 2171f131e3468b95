/**
 * Headers with which VMs ask each other to forward requests, added to the head of the request to the engine and of its answer.
 * @module
 */

import { isAddress } from '../../core/fleet/address.js';
import type { ForwardOrder, ForwardRefusal } from '../../core/forwarding/types.js';
import { forwardRefusals } from '../../core/forwarding/types.js';
import type { RawHeaders } from '../../core/relay/definitions.js';

/** ADDRESS ID REVISION URGENCY of the engine that gets the request. */
export const orderHeader = 'forward-to';
/** What became of the request: `answer`, `failed`, or a refusal. */
const resultHeader = 'forward-result';

export const forwardResults = {
	/** The answer is the engine's. */
	answer: 'answer',
	/** The engine got the request, and its answer cannot be passed on. */
	failed: 'failed',
} as const;
export type ForwardResult =
	| (typeof forwardResults)[keyof typeof forwardResults]
	| { refusal: ForwardRefusal };

const refusalNames: ReadonlySet<string> = new Set(Object.values(forwardRefusals));

export function encodeOrder(order: Omit<ForwardOrder, 'requestId' | 'sender'>): RawHeaders {
	const { engineAddress, engineId, enginesRevision, urgency } = order;
	return [orderHeader, `${engineAddress} ${engineId} ${enginesRevision} ${urgency}`];
}

/** @returns undefined when the head asks for no forwarding */
export function decodeOrder(
	header: string | string[] | undefined,
): Omit<ForwardOrder, 'requestId' | 'sender'> | undefined {
	const [engineAddress, engineId, revision, urgency] = String(header ?? '').split(' ');
	const order = {
		engineId: engineId ?? '',
		enginesRevision: Number(revision),
		urgency: Number(urgency),
	};
	const isValid =
		order.engineId !== '' &&
		Number.isSafeInteger(order.enginesRevision) &&
		Number.isInteger(order.urgency);
	return isValid && engineAddress !== undefined && isAddress(engineAddress)
		? { engineAddress, ...order }
		: undefined;
}

export function encodeResult(result: ForwardResult): RawHeaders {
	return [resultHeader, typeof result === 'string' ? result : result.refusal];
}

/** @param raw headers of an answer; a VM that does not know forwarding answers without the result */
export function decodeResult(raw: RawHeaders): ForwardResult {
	const index = raw.findIndex((name, at) => at % 2 === 0 && name.toLowerCase() === resultHeader);
	const value = index < 0 ? undefined : raw[index + 1];
	if (value === forwardResults.answer || value === forwardResults.failed) {
		return value;
	}
	const isKnown = value !== undefined && refusalNames.has(value);
	return { refusal: isKnown ? (value as ForwardRefusal) : forwardRefusals.unsupported };
}

/** Removes the headers of this module. */
export function stripForwardHeaders(raw: RawHeaders): RawHeaders {
	const kept: RawHeaders = [];
	for (let index = 0; index + 1 < raw.length; index += 2) {
		const name = raw[index] as string;
		if (name.toLowerCase() !== orderHeader && name.toLowerCase() !== resultHeader) {
			kept.push(name, raw[index + 1] as string);
		}
	}
	return kept;
}
