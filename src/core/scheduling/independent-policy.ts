/**
 * The baseline: every daemon alone. A request goes to the endpoint with the least load by its
 * last report plus what this daemon itself has sent there; tiers hold on this daemon only.
 * @module
 */
import type { Endpoint } from '../configuration/index.js';
import type { LoadReport } from '../definitions.js';
import type { Request } from '../requests/types.js';
import { avoids } from '../requests/types.js';
import type {
	RunResult,
	SchedulingState,
	Slot,
	SlotAssignment,
	SlotPolicy,
} from './definitions.js';

/** An endpoint that failed is left alone for so long, in milliseconds. */
const failurePauseMs = 1000;

interface EndpointUse {
	own: number;
	report?: LoadReport;
	pausedUntil: number;
}

export class IndependentPolicy implements SlotPolicy {
	private readonly uses = new Map<string, EndpointUse>();

	/** Takes in a load report. */
	applyLoadReport(endpoint: string, report: LoadReport): void {
		this.use(endpoint).report = report;
	}

	assignSlots(state: SchedulingState): SlotAssignment[] {
		const starts: SlotAssignment[] = [];
		const limit = state.queue.size;
		const candidates = state.queue.selectBest(state.now, state.ordering, limit, () => true);
		for (const { req } of candidates) {
			const endpoint = this.leastLoaded(state, req);
			if (endpoint) {
				state.queue.remove(req);
				this.use(endpoint.name).own++;
				const slot = { endpoint: endpoint.name, floor: false, startedAt: state.now };
				starts.push({ req, slot });
			}
		}
		return starts;
	}

	recordInterTokenLatency(): void {}

	releaseSlot(_req: Request, slot: Slot, result: RunResult, now: number): void {
		const use = this.use(slot.endpoint);
		use.own--;
		if (result.failed) {
			use.pausedUntil = now + failurePauseMs;
		}
	}

	estimateWaitMs(): number {
		return 0;
	}

	mayDispatch(endpoint: string): boolean {
		return this.use(endpoint).report?.leaving !== true;
	}

	private leastLoaded(state: SchedulingState, req: Request): Endpoint | undefined {
		let best: Endpoint | undefined;
		let bestLoad = Number.POSITIVE_INFINITY;
		for (const endpoint of state.cfg.eligible(req.target, req.cls.name)) {
			const load = this.loadOf(endpoint, state.now);
			if (load < bestLoad && !avoids(req, endpoint.name, state.now)) {
				best = endpoint;
				bestLoad = load;
			}
		}
		return best;
	}

	/** Share of the endpoint's slots in use; infinite when it takes none. */
	private loadOf(endpoint: Endpoint, now: number): number {
		const use = this.use(endpoint.name);
		const reported = (use.report?.running ?? 0) + (use.report?.waiting ?? 0);
		const load = Math.max(use.own, reported);
		const closed = use.report?.leaving === true || use.pausedUntil > now;
		const full = use.own >= endpoint.slots || load >= endpoint.slots;
		return closed || full ? Number.POSITIVE_INFINITY : load / endpoint.slots;
	}

	private use(endpoint: string): EndpointUse {
		let use = this.uses.get(endpoint);
		if (!use) {
			use = { own: 0, pausedUntil: 0 };
			this.uses.set(endpoint, use);
		}
		return use;
	}
}
