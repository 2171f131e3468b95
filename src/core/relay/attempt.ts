/**
 * One send of a request to one engine: what came of its answer, and what it adds to the work that
 * the fleet knows of at that engine.
 * @module
 */
import { CalmPauses } from '../engines/calm-pauses.js';
import type { Engine } from '../engines/engine.js';
import type { Placement } from '../engines/placement-types.js';
import type { WorkChange } from '../fleet/work-sums.js';
import type { AnswerHead, PromptSegment, RunningCall } from './definitions.js';
import { EventSplitter } from './event-splitter.js';
import type { RelayContext } from './types.js';

export class Attempt {
	readonly engine: Engine;
	readonly splitter = new EventSplitter();
	call?: RunningCall;
	head?: AnswerHead;
	/** Body of a whole answer so far. */
	buffered: Buffer[] = [];
	bufferedBytes = 0;
	private wasSent = false;
	/** Monotonic milliseconds. */
	private leftAt = 0;
	private firstEventAt?: number;
	private lastEventAt = 0;
	private events = 0;
	private readonly calmPauses = new CalmPauses();
	private hasStarted = false;
	/** Parts of the prompt that other requests may share. */
	private shared: readonly PromptSegment[] = [];
	private hasEnded = false;
	private hasBegun = false;

	constructor(
		private readonly ctx: RelayContext,
		private readonly placement: Placement,
		private readonly service: string,
		/** Whose requests that begin to run are counted. */
		private readonly customer?: string,
	) {
		this.engine = placement.engine;
	}

	/** Bytes of the request left: it may run. */
	get isSent(): boolean {
		return this.wasSent;
	}

	/** When it was sent, in monotonic milliseconds. */
	get sentAt(): number {
		return this.leftAt;
	}

	/** Milliseconds since it was sent. */
	get sinceSentMs(): number {
		return this.ctx.clock.monotonic() - this.leftAt;
	}

	/** Milliseconds since its first event; undefined before that came. */
	get sinceFirstEventMs(): number | undefined {
		const { firstEventAt } = this;
		return firstEventAt === undefined ? undefined : this.ctx.clock.monotonic() - firstEventAt;
	}

	/** The engine works on it, yet nothing at all was heard from that engine for too long. */
	isSilent(now: number): boolean {
		return this.wasSent && this.engine.health.isSilent(now);
	}

	/** @param shared parts of the prompt that other requests may share */
	markSent(shared: readonly PromptSegment[]): void {
		const { promptTokens, readingMs } = this.placement;
		this.wasSent = true;
		this.leftAt = this.ctx.clock.monotonic();
		this.engine.health.sent(this.leftAt, readingMs);
		this.changeWork({ running: 1, promptTokens });
		this.shared = shared;
		this.ctx.fleet.recordPrefill(shared, this.engine.key, false);
		this.ctx.onWorkChanged();
	}

	/** The engine works on it, or did: counted once. */
	countStartedNow(): void {
		this.began(0);
	}

	/** The same, for what does not show when it begins: engines that are not full begin at once. */
	countStartedAtSend(): void {
		this.began(this.ctx.clock.monotonic() - this.leftAt);
	}

	private began(agoMs: number): void {
		if (!this.hasBegun && this.wasSent && this.customer !== undefined) {
			this.hasBegun = true;
			this.ctx.usage?.recordStarted(this.customer, agoMs);
		}
	}

	recordActivity(): void {
		this.engine.health.heard(this.ctx.clock.monotonic());
	}

	/** Its prompt is read: the first event came, or nothing more will. */
	markPromptRead(): void {
		if (!this.hasStarted) {
			this.hasStarted = true;
			const promptTokens = -this.placement.promptTokens;
			this.changeWork({ promptTokens });
			this.ctx.onWorkChanged();
		}
	}

	/**
	 * Whole events came: what they tell of the engine's speed goes to the costs of its service.
	 * @param isPaused the caller reads too slowly, so pauses tell nothing of the engine
	 */
	recordEvents(isPaused: boolean): void {
		this.markPromptRead();
		const now = this.ctx.clock.monotonic();
		this.events++;
		if (this.firstEventAt === undefined) {
			this.countStartedNow();
			this.firstEventAt = now;
			this.firstEventSeen(now - this.leftAt);
			this.ctx.fleet.recordPrefill(this.shared, this.engine.key, true);
			this.ctx.onWorkChanged();
		} else if (!isPaused) {
			this.pauseSeen(now);
		}
		this.lastEventAt = now;
	}

	/**
	 * The stream came to its end.
	 * @param expectedTokens tokens that were expected of the answer
	 */
	recordStreamEnd(expectedTokens: number): void {
		if (this.firstEventAt !== undefined) {
			const heldMs = this.lastEventAt - this.firstEventAt;
			this.ctx.costs.answerSeen(this.service, { events: this.events, expectedTokens, heldMs });
		}
	}

	/** The work of an engine that is gone was forgotten whole: taken off once more, it would be told for ever. */
	private changeWork(change: WorkChange): void {
		if (!this.engine.isGone) {
			this.ctx.fleet.changeWork(this.engine.key, change);
		}
	}

	private firstEventSeen(delayMs: number): void {
		const { promptTokens, copiedTokens, work } = this.placement;
		const { engine } = this;
		this.ctx.costs.firstEvent(this.service, {
			promptTokens,
			aheadTokens: work.promptTokens,
			copiedTokens,
			delayMs,
			engine: engine.ref,
			at: this.ctx.clock.monotonic(),
			isQueued: work.running >= engine.entry.slots,
		});
	}

	private pauseSeen(now: number): void {
		const { engine, ctx } = this;
		const ms = now - this.lastEventAt;
		ctx.costs.pauseSeen(this.service, {
			ms,
			engine: engine.ref,
			at: now,
			calmMs: this.calmPauses.next(ms, ctx.fleet.workAt(engine.key).promptTokens > 0),
		});
	}

	buffer(chunk: Buffer): void {
		this.buffered.push(chunk);
		this.bufferedBytes += chunk.length;
	}

	/** The engine no longer works on it. */
	markEnded(): void {
		if (!this.wasSent || this.hasEnded) {
			return;
		}
		this.hasEnded = true;
		this.markPromptRead();
		const { readingMs } = this.placement;
		this.changeWork({ running: -1 });
		this.engine.health.ended(readingMs);
	}
}
