/**
 * Sends the attempts of one request, over this VM's own link to the engine or through another VM.
 * @module
 */
import type { Placement } from '../engines/placement-types.js';
import { Attempt } from './attempt.js';
import type { CallListener, RunningCall } from './definitions.js';
import type { RequestProgress } from './placement-log.js';
import { logPlacement } from './placement-log.js';
import type { RequestOutcome } from './request-outcome.js';
import type { RelayContext, RoutedRequest } from './types.js';

/** VMs that a request asks to forward it; many, as most of the fleet may have lost its links and refuse. */
const maxHelpers = 40;

export class AttemptSender {
	private helperCount = 0;

	constructor(
		private readonly ctx: RelayContext,
		private readonly routed: RoutedRequest,
		private readonly outcome: RequestOutcome,
	) {}

	/**
	 * Chooses the way to the engine.
	 * @returns undefined when the engine is reached only through other VMs and none forwards the request
	 */
	prepare(placement: Placement, progress: RequestProgress): Attempt | undefined {
		const { ctx, routed } = this;
		const { service, customer } = routed;
		const { isForwarded } = placement.engine;
		const helper = isForwarded ? this.chooseHelper() : undefined;
		if (isForwarded && !helper) {
			return undefined;
		}
		logPlacement(ctx, routed, this.outcome, placement, { ...progress, via: helper?.name });
		return new Attempt(ctx, placement, service, customer?.name, helper);
	}

	dispatch(
		{ engine, placement, helper }: Attempt,
		{ leftMs, lastEventId }: RequestProgress,
		listener: CallListener,
	): RunningCall {
		const { ctx, routed } = this;
		const { req, customer, urgency } = routed;
		return ctx.transport.send(
			{
				address: engine.registration.address,
				engineId: engine.id,
				req,
				customer: customer?.name,
				deadlineMs: leftMs,
				urgency,
				lastEventId,
				copyFrom: placement.copyFrom?.registration.address,
				via: helper && { address: helper.address, enginesRevision: ctx.engines.revision },
			},
			listener,
		);
	}

	private chooseHelper() {
		const { ctx, routed } = this;
		if (this.helperCount >= maxHelpers) {
			return undefined;
		}
		const helper = ctx.forwarding.chooseHelper(routed.urgency);
		if (helper) {
			this.helperCount++;
			ctx.metrics.recordForwarded(routed.service);
		}
		return helper;
	}
}
