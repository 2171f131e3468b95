/**
 * Tracks the VMs that recently had an answer from the store, as reported by gossip.
 * @module
 */
import { eraOf } from '../store/revisions.js';
import type { StoreReader } from './types.js';

/** Maximum readers in a message; more VMs read the store only briefly after a start. */
const maxReaders = 4;
/** A reader is removed once its last contact is this old. */
const retentionMs = 2000;

interface KnownReader {
	reader: StoreReader;
	/** Time of the last contact, in milliseconds since boot. */
	contactAt: number;
	/** The reader is a member, so this VM gossips it to other aggregators. */
	isMember: boolean;
}

export class StoreReaders {
	private readonly known = new Map<string, KnownReader>();

	/**
	 * Merges the state of a reader.
	 * @param isMember the state comes from a member's own report
	 * @returns whether the reader is new or its engines, era or duty token changed. The revision alone does not count, since
	 * it rises with each heartbeat of an engine.
	 */
	merge(reader: StoreReader, isMember: boolean, now: number): boolean {
		const contactAt = now - reader.contactAgeMs;
		const previous = this.known.get(reader.address);
		if (previous && contactAt < previous.contactAt) {
			return false;
		}
		this.known.set(reader.address, { reader, contactAt, isMember });
		return !previous || hasChanged(previous.reader, reader);
	}

	/** Returns the reader with the highest duty token; undefined when none had an answer from the store within the time. */
	getDutyHolder(withinMs: number, now: number): StoreReader | undefined {
		let holder: StoreReader | undefined;
		for (const { reader, contactAt } of this.known.values()) {
			const isHolder = reader.dutyToken > 0 && now - contactAt < withinMs;
			if (isHolder && reader.dutyToken > (holder?.dutyToken ?? 0)) {
				holder = reader;
			}
		}
		return holder;
	}

	/** Returns the number of readers that had an answer from the store within this time, in milliseconds. */
	count(withinMs: number, now: number): number {
		return [...this.known.values()].filter(({ contactAt }) => now - contactAt < withinMs).length;
	}

	/** Returns the readers to gossip to members: the duty holder first, then by newest revision. */
	getAll(now: number): StoreReader[] {
		return this.select(() => true, now);
	}

	/** Returns the readers among the members, to gossip to other aggregators. Echoing others would keep their state alive. */
	getMembers(now: number): StoreReader[] {
		return this.select(({ isMember }) => isMember, now);
	}

	private select(isIncluded: (known: KnownReader) => boolean, now: number): StoreReader[] {
		for (const [address, { contactAt }] of this.known) {
			if (now - contactAt > retentionMs) {
				this.known.delete(address);
			}
		}
		const selected = [...this.known.values()]
			.filter(isIncluded)
			.sort(compareReaders)
			.slice(0, maxReaders);
		return selected.map(({ reader, contactAt }) => ({ ...reader, contactAgeMs: now - contactAt }));
	}
}

function compareReaders(a: KnownReader, b: KnownReader): number {
	return (
		b.reader.dutyToken - a.reader.dutyToken ||
		b.reader.revision - a.reader.revision ||
		b.contactAt - a.contactAt
	);
}

function hasChanged(a: StoreReader, b: StoreReader): boolean {
	const isOtherEra = eraOf(a.revision) !== eraOf(b.revision);
	return isOtherEra || a.digest !== b.digest || a.dutyToken !== b.dutyToken;
}
