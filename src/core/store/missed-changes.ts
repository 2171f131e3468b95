/**
 * Detects that this VM's copy of the store misses changes which peers have received, by the revisions and digests that they
 * gossip.
 * @module
 */

/** State of a copy of the store's content. */
export interface ContentState {
	revision: number;
	/** Equal contents have equal digests. */
	digest: number;
}

/** This VM's own copy. */
export interface OwnContent extends ContentState {
	/** Since when its watch has been waiting, in milliseconds since boot; undefined between watches. */
	waitingSince: number | undefined;
}

/** A peer whose content differs from this VM's. Times are in milliseconds since boot. */
interface Difference {
	own: number;
	peer: ContentState;
	seenAt: number;
	/** Since when the peer has been ahead. */
	aheadSince?: number;
	/** Since when neither content has changed. */
	unchangedSince: number;
}

/** Time within which a waiting watch delivers a change that a peer has. */
const maxDelayMs = 400;
/** A difference is forgotten when its peer has not been heard for this time. */
const maxSilenceMs = 1500;

export class MissedChanges {
	private readonly differences = new Map<string, Difference>();

	/** @param pauseMs longest time for which a reader does not watch after a change */
	constructor(private readonly pauseMs: number) {}

	/** Compares this VM's content with that of a peer. */
	observe(address: string, own: ContentState, peer: ContentState, now: number): void {
		if (peer.digest === own.digest) {
			this.differences.delete(address);
			return;
		}
		const known = this.differences.get(address);
		const previous = known?.own === own.digest ? known : undefined;
		const isUnchanged = previous?.peer.digest === peer.digest;
		this.differences.set(address, {
			own: own.digest,
			peer: { revision: peer.revision, digest: peer.digest },
			seenAt: now,
			aheadSince: peer.revision > own.revision ? (previous?.aheadSince ?? now) : undefined,
			unchangedSince: isUnchanged ? previous.unchangedSince : now,
		});
	}

	/** Whether a change of a peer is overdue here. True once; later differences have the whole time again. */
	isOverdue(own: OwnContent, now: number): boolean {
		const { waitingSince } = own;
		if (waitingSince === undefined) {
			return false;
		}
		const isAnyOverdue = [...this.differences].some(([address, difference]) => {
			if (now - difference.seenAt > maxSilenceMs) {
				this.differences.delete(address);
				return false;
			}
			return (
				difference.own === own.digest && this.isLate(difference, own.revision, waitingSince, now)
			);
		});
		if (isAnyOverdue) {
			this.differences.clear();
		}
		return isAnyOverdue;
	}

	/** A peer that is not ahead may itself pause before it receives changes, so it gets the time for that. */
	private isLate(
		{ peer, aheadSince, unchangedSince }: Difference,
		ownRevision: number,
		waitingSince: number,
		now: number,
	): boolean {
		if (aheadSince !== undefined && peer.revision > ownRevision) {
			return now - Math.max(aheadSince, waitingSince) >= maxDelayMs;
		}
		return now - unchangedSince >= 2 * this.pauseMs + maxDelayMs;
	}
}
