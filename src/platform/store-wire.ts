/**
 * Wire types of the platform's store and their decoding. Bodies are JSON; values are base64 of UTF-8 text.
 * @module
 */
import type { StoreChanges, StoreEvent, StoreItem } from '../core/store/definitions.js';
import { StoreError, storeFailures } from '../core/store/definitions.js';
import { maxEras, revisionIn, revisionsPerEra } from '../core/store/revisions.js';

/** Lease of an entry that is bound to none. */
const noLease = 0;
const utf8 = new TextDecoder('utf-8', { fatal: true });

interface WireItem {
	/** The key; "private" has no meaning here. */
	'private-key': string;
	value: string;
	revision: number;
	'lease-id': number;
}

/** Called with an entry that names no key or no revision, as JSON. */
export type UnreadableListener = (entry: string) => void;

/** One page of a range. */
export interface Page {
	items: StoreItem[];
	/** Last key of a page that others follow. */
	nextAfter?: string;
	/** Revision of the whole store at the read. */
	revision: number;
}

/**
 * Decodes the entries of a page and passes over the unreadable ones.
 * @throws StoreError when the body is no page
 */
export function decodePage(body: unknown, era: number, onUnreadable: UnreadableListener): Page {
	const { entries, timestamp, 'has-more': hasMore } = toRecord(body);
	const items = decodeEach(entries, onUnreadable, (raw) => decodeItem(raw, era));
	const last = (entries as unknown[]).at(-1);
	const nextAfter = hasMore && last !== undefined ? decodeKey(last) : undefined;
	return { items, nextAfter, revision: revisionIn(era, decodeRevision(timestamp)) };
}

/**
 * Decodes what a watch answered and passes over unreadable events.
 * @throws StoreError when the body holds no events
 */
export function decodeChanges(
	body: unknown,
	era: number,
	onUnreadable: UnreadableListener,
): StoreChanges {
	const { events, timestamp } = toRecord(body);
	return {
		events: decodeEach(events, onUnreadable, (raw) => decodeEvent(raw, era)),
		revision: revisionIn(era, decodeRevision(timestamp)),
	};
}

/** @throws StoreError when the value is no revision */
export function decodeRevision(raw: unknown): number {
	if (!isRevision(raw)) {
		throw new StoreError(storeFailures.unknown, 'the store answered without a revision');
	}
	return raw;
}

/** @throws StoreError when the body names no lease */
export function decodeLease(body: unknown): number {
	const { 'lease-id': lease } = toRecord(body);
	if (!Number.isSafeInteger(lease)) {
		throw new StoreError(storeFailures.unknown, 'the store answered without a lease');
	}
	return lease as number;
}

/** @throws StoreError when the value is no object */
export function toRecord(raw: unknown): Record<string, unknown> {
	if (typeof raw !== 'object' || raw === null) {
		throw new StoreError(storeFailures.unknown, 'the store answered without an object');
	}
	return raw as Record<string, unknown>;
}

function decodeKey(raw: unknown): string {
	const { 'private-key': key } = toRecord(raw);
	if (typeof key !== 'string') {
		throw new StoreError(storeFailures.unknown, 'a page of the store ends without a key');
	}
	return key;
}

function decodeEach<T>(
	raw: unknown,
	onUnreadable: UnreadableListener,
	decode: (entry: unknown) => T | undefined,
): T[] {
	if (!Array.isArray(raw)) {
		throw new StoreError(storeFailures.unknown, 'the store answered without a list');
	}
	return raw.flatMap((entry) => {
		const decoded = decode(entry);
		if (decoded === undefined) {
			onUnreadable(describe(entry));
			return [];
		}
		return [decoded];
	});
}

/** @returns the entry as JSON, unless it is nested too deeply for that */
function describe(entry: unknown): string {
	try {
		return String(JSON.stringify(entry));
	} catch (err) {
		return (err as Error).message;
	}
}

function isRevision(raw: unknown): raw is number {
	return Number.isSafeInteger(raw) && (raw as number) >= 0 && (raw as number) < revisionsPerEra;
}

/** @returns undefined when the header is missing or is not a valid era */
export function decodeEra(raw: string | string[] | undefined): number | undefined {
	const era = typeof raw === 'string' && raw !== '' ? Number(raw) : Number.NaN;
	return Number.isInteger(era) && era >= 0 && era < maxEras ? era : undefined;
}

/** @returns undefined when the entry names no key or no revision */
export function decodeItem(raw: unknown, era: number): StoreItem | undefined {
	const {
		'private-key': key,
		value,
		revision,
		'lease-id': lease,
	} = (raw ?? {}) as Partial<WireItem>;
	if (typeof key !== 'string' || !isRevision(revision)) {
		return undefined;
	}
	return {
		key,
		value: decodeValue(value),
		revision: revisionIn(era, revision),
		lease: Number.isSafeInteger(lease) ? (lease as number) : noLease,
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

function decodeEvent(raw: unknown, era: number): StoreEvent | undefined {
	const { 'private-key': key, deleted } = (raw ?? {}) as {
		'private-key'?: unknown;
		deleted?: unknown;
	};
	if (deleted) {
		return typeof key === 'string' ? { kind: 'gone', key } : undefined;
	}
	const item = decodeItem(raw, era);
	return item && { kind: 'put', item };
}
