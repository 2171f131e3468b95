/**
 * Hashes the content of requests, so that repetitions under another id are recognised.
 * @module
 */
import * as rendezvous from '../membership/rendezvous.js';
import type { CallerRequest } from '../relay/definitions.js';

/** Hash of method, host, path, customer and body of a request; 53 bits, a safe integer. */
export type ContentHash = number;
/** Upper 21 bits of a content hash: everything but the body, of which only the length counts. */
export type HeadHash = number;

/** Offset basis and prime of 32-bit FNV-1a. */
const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;
const bodyHashRange = 2 ** 32;
const headMask = 0x1fffff;

/** Cheap check that rules out most contents without reading their bodies. */
export function hashHead(req: CallerRequest, customer: string | undefined): HeadHash {
	const head = `${req.method} ${req.host}${req.target} ${customer ?? ''} ${req.body.length}`;
	return rendezvous.hashText(head) & headMask;
}

/** Hashes the whole body. */
export function hashContent(req: CallerRequest, customer: string | undefined): ContentHash {
	const { body } = req;
	let hash = fnvOffset;
	for (let index = 0; index < body.length; index++) {
		hash = Math.imul(hash ^ (body[index] as number), fnvPrime);
	}
	return hashHead(req, customer) * bodyHashRange + (hash >>> 0);
}

export function extractHeadHash(content: ContentHash): HeadHash {
	return Math.floor(content / bodyHashRange);
}
