/**
 * One attempt to run a request on one engine: tracks its answer and the engine work that it contributes to the fleet view.
 * @module
 */

import type { Engine } from '../engines/engine.js';
import type { EngineHealth } from '../engines/engine-health.js';
import type { Placement } from '../engines/placement-types.js';
import { UndisturbedPauseFilter } from '../engines/undisturbed-pause-filter.js';
import type { WorkChange } from '../fleet/work-sums.js';
import type { HelperCall } from '../forwarding/helper-selection.js';
import type { AnswerHead, PromptSegment, RunningCall } from './definitions.js';
import { EventSplitter } from './event-splitter.js';
import type { RelayContext } from './types.js';

/** A request on a link that is down is stranded after this time without any bytes from the engine, in milliseconds. */
const strandedSilenceMs = 600;

export class Attempt {
	readonly engine: Engine;
	readonly splitter = new EventSplitter();
	call?: RunningCall;
	head?: AnswerHead;
	/** Body received so far of an answer that is not a stream. */
	buffered: Buffer[] = [];
	bufferedBytes = 0;
	private wasSent = false;
	/** Monotonic milliseconds. */
	private sentTime = 0;
	private firstEventAt?: number;
	private lastEventAt = 0;
	private events = 0;
	private readonly undisturbedPauses = new UndisturbedPauseFilter();
	private isPromptRead = false;
	/** Prompt segments that other requests may share. */
	private sharedSegments: readonly PromptSegment[] = [];
	private hasEnded = false;
	private isStartCounted = false;
	/** Health of the engine over the link that this attempt uses. */
	readonly health: EngineHealth;

	constructor(
		private readonly ctx: RelayContext,
		readonly placement: Placement,
		private readonly service: string,
		/** Customer whose started requests are counted. */
		private readonly customer?: string,
		/** The VM that forwards the request; undefined when it is sent over this VM's own link. */
		readonly helper?: HelperCall,
	) {
		this.engine = placement.engine;
		this.health = this.engine.health;
	}

	/** Whether bytes of the request were sent, so that the engine may run it. */
	get isSent(): boolean {
		return this.wasSent;
	}

	/** Monotonic milliseconds. */
	get sentAt(): number {
		return this.sentTime;
	}

	get sinceSentMs(): number {
		return this.ctx.clock.monotonic() - this.sentTime;
	}

	/** When the engine began to answer, as far as known; when the request was sent if the answer is no stream. Monotonic milliseconds. */
	get beganAt(): number {
		return this.firstEventAt ?? this.sentTime;
	}

	/** Undefined before the first event. */
	get sinceFirstEventMs(): number | undefined {
		const { firstEventAt } = this;
		return firstEventAt === undefined ? undefined : this.ctx.clock.monotonic() - firstEventAt;
	}

	/** Whether the request was sent and its engine is silent, or the link that it was sent over is down. */
	isSilent(now: number): boolean {
		return this.wasSent && (this.health.isSilent(now) || this.isStranded(now));
	}

	/** Whether the engine sent nothing to any request since this one was sent. */
	get isEngineUnheard(): boolean {
		return this.wasSent && this.health.activeAt < this.sentTime;
	}

	private isStranded(now: number): boolean {
		const isLinkDown = this.helper === undefined && this.engine.isForwarded;
		return isLinkDown && this.health.silentMs(now) >= strandedSilenceMs;
	}

	/** @param sharedSegments prompt segments that other requests may share */
	markSent(sharedSegments: readonly PromptSegment[]): void {
		const { uncachedTokens, readingMs } = this.placement;
		this.wasSent = true;
		this.sentTime = this.ctx.clock.monotonic();
		this.health.recordSent(this.sentTime, readingMs);
		this.changeWork({ running: 1, promptTokens: uncachedTokens });
		this.sharedSegments = sharedSegments;
		this.ctx.fleet.recordPrefill(sharedSegments, this.engine.incarnationKey, false);
		this.ctx.onWorkChanged();
	}

	/** Counts the request as started now, unless it was counted before. */
	countStartedNow(): void {
		this.countStarted(0);
	}

	/** Counts the request as started when it was sent; without events, the actual start is unknown. */
	countStartedAtSend(): void {
		this.countStarted(this.ctx.clock.monotonic() - this.sentTime);
	}

	private countStarted(agoMs: number): void {
		if (!this.isStartCounted && this.wasSent && this.customer !== undefined) {
			this.isStartCounted = true;
			this.ctx.usage?.recordStart(this.customer, agoMs);
		}
	}

	recordActivity(): void {
		this.health.recordActivity(this.ctx.clock.monotonic());
	}

	/** The prompt was read: the first event arrived, or no further one will. */
	markPromptRead(): void {
		if (!this.isPromptRead) {
			this.isPromptRead = true;
			const promptTokens = -this.placement.uncachedTokens;
			this.changeWork({ promptTokens });
			this.ctx.onWorkChanged();
		}
	}

	/**
	 * Records the arrival of complete events and feeds their timing to the cost model.
	 * @param isPaused whether the caller reads too slowly; pauses then say nothing about the engine
	 */
	recordEvents(isPaused: boolean): void {
		this.markPromptRead();
		const now = this.ctx.clock.monotonic();
		this.events++;
		if (this.firstEventAt === undefined) {
			this.countStartedNow();
			this.firstEventAt = now;
			this.recordFirstEvent(now - this.sentTime);
			this.ctx.fleet.recordPrefill(this.sharedSegments, this.engine.incarnationKey, true);
			this.ctx.onWorkChanged();
		} else if (!isPaused) {
			this.recordPause(now);
		}
		this.lastEventAt = now;
	}

	/** @param expectedTokens expected length of the answer */
	recordStreamEnd(expectedTokens: number): void {
		if (this.firstEventAt !== undefined) {
			const slotOccupancyMs = this.lastEventAt - this.firstEventAt;
			this.ctx.costs.recordAnswer(this.service, {
				events: this.events,
				expectedTokens,
				slotOccupancyMs,
			});
		}
	}

	/** Skips removed engines, whose work is no longer part of the sums. */
	private changeWork(change: WorkChange): void {
		if (!this.engine.isRemoved) {
			this.ctx.fleet.changeWork(this.engine.incarnationKey, change);
		}
	}

	private recordFirstEvent(delayMs: number): void {
		const { uncachedTokens, copiedTokens, work, readingMs, readMsPerToken } = this.placement;
		const { engine } = this;
		const workMs = readingMs + work.promptTokens * readMsPerToken;
		if (this.health.wasSilentSince(this.sentTime, workMs)) {
			// The time in which the engine answered nobody says nothing about its pace.
			return;
		}
		this.ctx.costs.recordFirstEvent(this.service, {
			promptTokens: uncachedTokens,
			aheadTokens: work.promptTokens,
			copiedTokens,
			delayMs,
			engine: engine.ref,
			at: this.ctx.clock.monotonic(),
			isQueued: work.running >= engine.registration.slots,
		});
	}

	private recordPause(now: number): void {
		const { engine, ctx } = this;
		const ms = now - this.lastEventAt;
		ctx.costs.recordPause(this.service, {
			ms,
			engine: engine.ref,
			at: now,
			undisturbedMs: this.undisturbedPauses.add(
				ms,
				ctx.fleet.getWork(engine.incarnationKey).promptTokens > 0,
			),
		});
	}

	buffer(chunk: Buffer): void {
		this.buffered.push(chunk);
		this.bufferedBytes += chunk.length;
	}

	/** The engine no longer works on the request. */
	markEnded(): void {
		this.helper?.release();
		if (!this.wasSent || this.hasEnded) {
			return;
		}
		this.hasEnded = true;
		this.markPromptRead();
		const { readingMs } = this.placement;
		this.changeWork({ running: -1 });
		this.health.recordEnd(readingMs);
	}
}
