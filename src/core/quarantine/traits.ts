/**
 * What requests that crash engines may have in common: their whole content, or a part of their prompts.
 * @module
 */
import * as rendezvous from '../membership/rendezvous.js';
import type { ContentHash } from './content-hash.js';

/** A part of prompts, as a negative integer below -1. */
export type PromptPart = number;
/** A content or a prompt part; the sign tells which, so that both share one ledger, one message and one kind of store key. */
export type Trait = ContentHash | PromptPart;

/** Largest prompt part; -1 has another meaning in messages. */
const largestPromptPart = -2;
/** Ids that are kept as numbers, so that logs and store keys show them; others are hashed. */
const hexId = /^[0-9a-f]{1,12}$/i;
/** A content in a store key. */
const contentKey = /^[0-9a-f]{1,14}$/;
/** Distinguishes prompt parts from contents in store keys; earlier versions ignore them. */
const partKeyPrefix = 'part-';
/** Ids of prompt parts are logged with this many digits at least. */
const idDigits = 8;

/** @param id of the prompt part, as the caller gave it */
export function toPromptPart(id: string): PromptPart {
	const value = hexId.test(id) ? Number.parseInt(id, 16) : rendezvous.hashText(id);
	return largestPromptPart - value;
}

export function isPromptPart(trait: Trait): boolean {
	return trait < 0;
}

/** Formats a trait for logs: the hash of a content, or the id of a prompt part. */
export function formatTrait(trait: Trait): string {
	return isPromptPart(trait)
		? (largestPromptPart - trait).toString(16).padStart(idDigits, '0')
		: trait.toString(16);
}

/** Log fields that name a trait. */
export function toLogFields(trait: Trait): Record<string, string> {
	return { [isPromptPart(trait) ? 'part' : 'content']: formatTrait(trait) };
}

/** Formats a trait as in store keys. */
export function encodeTraitKey(trait: Trait): string {
	return `${isPromptPart(trait) ? partKeyPrefix : ''}${formatTrait(trait)}`;
}

/** @returns NaN for a key that is none of a trait */
export function decodeTraitKey(key: string): Trait {
	if (key.startsWith(partKeyPrefix)) {
		return toPromptPart(key.slice(partKeyPrefix.length));
	}
	return contentKey.test(key) ? Number.parseInt(key, 16) : Number.NaN;
}
