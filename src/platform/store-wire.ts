/**
 * Items, pages and changes as the platform's store writes them, and what they are decoded to. Bodies are JSON, values base64 of
 * their text.
 * @module
 */
import type { StoreEvent, StoreItem } from '../core/store/definitions.js';
import { revisionIn } from '../core/store/revisions.js';

const utf8 = new TextDecoder('utf-8', { fatal: true });

export interface WireItem {
	/** "Private key": just the key. */
	'private-key': string;
	value: string;
	revision: number;
	'lease-id': number;
}

export type WireEvent = WireItem | { 'private-key': string; revision: number; deleted: true };

export interface WireRange {
	entries: WireItem[];
	'has-more': boolean;
	/** "Timestamp": revision of the whole store at the read, no time. */
	timestamp: number;
}

export interface WireChanges {
	events: WireEvent[];
	/** Revision from which the next watch goes on. */
	timestamp: number;
}

/** Undefined where the answer tells none, or something else. */
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

/** Text of a value; empty when another writer left something that is no base64 of a text. */
function decodeValue(raw: unknown): string {
	try {
		return utf8.decode(Buffer.from(String(raw), 'base64'));
	} catch {
		// Whoever decodes the empty text says what is wrong and where.
		return '';
	}
}

export function toEvent(raw: WireEvent, era: number): StoreEvent {
	return 'deleted' in raw && raw.deleted
		? { kind: 'gone', key: raw['private-key'] }
		: { kind: 'put', item: toItem(raw as WireItem, era) };
}
