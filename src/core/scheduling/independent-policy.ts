/**
 * Slot policy without coordination between daemons. A request goes to the endpoint with the lowest
 * load known to this daemon; tiers apply within this daemon only.
 * @module
 */
import type { Endpoint } from '../configuration/index.js';
import type { LoadReport } from '../definitions.js';
import type { Request } from '../requests/types.js';
import { isAvoided } from '../requests/types.js';
import type {
	RunResult,
	SchedulingState,
	Slot,
	SlotAssignment,
	SlotPolicy,
} from './definitions.js';

/** Time without new requests to an endpoint after a failure. */
const failurePauseMs = 1000;

interface EndpointUse {
	ownRequests: number;
	report?: LoadReport;
	pausedUntil: number;
}

export class IndependentPolicy implements SlotPolicy {
	private readonly uses = new Map<string, EndpointUse>();

	applyLoadReport(endpoint: string, report: LoadReport): void {
		this.use(endpoint).report = report;
	}

	assignSlots(state: SchedulingState): SlotAssignment[] {
		const assignments: SlotAssignment[] = [];
		const limit = state.queue.size;
		const candidates = state.queue.selectBest(state.now, state.ordering, limit, () => true);
		for (const { req } of candidates) {
			const endpoint = this.findLeastLoaded(state, req);
			if (endpoint) {
				state.queue.remove(req);
				this.use(endpoint.name).ownRequests++;
				const slot = { endpoint: endpoint.name, isFloor: false, startedAt: state.now };
				assignments.push({ req, slot });
			}
		}
		return assignments;
	}

	recordInterTokenLatency(): void {}

	releaseSlot(_req: Request, slot: Slot, result: RunResult, now: number): void {
		const use = this.use(slot.endpoint);
		use.ownRequests--;
		if (result.failed) {
			use.pausedUntil = now + failurePauseMs;
		}
	}

	estimateWaitMs(): number {
		return 0;
	}

	mayDispatch(endpoint: string): boolean {
		return this.use(endpoint).report?.isDraining !== true;
	}

	private findLeastLoaded(state: SchedulingState, req: Request): Endpoint | undefined {
		let best: Endpoint | undefined;
		let bestLoad = Number.POSITIVE_INFINITY;
		for (const endpoint of state.cfg.findEligibleEndpoints(req.target, req.cls.name)) {
			const load = this.loadOf(endpoint, state.now);
			if (load < bestLoad && !isAvoided(req, endpoint.name, state.now)) {
				best = endpoint;
				bestLoad = load;
			}
		}
		return best;
	}

	/** Used share of the endpoint's slots; infinite if it accepts no request. */
	private loadOf(endpoint: Endpoint, now: number): number {
		const use = this.use(endpoint.name);
		const reported = (use.report?.running ?? 0) + (use.report?.waiting ?? 0);
		const load = Math.max(use.ownRequests, reported);
		const isUnavailable = use.report?.isDraining === true || use.pausedUntil > now;
		const isFull = use.ownRequests >= endpoint.slots || load >= endpoint.slots;
		return isUnavailable || isFull ? Number.POSITIVE_INFINITY : load / endpoint.slots;
	}

	private use(endpoint: string): EndpointUse {
		let use = this.uses.get(endpoint);
		if (!use) {
			use = { ownRequests: 0, pausedUntil: 0 };
			this.uses.set(endpoint, use);
		}
		return use;
	}
}
