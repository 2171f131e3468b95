/**
 * Which VMs the store answered lately, as news tell.
 * @module
 */
import { eraOf } from '../store/revisions.js';
import type { StoreReader } from './types.js';

/** Readers that are told on at the most; more read the store only for a moment, after a start. */
const mostTold = 4;
/** One whom the store has not answered for so long is not told on, in milliseconds: nobody counts it any more. */
const toldMs = 2000;

interface KnownReader {
	reader: StoreReader;
	/** Milliseconds since boot. */
	contactAt: number;
	/** It reports here, so this VM speaks for it. */
	isMember: boolean;
}

export class StoreReaders {
	private readonly known = new Map<string, KnownReader>();

	/**
	 * @param isMember it told so itself, in its report
	 * @returns whether it is new, or tells of other engines than before; a revision rises with each heartbeat of an engine
	 */
	merge(reader: StoreReader, isMember: boolean, now: number): boolean {
		const contactAt = now - reader.contactAgeMs;
		const before = this.known.get(reader.address);
		if (before && contactAt < before.contactAt) {
			return false;
		}
		this.known.set(reader.address, { reader, contactAt, isMember });
		return !before || differ(before.reader, reader);
	}

	/** The one that acts for the whole fleet, by the highest token; undefined when none was answered by the store lately. */
	dutyHolder(withinMs: number, now: number): StoreReader | undefined {
		let holder: StoreReader | undefined;
		for (const { reader, contactAt } of this.known.values()) {
			const isHolder = reader.dutyToken > 0 && now - contactAt < withinMs;
			if (isHolder && reader.dutyToken > (holder?.dutyToken ?? 0)) {
				holder = reader;
			}
		}
		return holder;
	}

	/** Readers that the store answered within this time, in milliseconds. */
	count(withinMs: number, now: number): number {
		return [...this.known.values()].filter(({ contactAt }) => now - contactAt < withinMs).length;
	}

	/** All that this VM may tell its members of: who acts for the fleet, then the newest revisions. */
	all(now: number): StoreReader[] {
		return this.told(() => true, now);
	}

	/** Those that report here. Only for them other aggregators are told: what goes in circles grows no older. */
	members(now: number): StoreReader[] {
		return this.told(({ isMember }) => isMember, now);
	}

	private told(isTold: (known: KnownReader) => boolean, now: number): StoreReader[] {
		for (const [address, { contactAt }] of this.known) {
			if (now - contactAt > toldMs) {
				this.known.delete(address);
			}
		}
		const told = [...this.known.values()].filter(isTold).sort(byUse).slice(0, mostTold);
		return told.map(({ reader, contactAt }) => ({ ...reader, contactAgeMs: now - contactAt }));
	}
}

function byUse(a: KnownReader, b: KnownReader): number {
	return (
		b.reader.dutyToken - a.reader.dutyToken ||
		b.reader.revision - a.reader.revision ||
		b.contactAt - a.contactAt
	);
}

function differ(a: StoreReader, b: StoreReader): boolean {
	const isOtherEra = eraOf(a.revision) !== eraOf(b.revision);
	return isOtherEra || a.digest !== b.digest || a.dutyToken !== b.dutyToken;
}
