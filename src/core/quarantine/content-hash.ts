/**
 * A number that stands for what a request asks, whoever sends it again under another id.
 * @module
 */
import * as rendezvous from '../membership/rendezvous.js';
import type { CallerRequest } from '../relay/definitions.js';

/** Stands for method, host, path, customer and body of a request; 53 bits, so that it is a whole number everywhere. */
export type ContentHash = number;
/** The upper 21 bits of it: all but the body, of which they hold the length. */
export type HeadHash = number;

/** Start and multiplier of 32-bit FNV-1a. */
const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;
const bodyValues = 2 ** 32;
const headBits = 0x1fffff;

/** Cheap: contents that nobody has heard of are told by it. */
export function hashHead(req: CallerRequest, customer: string | undefined): HeadHash {
	const head = `${req.method} ${req.host}${req.target} ${customer ?? ''} ${req.body.length}`;
	return rendezvous.hashText(head) & headBits;
}

/** Reads the whole body. */
export function hashContent(req: CallerRequest, customer: string | undefined): ContentHash {
	const { body } = req;
	let hash = fnvOffset;
	for (let at = 0; at < body.length; at++) {
		hash = Math.imul(hash ^ (body[at] as number), fnvPrime);
	}
	return hashHead(req, customer) * bodyValues + (hash >>> 0);
}

export function extractHeadHash(content: ContentHash): HeadHash {
	return Math.floor(content / bodyValues);
}

/** The content as logs and keys name it. */
export function formatContentHash(content: ContentHash): string {
	return content.toString(16);
}
