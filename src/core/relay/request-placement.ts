/**
 * Where one request goes next: the engine that placement chooses, with a permit where that engine names how many requests it takes.
 * @module
 */
import type { Engine } from '../engines/engine.js';
import type { Placement } from '../engines/placement-types.js';
import type { PermitRequestHandle, PermitResult } from '../limits/permit-client.js';
import type { RequestOutcome } from './request-outcome.js';
import type { RelayContext, RoutedRequest } from './types.js';

/** Permits that are asked for before a request is refused, or goes where none is needed. */
const mostAsks = 3;
/**
 * Where all engines name limits, a request waits for a permit for this share of its target at the most: the more urgent ones that come
 * meanwhile go first, and whoever gets none hears of it while coming back is still of use.
 */
const waitShare = 0.125;
/** And no longer than this, in milliseconds. */
const mostWaitMs = 2000;

export interface RequestPlacementOptions {
	ctx: RelayContext;
	routed: RoutedRequest;
	onPlaced: (placement: Placement) => void;
	/** @param retryAfterS when the caller may come back; undefined for the usual time */
	onRefused: (reason: string, retryAfterS: number | undefined) => void;
	/** Where decisions are logged. */
	outcome: RequestOutcome;
}

export class RequestPlacement {
	private readonly tried = new Set<string>();
	/** The last ask for a permit. */
	private call?: PermitRequestHandle;
	/** The request has ended: a permit that comes after all is not used. */
	private isOver = false;
	private asks = 0;
	private waitedFrom?: number;
	/** The engine that it has a permit for. */
	private permitted?: Engine;

	constructor(private readonly opts: RequestPlacementOptions) {}

	/** Chooses an engine among those that it was not sent to; one of the callbacks tells the outcome, at once or soon. */
	placeNext(): void {
		const { ctx, routed: terms, onPlaced, onRefused } = this.opts;
		const { req, service } = terms;
		const engines = this.usable(ctx.engines.offered(service));
		const placement = ctx.placement.choose(
			{
				service,
				parts: req.promptSegments,
				promptTokens: req.promptTokens,
				answerTokens: req.answerTokens,
				targetMs: terms.route.targetMs,
				tightestPauseMs: terms.minTargetPauseMs,
				targetPauseMs: terms.route.targetPauseMs,
				model: terms.model,
				leastUrgent: terms.isLeastUrgent,
				tried: this.tried,
				admits: (engine) => this.admits(engine, engines),
				isLimited: (engine) => this.isLimited(engine),
			},
			engines,
			this.now,
		);
		if ('refusal' in placement) {
			onRefused(placement.refusal, this.comeBackS(engines) ?? placement.retryAfterS);
		} else if (this.isLimited(placement.engine)) {
			this.ask(placement, engines);
		} else {
			this.tried.add(placement.engine.id);
			onPlaced(placement);
		}
	}

	/** Those that the fleet's answers do not speak against, unless the request was sent to all of these. */
	private usable(offered: readonly Engine[]): readonly Engine[] {
		const admitted = this.opts.ctx.fleetHealth.admitted(offered);
		return admitted.some(({ id }) => !this.tried.has(id)) ? admitted : offered;
	}

	/** The request has ended: it is sent nowhere any more. */
	cancel(): void {
		this.isOver = true;
		this.call?.cancel();
	}

	/**
	 * Whether the engine may still be given the request now that its connection is up, which takes up to 400 ms: it may have asked
	 * for rest, or named a limit, meanwhile.
	 */
	shouldSend(engine: Engine): boolean {
		return this.restMs(engine) === 0 && (engine === this.permitted || !this.isLimited(engine));
	}

	/** Nothing was sent to the engine: it may be chosen again. */
	withdraw(engine: Engine): void {
		this.opts.outcome.log('request.withdrawn', {
			engine: engine.id,
			rest_ms: Math.round(this.restMs(engine)),
			limit_per_s: this.opts.ctx.limits.ledger.getLimitPerS(engine.ref),
		});
		this.tried.delete(engine.id);
		this.permitted = undefined;
	}

	private restMs({ notices }: Engine): number {
		return notices.restLeftMs(this.opts.ctx.clock.sinceBoot());
	}

	/**
	 * Seconds until an engine of the service takes requests; undefined when one does. The time that an engine asks of this VM is not
	 * the caller's: another engine, or VM, may take the request at once.
	 */
	get backOffLeftS(): number | undefined {
		const leftMs = this.opts.ctx.engines.restLeftMs(this.opts.routed.service);
		return leftMs === 0 ? undefined : Math.ceil(leftMs / 100) / 10;
	}

	private get now(): number {
		return this.opts.ctx.clock.monotonic();
	}

	private isLimited({ ref }: Engine): boolean {
		return this.opts.ctx.limits.ledger.getLimitPerS(ref) !== undefined;
	}

	private admits(engine: Engine, engines: readonly Engine[]): boolean {
		if (!this.isLimited(engine)) {
			return true;
		}
		const closedMs = this.opts.ctx.limits.permits.getRetryDelayMs(
			engine.ref,
			this.opts.routed.urgency,
		);
		return this.asks < mostAsks && closedMs <= this.waitMs(engines);
	}

	/** How long it can wait for a permit, in milliseconds; 0 where some engine needs none. */
	private waitMs(engines: readonly Engine[]): number {
		if (engines.some((engine) => !this.isLimited(engine) && !this.tried.has(engine.id))) {
			return 0;
		}
		const waitedMs = this.waitedFrom === undefined ? 0 : this.now - this.waitedFrom;
		const mostMs = Math.min(this.opts.routed.route.targetMs * waitShare, mostWaitMs);
		return Math.max(0, mostMs - waitedMs);
	}

	private ask(placement: Placement, engines: readonly Engine[]): void {
		const { ctx, routed: terms, onPlaced } = this.opts;
		const { engine } = placement;
		const waitMs = this.waitMs(engines);
		this.asks++;
		this.waitedFrom ??= this.now;
		// A denial may come before the call returns, and the next ask with it: that one's call would be lost here.
		this.call = ctx.limits.permits.request(engine.ref, terms.urgency, waitMs, (result) => {
			if (this.isOver) {
				return;
			}
			if (result.isGranted) {
				this.permitted = engine;
				this.tried.add(engine.id);
				ctx.limits.getRetrySchedule(terms.service).recordAdmission(this.now);
				onPlaced(placement);
			} else {
				this.denied(engine, result);
				this.placeNext();
			}
		});
	}

	private denied(engine: Engine, { retryAfterMs }: PermitResult): void {
		const { ctx, routed: terms, outcome } = this.opts;
		outcome.log('permit.denied', { engine: engine.id, retry_ms: Math.round(retryAfterMs) });
		ctx.metrics.recordPermitDenied(terms.service);
	}

	/** Seconds until the caller may come back where engines rest, or all name limits; undefined for the usual time. */
	private comeBackS(engines: readonly Engine[]): number | undefined {
		const { ctx, routed: terms } = this.opts;
		const isLimited = engines.length > 0 && engines.every((engine) => this.isLimited(engine));
		if (!isLimited) {
			return this.backOffLeftS;
		}
		const { permits } = ctx.limits;
		const openMs = engines.map(({ ref }) => permits.getRetryDelayMs(ref, terms.urgency));
		return ctx.limits
			.getRetrySchedule(terms.service)
			.assignRetryAfterS(this.now, Math.min(...openMs));
	}
}
