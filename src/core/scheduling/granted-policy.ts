/**
 * The entry's side of granted slots: reports to each endpoint's owner what runs and what waits,
 * and starts requests in the slots that owners grant. Slots stay with the entry while nobody
 * waits for them, so that most requests start without a message.
 * @module
 */
import type { Endpoint } from '../configuration/index.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { Request } from '../requests/types.js';
import { avoids } from '../requests/types.js';
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

/** Best waiting requests told to an owner. */
const wantedBest = 8;
/** Waiting requests of one class, customer and target that are looked at. */
const wantedPerGroup = 6;
/** A report without an answer is sent again after so long, in milliseconds. */
const resendMs = 400;
/** A report without a change is sent again after so long, in milliseconds. */
const refreshMs = 5000;

export interface GrantedPolicyOptions {
	/** Sends a report to an endpoint's owner. */
	sendReport: (owner: string, report: HolderReport) => void;
	/** Owner of an endpoint, undefined while there is none. */
	ownerOf: (endpoint: string) => string | undefined;
	/** Cuts off a run. */
	preempt: (ticket: number) => void;
	/** Whether a run could be cut off and resumed. */
	isPreemptable: (ticket: number) => boolean;
	/** Asks for `takeStarts`. */
	wake: () => void;
	/** Name of this daemon; chooses the endpoints that it asks when there are many. */
	self: string;
	/** Live daemons. */
	fleetSize: () => number;
	/** First report number; higher than any of an earlier process of this VM. */
	firstSeq: number;
}

export class GrantedPolicy implements SlotPolicy {
	private readonly holdings = new Map<string, HeldSlots>();
	private cachedFor?: SchedulingState['cfg'];
	private groups: Endpoint[][] = [];

	constructor(private readonly opts: GrantedPolicyOptions) {}

	/** What this entry holds on an endpoint. */
	heldSlots(endpoint: string): HeldSlots {
		let holding = this.holdings.get(endpoint);
		if (!holding) {
			holding = new HeldSlots(endpoint, this.opts.firstSeq);
			this.holdings.set(endpoint, holding);
		}
		return holding;
	}

	assignSlots(state: SchedulingState): SlotAssignment[] {
		const starts: SlotAssignment[] = [];
		this.useGrants(state, starts);
		this.useIdle(state, starts);
		return starts;
	}

	/**
	 * Sends the reports that are due. Called after starts were taken, and in between. True when it
	 * should be called again soon, since some owners have not been told of waiting work.
	 */
	sendDueReports(state: SchedulingState): boolean {
		this.groupEndpoints(state);
		let again = false;
		for (const endpoints of this.groups) {
			again = this.reportGroup(state, endpoints) || again;
		}
		return again;
	}

	/** Takes in what an owner said. */
	applyReply(from: string, reply: OwnerReply, now: number): void {
		const holding = this.heldSlots(reply.endpoint);
		if (from !== this.opts.ownerOf(reply.endpoint)) {
			return;
		}
		if (holding.applyReply(reply, now)) {
			for (const ticket of reply.preemptTickets) {
				this.opts.preempt(ticket);
			}
			this.opts.wake();
		}
	}

	/** Members changed: endpoints with another owner are told to it at once. */
	refreshOwners(): void {
		this.cachedFor = undefined;
		for (const holding of this.holdings.values()) {
			const owner = this.opts.ownerOf(holding.endpoint);
			if (owner !== holding.owner) {
				holding.owner = owner;
				holding.requireReport();
			}
		}
		this.opts.wake();
	}

	/** This process was paused: what owners granted before is no longer theirs to keep. */
	dropGrants(): void {
		for (const holding of this.holdings.values()) {
			holding.dropUnusedSlots();
		}
	}

	recordInterTokenLatency(req: Request, slot: Slot, gapMs: number, now: number): void {
		this.heldSlots(slot.endpoint).recordInterTokenLatency(gapMs, req.cls.between_tokens_ms, now);
	}

	releaseSlot(req: Request, slot: Slot, result: RunResult, now: number): void {
		const holding = this.heldSlots(slot.endpoint);
		holding.recordEnd(req.ticket, slot, now);
		if (result.failed) {
			holding.observations.failures++;
		} else if (!result.cancelled) {
			holding.observations.completions++;
		}
	}

	/** Work of this and higher tiers that waits over the fleet, over the rate of its endpoints. */
	estimateWaitMs(state: SchedulingState, req: Request): number {
		let rate = 0;
		let ahead = 0;
		for (const endpoint of state.cfg.eligible(req.target, req.cls.name)) {
			const { lastReply: reply } = this.heldSlots(endpoint.name);
			rate += reply?.completionsPerS ?? 0;
			ahead = Math.max(ahead, countAhead(reply, req.cls.tier));
		}
		return rate > 0 ? (ahead / rate) * 1000 : 0;
	}

	mayDispatch(endpoint: string): boolean {
		return this.heldSlots(endpoint).lastReply?.isUnavailable !== true;
	}

	private useGrants(state: SchedulingState, starts: SlotAssignment[]): void {
		for (const holding of this.holdings.values()) {
			const endpoint = state.cfg.endpointNamed(holding.endpoint);
			for (const grant of holding.takeNewGrants()) {
				const req = endpoint && this.bestFor(state, endpoint, grant.tier, grant.floorClass);
				if (req) {
					const floor = grant.floorClass !== undefined;
					starts.push(this.start(state, holding, req, floor));
				} else if (grant.floorClass === undefined) {
					holding.keepOrReturnSlot(state.now);
				}
			}
		}
	}

	private bestFor(
		state: SchedulingState,
		endpoint: Endpoint,
		tier: number,
		floor: NameHash | undefined,
	): Request | undefined {
		const accepts = (head: Request) => {
			const fits =
				floor === undefined ? head.cls.tier <= tier : rendezvous.hashName(head.cls.name) === floor;
			return fits && isEligible(state, endpoint, head);
		};
		const candidates = state.queue.selectBest(state.now, state.ordering, wantedPerGroup, accepts);
		return candidates.find(({ req }) => !avoids(req, endpoint.name, state.now))?.req;
	}

	private useIdle(state: SchedulingState, starts: SlotAssignment[]): void {
		let idle = 0;
		for (const holding of this.holdings.values()) {
			idle += holding.usableIdleSlots;
		}
		if (idle === 0 || state.queue.size === 0) {
			return;
		}
		const candidates = state.queue.selectBest(state.now, state.ordering, idle, () => true);
		for (const { req } of candidates) {
			const holding = this.leastLoadedIdle(state, req);
			if (holding) {
				holding.idleSlots--;
				starts.push(this.start(state, holding, req, false));
			}
		}
	}

	private leastLoadedIdle(state: SchedulingState, req: Request): HeldSlots | undefined {
		let best: HeldSlots | undefined;
		let bestLoad = Number.POSITIVE_INFINITY;
		for (const endpoint of state.cfg.eligible(req.target, req.cls.name)) {
			const holding = this.heldSlots(endpoint.name);
			const open = holding.usableIdleSlots > 0 && !avoids(req, endpoint.name, state.now);
			const load = open ? holding.load : Number.POSITIVE_INFINITY;
			if (load < bestLoad) {
				best = holding;
				bestLoad = load;
			}
		}
		return best;
	}

	private start(
		state: SchedulingState,
		holding: HeldSlots,
		req: Request,
		floor: boolean,
	): SlotAssignment {
		state.queue.remove(req);
		const slot: Slot = { endpoint: holding.endpoint, isFloor: floor, startedAt: state.now };
		holding.recordStart(req, floor, state.now);
		return { req, slot };
	}

	private groupEndpoints(state: SchedulingState): void {
		if (this.cachedFor !== state.cfg) {
			this.cachedFor = state.cfg;
			this.groups = selectEndpointSubsets(state.cfg, this.opts.self, this.opts.fleetSize());
		}
	}

	/** True when some owners have not been told of waiting work. */
	private reportGroup(state: SchedulingState, endpoints: Endpoint[]): boolean {
		const [sample] = endpoints;
		if (!sample) {
			return false;
		}
		const accepts = (head: Request) => isEligible(state, sample, head);
		const candidates =
			state.queue.size === 0
				? []
				: state.queue.selectBest(state.now, state.ordering, wantedPerGroup, accepts);
		const wanted = pickWanted(candidates);
		const backlog = [...state.queue.countByTier(accepts).entries()];
		const urgentAt = this.urgentEndpoint(endpoints);
		const holdings = endpoints.map((endpoint) => this.heldSlots(endpoint.name));
		const asked = selectReportTargets(holdings, wanted, state.now);
		for (const holding of holdings) {
			const mayUrge = holding.endpoint === urgentAt;
			const want = wanted
				.filter(({ req }) => asked.has(holding) && !avoids(req, holding.endpoint, state.now))
				.map((candidate) => ticketOf(state, candidate, mayUrge));
			holding.updateSlotRequests(want, state.now);
			if (isDue(holding, state.now)) {
				this.sendReport(state, holding, want, backlog);
			}
		}
		return asked.size < holdings.length;
	}

	private sendReport(
		state: SchedulingState,
		holding: HeldSlots,
		want: SlotRequest[],
		backlog: [number, number][],
	): void {
		const owner = this.opts.ownerOf(holding.endpoint);
		if (owner === undefined) {
			return;
		}
		holding.owner = owner;
		const report = holding.buildReport(want, backlog, state.now, this.opts.isPreemptable);
		this.opts.sendReport(owner, report);
	}

	/** The endpoint that runs the lowest work; only its owner is asked to preempt. */
	private urgentEndpoint(endpoints: readonly Endpoint[]): string | undefined {
		let lowest = 0;
		let name: string | undefined;
		for (const endpoint of endpoints) {
			const tier = this.heldSlots(endpoint.name).lastReply?.lowestPreemptableTier ?? 0;
			if (tier > lowest) {
				lowest = tier;
				name = endpoint.name;
			}
		}
		return name;
	}
}

/** The best few, and the first of each class that is not among them. */
function pickWanted(candidates: readonly Candidate[]): Candidate[] {
	const wanted = candidates.slice(0, wantedBest);
	const classes = new Set(wanted.map(({ req }) => req.cls.name));
	for (const candidate of candidates.slice(wantedBest)) {
		if (!classes.has(candidate.req.cls.name)) {
			classes.add(candidate.req.cls.name);
			wanted.push(candidate);
		}
	}
	return wanted;
}

function isDue(holding: HeldSlots, now: number): boolean {
	const unanswered = holding.sentSeq > holding.ackedSeq;
	const resend = unanswered && now - holding.sentAt > resendMs;
	const refresh = !holding.isEmpty && now - holding.sentAt > refreshMs;
	return holding.isReportUrgent || now >= holding.reportDueAt || resend || refresh;
}

function ticketOf(state: SchedulingState, candidate: Candidate, mayUrge: boolean): SlotRequest {
	const { req } = candidate;
	const waited = state.now - req.waitingSince;
	const patience = state.cfg.document.policy.preempt_after * req.cls.first_token_ms;
	return {
		ticket: req.ticket,
		tier: req.cls.tier,
		classHash: rendezvous.hashName(req.cls.name),
		customerHash: rendezvous.hashName(req.customer),
		slackMs: Math.round(candidate.slackMs - state.ordering.firstTokenLeadMs(req)),
		isLate: candidate.isLate,
		waitedMs: Math.round(waited),
		requestsPreemption: mayUrge && waited > patience,
	};
}

function isEligible(state: SchedulingState, endpoint: Endpoint, req: Request): boolean {
	return state.cfg.eligible(req.target, req.cls.name).includes(endpoint);
}

function countAhead(reply: OwnerReply | undefined, tier: number): number {
	let ahead = 0;
	for (const [other, count] of reply?.waitingByTier ?? []) {
		ahead += other <= tier ? count : 0;
	}
	return ahead;
}
