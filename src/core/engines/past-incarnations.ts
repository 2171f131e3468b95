/**
 * What is known of starts of engines beyond their registrations, which may lapse, be written again, or stand again in a store that
 * came back from an older copy.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import { eraOf } from '../store/revisions.js';
import { Engine, incarnationKeyOf } from './engine.js';
import { EngineNotices } from './engine-notices.js';
import type { EngineRegistration } from './types.js';

/**
 * What a start of an engine said is kept for so long after its registration went, in milliseconds: the longest lease, and
 * far longer than an engine that leaves serves on. A registration that lapsed and came back would else read as ready.
 */
const keptMs = 600_000;
/**
 * A registration that had ended and stands again in an older copy of the store lapses within this time, in milliseconds, if its
 * engine is gone: after three heartbeats of at most two seconds.
 */
const doubtMs = 6000;

interface Start {
	notices: EngineNotices;
	/** In milliseconds since boot; undefined while it is registered. */
	keptUntil?: number;
	/** Era of the store in which its registration ended. */
	endedIn?: number;
}

export class PastIncarnations {
	private readonly byKey = new Map<string, Start>();

	constructor(
		private readonly clock: Clock,
		private readonly log: Log,
	) {}

	/**
	 * The engine of a new registration. What the same start said before counts on. One that had ended, and stands in a later era of
	 * the store, may stand there in an older copy only: it is doubted until it is written again.
	 */
	createEngine(entry: EngineRegistration, revision: number): Engine {
		const key = incarnationKeyOf(entry);
		const { notices = new EngineNotices(), endedIn } = this.byKey.get(key) ?? {};
		this.byKey.set(key, { notices });
		const engine = new Engine(entry, notices);
		if (endedIn !== undefined && endedIn < eraOf(revision)) {
			engine.unconfirmedUntil = this.clock.monotonic() + doubtMs;
			this.log.warn('engine.doubted', { engine: entry.id, ms: doubtMs });
		}
		return engine;
	}

	/** @param endedIn era of the store in which the registration ended */
	recordEnd({ incarnationKey: key, notices }: Engine, endedIn: number): void {
		this.byKey.set(key, { notices, endedIn, keptUntil: this.clock.sinceBoot() + keptMs });
	}

	/** Forgets those that ended long ago; called several times a second. */
	sweep(): void {
		const now = this.clock.sinceBoot();
		for (const [key, { keptUntil }] of this.byKey) {
			if (keptUntil !== undefined && now >= keptUntil) {
				this.byKey.delete(key);
			}
		}
	}
}
