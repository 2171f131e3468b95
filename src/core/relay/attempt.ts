/**
 * One send of a request to one engine: what came of its answer, and what it adds to the work that
 * the fleet knows of at that engine.
 * @module
 */
import type { Engine } from '../engines/engine.js';
import type { Placement } from '../engines/placement.js';
import type { AnswerHead, PromptPart, RunningCall } from './definitions.js';
import { EventSplitter } from './event-splitter.js';
import type { RelayContext } from './types.js';

export class Attempt {
	readonly engine: Engine;
	readonly splitter = new EventSplitter();
	call?: RunningCall;
	head?: AnswerHead;
	/** Body of a whole answer so far. */
	held: Buffer[] = [];
	heldBytes = 0;
	private wasSent = false;
	private hasStarted = false;
	private hasEnded = false;

	constructor(
		private readonly ctx: RelayContext,
		private readonly placement: Placement,
	) {
		this.engine = placement.engine;
	}

	/** Bytes of the request left: it may run. */
	get isSent(): boolean {
		return this.wasSent;
	}

	/** The engine works on it, yet nothing at all was heard from that engine for too long. */
	isSilent(now: number): boolean {
		return this.wasSent && this.engine.health.isSilent(now);
	}

	/** @param shared parts of the prompt that other requests may share */
	sent(shared: readonly PromptPart[]): void {
		const { promptTokens, heldTokens } = this.placement;
		this.wasSent = true;
		this.engine.health.sent(this.ctx.clock.monotonic(), promptTokens);
		this.ctx.fleet.changeWork(this.engine.id, { running: 1, promptTokens, heldTokens });
		this.ctx.fleet.read(shared, this.engine.id);
		this.ctx.onWorkChanged();
	}

	heard(): void {
		this.engine.health.heard(this.ctx.clock.monotonic());
	}

	/** Its prompt is read: the first event came, or nothing more will. */
	started(): void {
		if (!this.hasStarted) {
			this.hasStarted = true;
			const promptTokens = -this.placement.promptTokens;
			this.ctx.fleet.changeWork(this.engine.id, { promptTokens });
			this.ctx.onWorkChanged();
		}
	}

	hold(chunk: Buffer): void {
		this.held.push(chunk);
		this.heldBytes += chunk.length;
	}

	/** The engine no longer works on it. */
	ended(): void {
		if (!this.wasSent || this.hasEnded) {
			return;
		}
		this.hasEnded = true;
		this.started();
		const { promptTokens, heldTokens } = this.placement;
		this.ctx.fleet.changeWork(this.engine.id, { running: -1, heldTokens: -heldTokens });
		this.engine.health.ended(promptTokens);
	}
}
