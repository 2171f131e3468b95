/**
 * Wire types of the platform's store and their decoding. Bodies are JSON; values are base64 of UTF-8 text.
 * @module
 */
import type { StoreEvent, StoreItem } from '../core/store/definitions.js';
import { revisionIn } from '../core/store/revisions.js';

const utf8 = new TextDecoder('utf-8', { fatal: true });

export interface WireItem {
	/** The key; "private" has no meaning here. */
	'private-key': string;
	value: string;
	revision: number;
	'lease-id': number;
}

export type WireEvent = WireItem | { 'private-key': string; revision: number; deleted: true };

export interface WireRange {
	entries: WireItem[];
	'has-more': boolean;
	/** Revision of the whole store at the read, not a time. */
	timestamp: number;
}

export interface WireChanges {
	events: WireEvent[];
	/** Revision from which the next watch continues. */
	timestamp: number;
}

/** @returns undefined when the header is missing or is not a valid era */
export function decodeEra(raw: string | string[] | undefined): number | undefined {
	const era = typeof raw === 'string' && raw !== '' ? Number(raw) : Number.NaN;
	return Number.isInteger(era) && era >= 0 ? era : undefined;
}

export function toItem(raw: WireItem, era: number): StoreItem {
	return {
		key: raw['private-key'],
		value: decodeValue(raw.value),
		revision: revisionIn(era, raw.revision),
		lease: raw['lease-id'],
	};
}

/** @returns the text of a value, empty when it is not base64 of UTF-8 */
function decodeValue(raw: unknown): string {
	try {
		return utf8.decode(Buffer.from(String(raw), 'base64'));
	} catch {
		// The decoder of the empty text reports the error with its key.
		return '';
	}
}

export function toEvent(raw: WireEvent, era: number): StoreEvent {
	return 'deleted' in raw && raw.deleted
		? { kind: 'gone', key: raw['private-key'] }
		: { kind: 'put', item: toItem(raw as WireItem, era) };
}
