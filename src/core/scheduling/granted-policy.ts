/**
 * Slot policy that uses slots granted by the owners of endpoints. Reports running and waiting
 * requests to the owners, and keeps unused slots while no request waits for them elsewhere, so that
 * most requests start without a message.
 * @module
 */
import type { Endpoint } from '../configuration/index.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { Request } from '../requests/types.js';
import { isAvoided } from '../requests/types.js';
import type {
	RunResult,
	SchedulingState,
	Slot,
	SlotAssignment,
	SlotPolicy,
} from './definitions.js';
import { selectEndpointSubsets } from './endpoint-subsets.js';
import { HeldSlots } from './held-slots.js';
import { selectReportTargets } from './report-targets.js';
import type { Candidate } from './request-queue.js';
import type { HolderReport, NameHash, OwnerReply, SlotRequest } from './types.js';

/** Maximum number of waiting requests of highest priority in a report. */
const maxBestRequests = 8;
/** Maximum number of waiting requests considered per class, customer and target. */
const maxCandidatesPerGroup = 6;
/** Time after which an unacknowledged report is sent again. */
const resendAfterMs = 400;
/** Time after which an unchanged report is sent again. */
const refreshIntervalMs = 5000;

export interface GrantedPolicyOptions {
	sendReport: (owner: string, report: HolderReport) => void;
	/** Owner of an endpoint; undefined if there is none. */
	ownerOf: (endpoint: string) => string | undefined;
	preempt: (ticket: number) => void;
	/** Whether a run can be stopped and resumed. */
	isPreemptable: (ticket: number) => boolean;
	/** Requests a call of `assignSlots`. */
	wake: () => void;
	/** Name of this daemon, from which its endpoint subsets are computed. */
	self: string;
	/** Number of live daemons. */
	fleetSize: () => number;
	/** Initial report sequence number; above those of earlier processes on this VM. */
	firstSeq: number;
}

export class GrantedPolicy implements SlotPolicy {
	private readonly heldByEndpoint = new Map<string, HeldSlots>();
	private groupedCfg?: SchedulingState['cfg'];
	private groups: Endpoint[][] = [];

	constructor(private readonly opts: GrantedPolicyOptions) {}

	/** Slots that this daemon holds on an endpoint. */
	getHeldSlots(endpoint: string): HeldSlots {
		let held = this.heldByEndpoint.get(endpoint);
		if (!held) {
			held = new HeldSlots(endpoint, this.opts.firstSeq);
			this.heldByEndpoint.set(endpoint, held);
		}
		return held;
	}

	assignSlots(state: SchedulingState): SlotAssignment[] {
		const assignments: SlotAssignment[] = [];
		this.assignNewGrants(state, assignments);
		this.assignIdleSlots(state, assignments);
		return assignments;
	}

	/**
	 * Sends the reports that are due. Returns true if some owners have not yet received waiting
	 * requests, so that it should be called again soon.
	 */
	sendDueReports(state: SchedulingState): boolean {
		this.groupEndpoints(state);
		let shouldRepeat = false;
		for (const endpoints of this.groups) {
			shouldRepeat = this.reportGroup(state, endpoints) || shouldRepeat;
		}
		return shouldRepeat;
	}

	/** Applies the reply of an endpoint's current owner; ignores other senders. */
	applyReply(from: string, reply: OwnerReply, now: number): void {
		const held = this.getHeldSlots(reply.endpoint);
		if (from !== this.opts.ownerOf(reply.endpoint)) {
			return;
		}
		if (held.applyReply(reply, now)) {
			for (const ticket of reply.preemptTickets) {
				this.opts.preempt(ticket);
			}
			this.opts.wake();
		}
	}

	/** Recomputes endpoint subsets and owners; new owners get a report at once. */
	refreshOwners(): void {
		this.groupedCfg = undefined;
		for (const held of this.heldByEndpoint.values()) {
			const owner = this.opts.ownerOf(held.endpoint);
			if (owner !== held.owner) {
				held.owner = owner;
				held.requireReport();
			}
		}
		this.opts.wake();
	}

	/** Discards unused slots after a pause of this process, since their grants may have expired. */
	dropGrants(): void {
		for (const held of this.heldByEndpoint.values()) {
			held.dropUnusedSlots();
		}
	}

	recordInterTokenLatency(req: Request, slot: Slot, interTokenMs: number, now: number): void {
		this.getHeldSlots(slot.endpoint).recordInterTokenLatency(
			interTokenMs,
			req.cls.between_tokens_ms,
			now,
		);
	}

	releaseSlot(req: Request, slot: Slot, result: RunResult, now: number): void {
		const held = this.getHeldSlots(slot.endpoint);
		held.recordEnd(req.ticket, slot, now);
		if (result.failed) {
			held.observations.failures++;
		} else if (!result.cancelled) {
			held.observations.completions++;
		}
	}

	/** Waiting requests of this and higher tiers divided by the completion rate of the endpoints. */
	estimateWaitMs(state: SchedulingState, req: Request): number {
		let completionsPerS = 0;
		let waitingAhead = 0;
		for (const endpoint of state.cfg.findEligibleEndpoints(req.target, req.cls.name)) {
			const { lastReply } = this.getHeldSlots(endpoint.name);
			completionsPerS += lastReply?.completionsPerS ?? 0;
			waitingAhead = Math.max(waitingAhead, countWaitingUpTo(lastReply, req.cls.tier));
		}
		return completionsPerS > 0 ? (waitingAhead / completionsPerS) * 1000 : 0;
	}

	mayDispatch(endpoint: string): boolean {
		return this.getHeldSlots(endpoint).lastReply?.isUnavailable !== true;
	}

	private assignNewGrants(state: SchedulingState, assignments: SlotAssignment[]): void {
		for (const held of this.heldByEndpoint.values()) {
			const endpoint = state.cfg.findEndpoint(held.endpoint);
			for (const grant of held.takeNewGrants()) {
				const req = endpoint && this.selectForGrant(state, endpoint, grant.tier, grant.floorClass);
				if (req) {
					const isFloor = grant.floorClass !== undefined;
					assignments.push(this.assign(state, held, req, isFloor));
				} else if (grant.floorClass === undefined) {
					held.keepOrReturnSlot(state.now);
				}
			}
		}
	}

	private selectForGrant(
		state: SchedulingState,
		endpoint: Endpoint,
		tier: number,
		floorClass: NameHash | undefined,
	): Request | undefined {
		const accepts = (head: Request) => {
			const fits =
				floorClass === undefined
					? head.cls.tier <= tier
					: rendezvous.hashName(head.cls.name) === floorClass;
			return fits && isEligible(state, endpoint, head);
		};
		const candidates = state.queue.selectBest(
			state.now,
			state.ordering,
			maxCandidatesPerGroup,
			accepts,
		);
		return candidates.find(({ req }) => !isAvoided(req, endpoint.name, state.now))?.req;
	}

	private assignIdleSlots(state: SchedulingState, assignments: SlotAssignment[]): void {
		let idleSlots = 0;
		for (const held of this.heldByEndpoint.values()) {
			idleSlots += held.usableIdleSlots;
		}
		if (idleSlots === 0 || state.queue.size === 0) {
			return;
		}
		const candidates = state.queue.selectBest(state.now, state.ordering, idleSlots, () => true);
		for (const { req } of candidates) {
			const held = this.findLeastLoadedIdle(state, req);
			if (held) {
				held.idleSlots--;
				assignments.push(this.assign(state, held, req, false));
			}
		}
	}

	private findLeastLoadedIdle(state: SchedulingState, req: Request): HeldSlots | undefined {
		let best: HeldSlots | undefined;
		let bestLoad = Number.POSITIVE_INFINITY;
		for (const endpoint of state.cfg.findEligibleEndpoints(req.target, req.cls.name)) {
			const held = this.getHeldSlots(endpoint.name);
			const isUsable = held.usableIdleSlots > 0 && !isAvoided(req, endpoint.name, state.now);
			const load = isUsable ? held.load : Number.POSITIVE_INFINITY;
			if (load < bestLoad) {
				best = held;
				bestLoad = load;
			}
		}
		return best;
	}

	private assign(
		state: SchedulingState,
		held: HeldSlots,
		req: Request,
		isFloor: boolean,
	): SlotAssignment {
		state.queue.remove(req);
		const slot: Slot = { endpoint: held.endpoint, isFloor, startedAt: state.now };
		held.recordStart(req, isFloor, state.now);
		return { req, slot };
	}

	private groupEndpoints(state: SchedulingState): void {
		if (this.groupedCfg !== state.cfg) {
			this.groupedCfg = state.cfg;
			this.groups = selectEndpointSubsets(state.cfg, this.opts.self, this.opts.fleetSize());
		}
	}

	/** Returns true if some owners have not yet received waiting requests. */
	private reportGroup(state: SchedulingState, endpoints: Endpoint[]): boolean {
		const [sample] = endpoints;
		if (!sample) {
			return false;
		}
		const accepts = (head: Request) => isEligible(state, sample, head);
		const candidates =
			state.queue.size === 0
				? []
				: state.queue.selectBest(state.now, state.ordering, maxCandidatesPerGroup, accepts);
		const selected = selectSlotRequests(candidates);
		const waitingByTier = [...state.queue.countByTier(accepts).entries()];
		const preemptionEndpoint = this.findPreemptionEndpoint(endpoints);
		const allHeld = endpoints.map((endpoint) => this.getHeldSlots(endpoint.name));
		const targets = selectReportTargets(allHeld, selected, state.now);
		for (const held of allHeld) {
			const mayPreempt = held.endpoint === preemptionEndpoint;
			const slotRequests = selected
				.filter(({ req }) => targets.has(held) && !isAvoided(req, held.endpoint, state.now))
				.map((candidate) => slotRequestOf(state, candidate, mayPreempt));
			held.updateSlotRequests(slotRequests, state.now);
			if (isDue(held, state.now)) {
				this.sendReport(state, held, slotRequests, waitingByTier);
			}
		}
		return targets.size < allHeld.length;
	}

	private sendReport(
		state: SchedulingState,
		held: HeldSlots,
		slotRequests: SlotRequest[],
		waitingByTier: [number, number][],
	): void {
		const owner = this.opts.ownerOf(held.endpoint);
		if (owner === undefined) {
			return;
		}
		held.owner = owner;
		const report = held.buildReport(
			slotRequests,
			waitingByTier,
			state.now,
			this.opts.isPreemptable,
		);
		this.opts.sendReport(owner, report);
	}

	/** The endpoint with the lowest preemptable tier; only its owner is asked to preempt. */
	private findPreemptionEndpoint(endpoints: readonly Endpoint[]): string | undefined {
		let lowestTier = 0;
		let name: string | undefined;
		for (const endpoint of endpoints) {
			const tier = this.getHeldSlots(endpoint.name).lastReply?.lowestPreemptableTier ?? 0;
			if (tier > lowestTier) {
				lowestTier = tier;
				name = endpoint.name;
			}
		}
		return name;
	}
}

/** The requests of highest priority, and the first of each class that is not among them. */
function selectSlotRequests(candidates: readonly Candidate[]): Candidate[] {
	const selected = candidates.slice(0, maxBestRequests);
	const classes = new Set(selected.map(({ req }) => req.cls.name));
	for (const candidate of candidates.slice(maxBestRequests)) {
		if (!classes.has(candidate.req.cls.name)) {
			classes.add(candidate.req.cls.name);
			selected.push(candidate);
		}
	}
	return selected;
}

function isDue(held: HeldSlots, now: number): boolean {
	const isUnacknowledged = held.sentSeq > held.ackedSeq;
	const shouldResend = isUnacknowledged && now - held.sentAt > resendAfterMs;
	const shouldRefresh = !held.isEmpty && now - held.sentAt > refreshIntervalMs;
	return held.isReportUrgent || now >= held.reportDueAt || shouldResend || shouldRefresh;
}

function slotRequestOf(
	state: SchedulingState,
	candidate: Candidate,
	mayPreempt: boolean,
): SlotRequest {
	const { req } = candidate;
	const waitedMs = state.now - req.waitingSince;
	const preemptAfterMs = state.cfg.document.policy.preempt_after * req.cls.first_token_ms;
	return {
		ticket: req.ticket,
		tier: req.cls.tier,
		classHash: rendezvous.hashName(req.cls.name),
		customerHash: rendezvous.hashName(req.customer),
		slackMs: Math.round(candidate.slackMs - state.ordering.estimateFirstTokenLeadMs(req)),
		isLate: candidate.isLate,
		waitedMs: Math.round(waitedMs),
		requestsPreemption: mayPreempt && waitedMs > preemptAfterMs,
	};
}

function isEligible(state: SchedulingState, endpoint: Endpoint, req: Request): boolean {
	return state.cfg.findEligibleEndpoints(req.target, req.cls.name).includes(endpoint);
}

function countWaitingUpTo(reply: OwnerReply | undefined, tier: number): number {
	let total = 0;
	for (const [otherTier, count] of reply?.waitingByTier ?? []) {
		total += otherTier <= tier ? count : 0;
	}
	return total;
}
