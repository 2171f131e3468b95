/**
 * One request that this VM forwards to an engine for another VM. The other VM keeps the promises to the caller: it placed the
 * request, judges the answer and retries.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { Engine } from '../engines/engine.js';
import type { AnswerHead, AnswerListener, RunningCall } from '../relay/definitions.js';
import type { ForwardingAdmission } from './forwarding-admission.js';
import type { LinkMonitor } from './link-monitor.js';
import type { ForwardOrder, ForwardRefusal } from './types.js';
import { forwardRefusals } from './types.js';

/** Answer to the VM that asked for the request to be forwarded. */
export interface ForwardResponse {
	/** The request was not sent. */
	refuse(refusal: ForwardRefusal): void;
	/** The request was sent, and no answer of the engine can be passed on. */
	fail(reason: string): void;
	/** Passes on the head of the engine's answer. */
	writeHead(head: AnswerHead): void;
	/** @returns false when the other VM reads too slowly: wait for `onDrain` */
	write(chunk: Buffer): boolean;
	end(): void;
	/** Ends an answer that broke off: as failed if nothing of it was sent, or else recognisably incomplete. */
	abort(reason: string): void;
	onDrain(callback: () => void): void;
	/** Calls back when the other VM disconnects before the answer has ended. */
	onDisconnect(callback: () => void): void;
}

export interface ForwardingContext {
	clock: Clock;
	log: Log;
	admission: ForwardingAdmission;
	links: Pick<LinkMonitor, 'recordUnreachable'>;
	getEngine: (id: string) => Engine | undefined;
	/** Called when an engine breaks off an answer. */
	onEngineBroken: (engine: Engine) => void;
}

export class ForwardedRequest implements AnswerListener {
	private call?: RunningCall;
	private isSent = false;
	private hasHead = false;
	private isPaused = false;
	private hasEnded = false;
	/** Undefined when this VM does not know the engine. */
	private readonly engine?: Engine;

	constructor(
		private readonly ctx: ForwardingContext,
		private readonly order: ForwardOrder,
		private readonly res: ForwardResponse,
	) {
		this.engine = ctx.getEngine(order.engineId);
	}

	/** @param send sends the request to the engine and reports to this listener */
	start(send: (listener: AnswerListener) => RunningCall): void {
		const { requestId, sender, engineId, urgency } = this.order;
		this.ctx.log.info('request.forwarded', {
			request: requestId,
			engine: engineId,
			sender,
			urgency,
		});
		this.res.onDisconnect(() => this.handleDisconnect());
		this.call = send(this);
	}

	shouldSend(): boolean {
		return !this.hasEnded && this.ctx.admission.isEngineAvailable(this.order);
	}

	onWithdrawn(): void {
		this.refuse(forwardRefusals.engineUnavailable);
	}

	onSent(): void {
		this.isSent = true;
		this.engine?.directHealth.recordSent(this.now, 0);
	}

	onHead(head: AnswerHead): void {
		this.recordActivity();
		this.hasHead = true;
		if (!head.isFromOtherEngine) {
			this.engine?.notices.apply(head.notice, this.ctx.clock.sinceBoot());
		}
		this.res.writeHead(head);
	}

	onData(chunk: Buffer): void {
		this.recordActivity();
		if (!this.res.write(chunk) && !this.isPaused) {
			this.isPaused = true;
			this.call?.pause();
			this.res.onDrain(() => this.resume());
		}
	}

	onEnd(): void {
		this.finish('complete');
		this.res.end();
	}

	onError(reason: string): void {
		if (!this.isSent) {
			if (this.engine) {
				this.ctx.links.recordUnreachable(this.engine);
			}
			this.refuse(forwardRefusals.engineUnreachable, reason);
			return;
		}
		this.finish('broken', reason);
		if (this.engine) {
			this.ctx.onEngineBroken(this.engine);
		}
		if (this.hasHead) {
			this.res.abort(reason);
		} else {
			this.res.fail(reason);
		}
	}

	private get now(): number {
		return this.ctx.clock.monotonic();
	}

	private resume(): void {
		this.isPaused = false;
		this.call?.resume();
	}

	private recordActivity(): void {
		this.engine?.directHealth.recordActivity(this.now);
	}

	private refuse(refusal: ForwardRefusal, reason?: string): void {
		this.finish(refusal, reason);
		this.res.refuse(refusal);
	}

	private handleDisconnect(): void {
		if (!this.hasEnded) {
			this.call?.abort();
			this.finish('sender-left');
		}
	}

	private finish(outcome: string, reason?: string): void {
		if (this.hasEnded) {
			return;
		}
		this.hasEnded = true;
		if (this.isSent) {
			this.engine?.directHealth.recordEnd(0);
		}
		if (outcome !== 'complete') {
			const { requestId, engineId } = this.order;
			const fields = { request: requestId, engine: engineId, outcome, reason };
			this.ctx.log.warn('request.forward-ended', fields);
		}
	}
}
