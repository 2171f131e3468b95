/**
 * Remembers incarnations of engines beyond their registrations, which may lapse, be rewritten, or reappear in a store that was
 * restored from an older copy.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import { eraOf } from '../store/revisions.js';
import { Engine, incarnationKeyOf } from './engine.js';
import { EngineNotices } from './engine-notices.js';
import type { EngineRegistration } from './types.js';

/**
 * Retention of notices after the end of a registration, in milliseconds: the longest lease, and far longer than an engine drains.
 * Otherwise a registration that lapsed and returned would make a draining engine eligible again.
 */
const retentionMs = 600_000;
/**
 * Time within which a registration that reappeared in an older copy of the store lapses if its engine is gone, in
 * milliseconds: three heartbeats of at most two seconds.
 */
const confirmationMs = 6000;

interface Incarnation {
	notices: EngineNotices;
	/** In milliseconds since boot; undefined while registered. */
	retainedUntil?: number;
	/** Era of the store in which the registration ended. */
	endedInEra?: number;
}

export class PastIncarnations {
	private readonly byKey = new Map<string, Incarnation>();

	constructor(
		private readonly clock: Clock,
		private readonly log: Log,
	) {}

	/**
	 * Creates the engine of a new registration, with the previous notices of the same incarnation. A registration that ended in an
	 * earlier era of the store may come from an older copy; its engine stays unconfirmed until it is written again.
	 */
	createEngine(registration: EngineRegistration, revision: number): Engine {
		const key = incarnationKeyOf(registration);
		const { notices = new EngineNotices(), endedInEra } = this.byKey.get(key) ?? {};
		this.byKey.set(key, { notices });
		const engine = new Engine(registration, notices);
		if (endedInEra !== undefined && endedInEra < eraOf(revision)) {
			engine.unconfirmedUntil = this.clock.monotonic() + confirmationMs;
			this.log.warn('engine.doubted', { engine: registration.id, ms: confirmationMs });
		}
		return engine;
	}

	/** @param endedInEra era of the store in which the registration ended */
	recordEnd({ incarnationKey, notices }: Engine, endedInEra: number): void {
		this.byKey.set(incarnationKey, {
			notices,
			endedInEra,
			retainedUntil: this.clock.sinceBoot() + retentionMs,
		});
	}

	/** Drops expired incarnations; called several times a second. */
	sweep(): void {
		const now = this.clock.sinceBoot();
		for (const [key, { retainedUntil }] of this.byKey) {
			if (retainedUntil !== undefined && now >= retainedUntil) {
				this.byKey.delete(key);
			}
		}
	}
}
