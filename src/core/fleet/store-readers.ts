/**
 * Which VMs the store answered lately, as news tell.
 * @module
 */
import type { StoreReader } from './types.js';

/** Readers that are told on at the most; more read the store only for a moment, after a start. */
const mostTold = 4;
/** One whom the store has not answered for so long is not told on, in milliseconds: nobody counts it any more. */
const toldMs = 2000;

interface KnownReader {
	reader: StoreReader;
	/** Monotonic milliseconds. */
	contactAt: number;
	/** It reports here, so this VM speaks for it. */
	isMember: boolean;
}

export class StoreReaders {
	private readonly known = new Map<string, KnownReader>();

	/**
	 * @param isMember it told so itself, in its report
	 * @returns whether it is new, or tells of other engines than before
	 */
	heard(reader: StoreReader, isMember: boolean, now: number): boolean {
		const contactAt = now - reader.contactAgeMs;
		const before = this.known.get(reader.address);
		if (before && contactAt < before.contactAt) {
			return false;
		}
		this.known.set(reader.address, { reader, contactAt, isMember });
		return before?.reader.revision !== reader.revision || before.reader.digest !== reader.digest;
	}

	/** Readers that the store answered within this time, in milliseconds. */
	count(withinMs: number, now: number): number {
		return [...this.known.values()].filter(({ contactAt }) => now - contactAt < withinMs).length;
	}

	/** All that this VM may tell its members of, the newest revisions first. */
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
		const newestFirst = [...this.known.values()]
			.filter(isTold)
			.sort((a, b) => b.reader.revision - a.reader.revision || b.contactAt - a.contactAt);
		const told = newestFirst.slice(0, mostTold);
		return told.map(({ reader, contactAt }) => ({ ...reader, contactAgeMs: now - contactAt }));
	}
}
