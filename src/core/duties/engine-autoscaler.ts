/**
 * Orders engines by demand, on the VM that holds the duty: compares the plan with present and ordered engines and sends the
 * orders that are missing. An unanswered order is sent again under a higher token, so that the platform refuses the first if it
 * is executed late.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { EngineRegistration } from '../engines/types.js';
import type { ScalingLimits, Service } from '../routing/types.js';
import type { DutyApi, EngineOrder } from './definitions.js';
import { dutyAnswers } from './definitions.js';
import type { DutyHolder } from './duty-holder.js';
import type { DomainEngines, DomainPlan } from './engine-plan.js';
import { planEngines } from './engine-plan.js';
import type { EngineNeed, EngineSizing, SizingStrategy } from './engine-sizing.js';
import { MaxSizing, PeakSizing, sizingStrategies } from './engine-sizing.js';

/** Interval between evaluations of the plan. */
const planIntervalMs = 250;
/** A new holder does not scale down for this long, until gossip of all VMs has arrived. */
const scaleDownGraceMs = 3000;
/** Spot engines are scaled down only after the plan was lower for this long. */
const scaleDownDelayMs = 8000;
/** A plan that is lower by less than this share does not scale down spot engines. */
const scaleDownHysteresis = 0.1;
/** Time allowed for registration beyond the boot time before an engine counts as missing. */
const registrationGraceMs = 3000;
/** Time after which spot engines are ordered again in a domain that had none. */
const spotRetryMs = 2500;
/** Delay before an unanswered order is sent again. */
const orderRetryMs = 300;
/** Share of the platform's call rate that orders may use; reports and other VMs need the rest. */
const maxCallShare = 0.5;

/** Last order for one kind of engine in one domain. */
interface LastOrder {
	count: number;
	orderedAt: number;
	/** Highest number of serving engines since the order. */
	maxServing: number;
	/** The platform accepted it; otherwise no answer came and it may be executed late. */
	isAccepted: boolean;
}

export interface EngineAutoscalerOptions {
	api: DutyApi;
	holder: DutyHolder;
	clock: Clock;
	log: Log;
	vm: string;
	sizing: SizingStrategy;
	/** Calls per second that the platform accepts from all VMs together. */
	callsPerSecond: number;
	/** Services whose engines may be ordered. */
	getServices: () => readonly Service[];
	/** Registered engines of a service. */
	getEngines: (service: string) => readonly EngineRegistration[];
	/** Number of engines of a service that announce a limit of requests per second. */
	countRateLimitedEngines: (service: string) => number;
	/** Current demand of the fleet, in busy engines. */
	estimateBusyEngines: (service: string) => number;
	/** Whether the list of engines and the work of the fleet are current. */
	isUpToDate: () => boolean;
	onOrdered: (order: EngineOrder) => void;
}

export class EngineAutoscaler {
	private readonly sizings = new Map<string, EngineSizing>();
	/** Number of engines of each service when this VM acquired the duty. */
	private readonly initialCounts = new Map<string, number>();
	private readonly lastOrders = new Map<string, LastOrder>();
	/** Time until which a domain is assumed to have no spot engines, in monotonic milliseconds. */
	private readonly spotUnavailableUntil = new Map<string, number>();
	/** Since when the plan has been lower than the last order. */
	private readonly excessSince = new Map<string, number>();
	private heldSince?: number;
	private nextPlanAt = Number.NEGATIVE_INFINITY;
	private isBusy = false;
	/** Rate limit of calls: remaining calls, and when they were last replenished. */
	private callBudget = 1;
	private budgetUpdatedAt = 0;

	constructor(private readonly opts: EngineAutoscalerOptions) {}

	/** Sends the orders that are due; called several times a second. */
	async update(): Promise<void> {
		const { now } = this;
		this.trackTerm(now);
		if (this.isBusy || this.heldSince === undefined || now < this.nextPlanAt) {
			return;
		}
		this.isBusy = true;
		this.nextPlanAt = now + planIntervalMs;
		try {
			for (const service of this.opts.getServices()) {
				await this.scaleService(service);
			}
		} finally {
			this.isBusy = false;
		}
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	/** Forgets the orders of an earlier term, because another holder may have ordered since. */
	private trackTerm(now: number): void {
		if (this.opts.holder.actingToken === undefined) {
			this.heldSince = undefined;
			this.lastOrders.clear();
			this.excessSince.clear();
			this.sizings.clear();
			this.initialCounts.clear();
			return;
		}
		this.heldSince ??= now;
	}

	private async scaleService({ name, scaling }: Service): Promise<void> {
		if (!scaling || !this.opts.isUpToDate()) {
			return;
		}
		const engines = this.opts.getEngines(name);
		this.recordInitialCount(name, initialCountOf(engines, scaling.domains.length));
		const sizing = this.sizingOf(name, scaling);
		sizing.observe(this.opts.estimateBusyEngines(name), this.now);
		const demandNeed = sizing.estimateNeed(this.now);
		if (demandNeed === undefined) {
			return;
		}
		const need = addRateLimited(demandNeed, this.opts.countRateLimitedEngines(name));
		const present = scaling.domains.map((domain) =>
			this.countDomainEngines(name, domain.name, engines, scaling),
		);
		for (const plan of planEngines(need, scaling, present)) {
			const counts = present.find(({ domain }) => domain === plan.domain);
			if (counts && !(await this.scaleDomain(name, scaling, plan, counts, need))) {
				return;
			}
		}
	}

	/** Keeps the highest count, because the list of engines may be stale at first. */
	private recordInitialCount(service: string, count: number): void {
		if (this.now - (this.heldSince ?? this.now) < scaleDownGraceMs) {
			this.initialCounts.set(service, Math.max(count, this.initialCounts.get(service) ?? 0));
		}
	}

	private sizingOf(service: string, scaling: ScalingLimits): EngineSizing {
		const sizing = this.sizings.get(service) ?? this.createSizing(service, scaling);
		this.sizings.set(service, sizing);
		return sizing;
	}

	private createSizing(service: string, scaling: ScalingLimits): EngineSizing {
		const initialEngines = () => this.initialCounts.get(service) ?? 0;
		if (this.opts.sizing === sizingStrategies.max) {
			// The maximum of all domains but one, which may be lost.
			return new MaxSizing(
				initialEngines,
				scaling.maxEngines * Math.max(1, scaling.domains.length - 1),
			);
		}
		return new PeakSizing(initialEngines);
	}

	private countDomainEngines(
		service: string,
		domain: string,
		engines: readonly EngineRegistration[],
		scaling: ScalingLimits,
	): DomainEngines {
		const here = engines.filter((engine) => engine.domain === domain && !engine.draining);
		const spot = here.filter((engine) => engine.spot).length;
		const regular = here.length - spot;
		const countBooting = (isSpot: boolean, serving: number) => {
			const lastOrder = this.lastOrders.get(orderKey(service, domain, isSpot));
			if (!lastOrder) {
				return 0;
			}
			lastOrder.maxServing = Math.max(lastOrder.maxServing, serving);
			const isFresh = this.now - lastOrder.orderedAt < scaling.bootMs + registrationGraceMs;
			return isFresh ? Math.max(0, lastOrder.count - lastOrder.maxServing) : 0;
		};
		return {
			domain,
			spot,
			regular,
			spotBooting: countBooting(true, spot),
			regularBooting: countBooting(false, regular),
			isSpotUnavailable: this.now < (this.spotUnavailableUntil.get(`${service} ${domain}`) ?? 0),
		};
	}

	/** @returns false when nothing more should be ordered for now */
	private async scaleDomain(
		service: string,
		scaling: ScalingLimits,
		plan: DomainPlan,
		counts: DomainEngines,
		need: EngineNeed,
	): Promise<boolean> {
		const { domain } = plan;
		const kinds = [
			{ spot: true, count: plan.spot, serving: counts.spot },
			{ spot: false, count: plan.regular, serving: counts.regular },
		];
		for (const { spot, count, serving } of kinds) {
			const order = { service, domain, spot, count };
			if (this.isDue(order, serving, scaling) && !(await this.sendOrder(order, serving, need))) {
				return false;
			}
		}
		return true;
	}

	private isDue(
		{ service, domain, spot, count }: EngineOrder,
		serving: number,
		scaling: ScalingLimits,
	) {
		const key = orderKey(service, domain, spot);
		const lastOrder = this.lastOrders.get(key);
		const before = lastOrder?.count ?? serving;
		if (count >= before * (1 - scaleDownHysteresis) || !spot) {
			this.excessSince.delete(key);
		}
		if (lastOrder && !lastOrder.isAccepted) {
			return this.now - lastOrder.orderedAt >= orderRetryMs;
		}
		if (count > before) {
			return true;
		}
		if (count < before) {
			return this.mayScaleDown(key, spot, count, before);
		}
		if (!lastOrder || serving >= count) {
			return false;
		}
		// Engines left or crashed since the order, or never registered.
		const isOverdue = this.now - lastOrder.orderedAt > scaling.bootMs + registrationGraceMs;
		return serving < lastOrder.maxServing || isOverdue;
	}

	/** Keeps spot engines for a while after a burst; regular ones leave as soon as enough spot engines serve. */
	private mayScaleDown(key: string, spot: boolean, count: number, before: number): boolean {
		const { now } = this;
		if (now - (this.heldSince ?? now) < scaleDownGraceMs) {
			return false;
		}
		if (!spot) {
			return true;
		}
		const since = this.excessSince.get(key) ?? now;
		this.excessSince.set(key, since);
		return count < before * (1 - scaleDownHysteresis) && now - since >= scaleDownDelayMs;
	}

	/** @returns false when nothing more should be ordered for now */
	private async sendOrder(order: EngineOrder, serving: number, need: EngineNeed): Promise<boolean> {
		const { api, holder, vm, log } = this.opts;
		const { service, domain, spot, count } = order;
		const key = orderKey(service, domain, spot);
		const isRepeat = this.lastOrders.get(key)?.isAccepted === false;
		if (isRepeat && !(await holder.raiseToken())) {
			return false;
		}
		const token = holder.actingToken;
		if (token === undefined || !this.consumeCallBudget()) {
			return false;
		}
		const before = this.lastOrders.get(key);
		this.lastOrders.set(key, {
			count,
			orderedAt: this.now,
			maxServing: serving,
			isAccepted: false,
		});
		const answer = await api.orderEngines({ vm, token }, order);
		await holder.recordCallResult(answer !== dutyAnswers.unknown);
		const busy = Number(this.opts.estimateBusyEngines(service).toFixed(1));
		const fields = { service, domain, spot, count, serving, ...need, busy, token, answer };
		log.info('engines.ordered', fields);
		if (answer === dutyAnswers.done) {
			this.lastOrders.set(key, {
				count,
				orderedAt: this.now,
				maxServing: serving,
				isAccepted: true,
			});
			this.opts.onOrdered(order);
			return true;
		}
		if (answer === dutyAnswers.busy) {
			// Not executed, so the previous order still applies.
			this.restoreLastOrder(key, before);
			return false;
		}
		return answer === dutyAnswers.refused && this.handleRefusal(order, token);
	}

	private restoreLastOrder(key: string, before: LastOrder | undefined): void {
		if (before) {
			this.lastOrders.set(key, before);
		} else {
			this.lastOrders.delete(key);
		}
	}

	/** Consumes one call of the rate limit; returns false when none is left. */
	private consumeCallBudget(): boolean {
		const perMs = (this.opts.callsPerSecond * maxCallShare) / 1000;
		const maxBudget = Math.max(1, this.opts.callsPerSecond * maxCallShare);
		this.callBudget = Math.min(
			maxBudget,
			this.callBudget + (this.now - this.budgetUpdatedAt) * perMs,
		);
		this.budgetUpdatedAt = this.now;
		if (this.callBudget < 1) {
			return false;
		}
		this.callBudget--;
		return true;
	}

	/** @returns false when nothing more should be ordered for now */
	private handleRefusal({ service, domain, spot }: EngineOrder, token: number): boolean {
		this.lastOrders.delete(orderKey(service, domain, spot));
		if (spot && this.opts.holder.isLeaseValid) {
			// No other VM can hold the duty, so the refusal means that no spot engines are available.
			this.spotUnavailableUntil.set(`${service} ${domain}`, this.now + spotRetryMs);
			return true;
		}
		this.opts.holder.handleRefusal(token);
		return false;
	}
}

/** Adds replacements for rate-limited engines, which contribute little capacity. */
function addRateLimited({ wanted, required }: EngineNeed, limitedCount: number): EngineNeed {
	return { wanted: wanted + limitedCount, required: required + limitedCount };
}

/** Number of engines without the surplus that covers the loss of a domain. */
function initialCountOf(engines: readonly EngineRegistration[], domains: number): number {
	const present = engines.filter(({ draining }) => !draining);
	const spot = present.filter((engine) => engine.spot).length;
	return present.length - Math.ceil(spot / Math.max(2, domains));
}

function orderKey(service: string, domain: string, spot: boolean): string {
	return `${service} ${domain} ${spot ? 'spot' : 'regular'}`;
}
