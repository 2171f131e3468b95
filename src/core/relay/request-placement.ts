/**
 * Chooses the next engine for one request and obtains a permit where that engine has a request limit.
 * @module
 */
import type { Engine } from '../engines/engine.js';
import type { Placement } from '../engines/placement-types.js';
import type { PermitRequestHandle, PermitResult } from '../limits/permit-client.js';
import type { RequestOutcome } from './request-outcome.js';
import type { RelayContext, RoutedRequest } from './types.js';

/** Engines that may be unreachable before the request is refused. */
const maxUnreachable = 4;
/** Permit requests before the request is refused, or sent to an engine without a limit. */
const maxPermitRequests = 3;
/**
 * Where all engines have limits, a request waits for a permit for at most this share of its latency target, so that a refused caller
 * can still retry in time.
 */
const waitShare = 0.125;
/** Upper bound of that wait. */
const maxWaitMs = 2000;

export interface RequestPlacementOptions {
	ctx: RelayContext;
	routed: RoutedRequest;
	onPlaced: (placement: Placement) => void;
	/** Whether a refusal ends the request: no engine works on it, and it cannot wait for one. */
	isRefusalFinal: () => boolean;
	/** @param retryAfterS retry time for the caller; undefined for the default */
	onRefused: (reason: string, retryAfterS: number | undefined) => void;
	outcome: RequestOutcome;
	/** Runs what follows a wait, so that an error ends only this request. */
	guard: (action: () => void) => void;
}

export class RequestPlacement {
	private readonly tried = new Set<string>();
	/** The last permit request. */
	private permitCall?: PermitRequestHandle;
	/** Set when the request has ended: a permit that arrives later is not used. */
	private isCancelled = false;
	private permitRequests = 0;
	private unreachableCount = 0;
	private hasAwaitedCheck = false;
	private waitingSince?: number;
	/** The engine that the request has a permit for. */
	private permittedEngine?: Engine;

	constructor(private readonly opts: RequestPlacementOptions) {}

	/** Chooses an engine that was not tried yet; calls `onPlaced` or `onRefused`, at once or after waiting for a permit. */
	placeNext(): void {
		const { ctx, routed, onPlaced } = this.opts;
		const { req, service } = routed;
		const engines = this.admittedEngines(ctx.engines.getEligible(service));
		const placement = ctx.placement.choose(
			{
				service,
				promptSegments: req.promptSegments,
				promptTokens: req.promptTokens,
				answerTokens: req.answerTokens,
				targetMs: routed.route.targetMs,
				minTargetPauseMs: routed.minTargetPauseMs,
				targetPauseMs: routed.route.targetPauseMs,
				model: routed.model,
				isLeastUrgent: routed.isLeastUrgent,
				tried: this.tried,
				acceptsSilent: this.acceptsSilent,
				admits: (engine) => this.admits(engine, engines),
				isLimited: (engine) => this.isLimited(engine),
			},
			engines,
			this.now,
		);
		if ('refusal' in placement) {
			this.refuse(placement.refusal, this.callerRetryAfterS(engines) ?? placement.retryAfterS);
		} else if (this.isLimited(placement.engine)) {
			this.requestPermit(placement, engines);
		} else {
			this.tried.add(placement.engine.id);
			onPlaced(placement);
		}
	}

	/** Chooses another engine after one could not be reached, or refuses after several. */
	placeAfterUnreachable(reason: string): void {
		this.unreachableCount++;
		if (this.unreachableCount < maxUnreachable) {
			this.placeNext();
		} else {
			this.refuse(`engines unreachable: ${reason}`, undefined);
		}
	}

	/** Refuses, unless no engine is available and a check may show that they can be reached through other VMs. */
	private refuse(reason: string, retryAfterS: number | undefined): void {
		const { ctx, routed, onRefused } = this.opts;
		const check = ctx.links.getRunningCheck(routed.service);
		const isUnreachable = this.unreachableCount > 0 || !this.hasAvailableEngine;
		if (!check || !isUnreachable || this.hasAwaitedCheck) {
			onRefused(reason, retryAfterS);
			return;
		}
		this.hasAwaitedCheck = true;
		void check.then(() => this.opts.guard(() => this.placeAfterCheck()));
	}

	private placeAfterCheck(): void {
		if (!this.isCancelled) {
			this.unreachableCount = 0;
			this.retryUnsent();
			this.placeNext();
		}
	}

	/** Begins another search: engines that got nothing may be chosen again, and permits asked for again. */
	startOver(): void {
		this.unreachableCount = 0;
		this.permitRequests = 0;
		this.waitingSince = undefined;
		this.retryUnsent();
	}

	/** Whether some engine that was not tried is available by its health, or may soon be. */
	get hasCandidate(): boolean {
		const { ctx, routed } = this.opts;
		const untried = ctx.engines.getEligible(routed.service).filter(({ id }) => !this.tried.has(id));
		return this.hasSilentEngine || untried.some(({ health }) => health.isAvailable(this.now));
	}

	/** Whether some engine of the service is silent, so that it may soon go on. */
	get hasSilentEngine(): boolean {
		const { ctx, routed } = this.opts;
		const engines = ctx.engines.getEligible(routed.service);
		return engines.some(({ health }) => health.isBrieflySilent(this.now));
	}

	/** Where all engines are silent, a check of the links is awaited first: it tells whether this VM lost them. */
	private get acceptsSilent(): boolean {
		const { ctx, routed, isRefusalFinal } = this.opts;
		const isCheckAwaited = this.hasAwaitedCheck || !ctx.links.getRunningCheck(routed.service);
		return isCheckAwaited && isRefusalFinal();
	}

	/** Whether some engine of the service is available by its health. */
	private get hasAvailableEngine(): boolean {
		const { ctx, routed } = this.opts;
		const engines = ctx.engines.getEligible(routed.service);
		return engines.some(({ health }) => health.isAvailable(this.now));
	}

	/** Allows engines that were tried, but received nothing, to be chosen again. */
	private retryUnsent(): void {
		for (const id of this.tried) {
			if (!this.opts.outcome.sentTo.has(id)) {
				this.tried.delete(id);
			}
		}
	}

	/** Engines that fleet health admits; all eligible ones if each admitted one was tried. */
	private admittedEngines(eligible: readonly Engine[]): readonly Engine[] {
		const admitted = this.opts.ctx.fleetHealth.filterAvailable(eligible);
		return admitted.some(({ id }) => !this.tried.has(id)) ? admitted : eligible;
	}

	/** Stops placement once the request has ended. */
	cancel(): void {
		this.isCancelled = true;
		this.permitCall?.cancel();
	}

	/** Whether the request should still be sent: during connection setup the engine may have left, asked for a back-off or set a limit. */
	shouldSend(engine: Engine): boolean {
		return (
			!engine.isRemoved &&
			!engine.isDraining &&
			this.backOffLeftMs(engine) === 0 &&
			(engine === this.permittedEngine || !this.isLimited(engine))
		);
	}

	/** The placement is not used, so the engine may be chosen again. */
	release(engine: Engine): void {
		this.tried.delete(engine.id);
		this.permittedEngine = undefined;
	}

	/** Nothing was sent to the engine, so it may be chosen again. */
	withdraw(engine: Engine): void {
		this.opts.outcome.log('request.withdrawn', {
			engine: engine.id,
			draining: engine.isRemoved || engine.isDraining,
			rest_ms: Math.round(this.backOffLeftMs(engine)),
			limit_per_s: this.opts.ctx.limits.ledger.getLimitPerS(engine.ref),
		});
		this.release(engine);
	}

	private backOffLeftMs({ notices }: Engine): number {
		return notices.getBackOffLeftMs(this.opts.ctx.clock.sinceBoot());
	}

	/**
	 * Seconds until an engine of the service accepts requests; undefined while one does. The back-off of one engine does not apply to the
	 * caller, as another engine or VM may accept the request at once.
	 */
	get backOffLeftS(): number | undefined {
		const leftMs = this.opts.ctx.engines.getBackOffLeftMs(this.opts.routed.service);
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
		const retryDelayMs = this.opts.ctx.limits.permits.getRetryDelayMs(
			engine.ref,
			this.opts.routed.urgency,
		);
		return this.permitRequests < maxPermitRequests && retryDelayMs <= this.waitMs(engines);
	}

	/** How long the request can wait for a permit; 0 where some engine needs none. */
	private waitMs(engines: readonly Engine[]): number {
		if (engines.some((engine) => !this.isLimited(engine) && !this.tried.has(engine.id))) {
			return 0;
		}
		const waitedMs = this.waitingSince === undefined ? 0 : this.now - this.waitingSince;
		const maxMs = Math.min(this.opts.routed.route.targetMs * waitShare, maxWaitMs);
		return Math.max(0, maxMs - waitedMs);
	}

	private requestPermit(placement: Placement, engines: readonly Engine[]): void {
		const { ctx, routed, guard } = this.opts;
		const { engine } = placement;
		const waitMs = this.waitMs(engines);
		this.permitRequests++;
		this.waitingSince ??= this.now;
		// A synchronous denial requests the next permit before `request` returns, and its call is overwritten here: `isCancelled`
		// covers it.
		this.permitCall = ctx.limits.permits.request(engine.ref, routed.urgency, waitMs, (result) => {
			guard(() => this.handlePermit(placement, result));
		});
	}

	private handlePermit(placement: Placement, result: PermitResult): void {
		const { ctx, routed, onPlaced } = this.opts;
		const { engine } = placement;
		if (this.isCancelled) {
			return;
		}
		if (result.isGranted) {
			this.permittedEngine = engine;
			this.tried.add(engine.id);
			ctx.limits.getRetrySchedule(routed.service).recordAdmission(this.now);
			onPlaced(placement);
		} else {
			this.recordDenied(engine, result);
			this.placeNext();
		}
	}

	private recordDenied(engine: Engine, { retryAfterMs }: PermitResult): void {
		const { ctx, routed, outcome } = this.opts;
		outcome.log('permit.denied', { engine: engine.id, retry_ms: Math.round(retryAfterMs) });
		ctx.metrics.recordPermitDenied(routed.service);
	}

	/** Retry time for the caller where engines back off or all have limits; undefined for the default. */
	private callerRetryAfterS(engines: readonly Engine[]): number | undefined {
		const { ctx, routed } = this.opts;
		const isLimited = engines.length > 0 && engines.every((engine) => this.isLimited(engine));
		if (!isLimited) {
			return this.backOffLeftS;
		}
		const { permits } = ctx.limits;
		const retryDelaysMs = engines.map(({ ref }) => permits.getRetryDelayMs(ref, routed.urgency));
		return ctx.limits
			.getRetrySchedule(routed.service)
			.assignRetryAfterS(this.now, Math.min(...retryDelaysMs));
	}
}
