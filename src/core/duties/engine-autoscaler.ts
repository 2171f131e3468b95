/**
 * Orders engines by need, at the VM that holds the duty: compares the plan with what is there and what was ordered, and
 * gives the orders that are missing. An order that got no answer is given again under a higher token, so that the lost one
 * is refused when it is carried out late.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { EngineEntry } from '../engines/types.js';
import type { ScalingLimits, Service } from '../routing/types.js';
import type { DutyApi, EngineOrder } from './definitions.js';
import { dutyAnswers } from './definitions.js';
import type { DutyHolder } from './duty-holder.js';
import type { DomainEngines, DomainPlan } from './engine-plan.js';
import { planEngines } from './engine-plan.js';
import type { EngineNeed, EngineSizing, SizingStrategy } from './engine-sizing.js';
import { MaxSizing, PeakSizing, sizingStrategies } from './engine-sizing.js';

/** Between two looks at the plan, in milliseconds. */
const lookMs = 250;
/** A new holder looks on for so long before it orders fewer engines, in milliseconds: news of all VMs have come by then. */
const lookOnMs = 3000;
/** Fewer engines are ordered only when the plan has wanted fewer for so long, in milliseconds. */
const lowerAfterMs = 8000;
/** A plan that is lower by less than this share is not followed. */
const lowerShare = 0.1;
/** Engines that were ordered register within the boot time and so much more, in milliseconds; else they are ordered again. */
const registerMs = 3000;
/** A domain without engines that may be taken away is asked again after so long, in milliseconds. */
const dryMs = 2500;
/** Between two tries of an order that brought nothing, in milliseconds. */
const retryMs = 300;

/** Share of the calls that the platform takes which orders may use: reports and other VMs' calls need the rest. */
const callShare = 0.5;

/** What was last ordered of one kind in one domain. */
interface Ordered {
	count: number;
	at: number;
	/** Most engines that have served since. */
	served: number;
	/** The platform took it; else no answer came, and it may be carried out late. */
	isTaken: boolean;
}

export interface EngineAutoscalerOptions {
	api: DutyApi;
	holder: DutyHolder;
	clock: Clock;
	log: Log;
	vm: string;
	sizing: SizingStrategy;
	/** Calls that the platform takes in a second, from all VMs together. */
	callsPerSecond: number;
	/** Services whose engines may be ordered. */
	services: () => readonly Service[];
	/** Registered engines of a service. */
	engines: (service: string) => readonly EngineEntry[];
	/** Engines of a service that name how many requests a second they take. */
	rateLimitedEngines: (service: string) => number;
	/** Engines kept busy by what callers bring to the fleet now. */
	busyEngines: (service: string) => number;
	/** Whether engines and the fleet's work are known as they are now. */
	isUpToDate: () => boolean;
	onOrdered: (order: EngineOrder) => void;
}

export class EngineAutoscaler {
	private readonly sizings = new Map<string, EngineSizing>();
	/** Engines of each service that were wanted when this VM took the duty. */
	private readonly first = new Map<string, number>();
	private readonly ordered = new Map<string, Ordered>();
	/** Until when a domain is taken to have no engines that may be taken away, in monotonic milliseconds. */
	private readonly dryUntil = new Map<string, number>();
	/** Since when the plan wants fewer engines than were ordered. */
	private readonly lowerSince = new Map<string, number>();
	private heldSince?: number;
	private lookAt = Number.NEGATIVE_INFINITY;
	private isBusy = false;
	/** Calls that may be made now, and since when they are counted. */
	private allowance = 1;
	private allowedAt = 0;

	constructor(private readonly opts: EngineAutoscalerOptions) {}

	/** Gives the orders that are due; called several times a second. */
	async update(): Promise<void> {
		const { now } = this;
		this.noteHolding(now);
		if (this.isBusy || this.heldSince === undefined || now < this.lookAt) {
			return;
		}
		this.isBusy = true;
		this.lookAt = now + lookMs;
		try {
			for (const service of this.opts.services()) {
				await this.orderFor(service);
			}
		} finally {
			this.isBusy = false;
		}
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	/** Another holder may have ordered meanwhile: what this VM ordered before says nothing any more. */
	private noteHolding(now: number): void {
		if (this.opts.holder.actingToken === undefined) {
			this.heldSince = undefined;
			this.ordered.clear();
			this.lowerSince.clear();
			this.sizings.clear();
			this.first.clear();
			return;
		}
		this.heldSince ??= now;
	}

	private async orderFor({ name, scaling: supply }: Service): Promise<void> {
		if (!supply || !this.opts.isUpToDate()) {
			return;
		}
		const engines = this.opts.engines(name);
		this.noteFirst(name, neededFrom(engines, supply.domains.length));
		const sizing = this.sizingOf(name, supply);
		sizing.observe(this.opts.busyEngines(name), this.now);
		const forDemand = sizing.estimateNeed(this.now);
		if (forDemand === undefined) {
			return;
		}
		const need = besideLimited(forDemand, this.opts.rateLimitedEngines(name));
		const present = supply.domains.map((domain) =>
			this.present(name, domain.name, engines, supply),
		);
		for (const plan of planEngines(need, supply, present)) {
			const here = present.find(({ domain }) => domain === plan.domain);
			if (here && !(await this.orderIn(name, supply, plan, here, need))) {
				return;
			}
		}
	}

	/** The list of engines may be seconds old at first. */
	private noteFirst(service: string, count: number): void {
		if (this.now - (this.heldSince ?? this.now) < lookOnMs) {
			this.first.set(service, Math.max(count, this.first.get(service) ?? 0));
		}
	}

	private sizingOf(service: string, supply: ScalingLimits): EngineSizing {
		const sizing = this.sizings.get(service) ?? this.newSizing(service, supply);
		this.sizings.set(service, sizing);
		return sizing;
	}

	private newSizing(service: string, supply: ScalingLimits): EngineSizing {
		const first = () => this.first.get(service) ?? 0;
		if (this.opts.sizing === sizingStrategies.most) {
			// All domains but the one that may be lost.
			return new MaxSizing(first, supply.maxEngines * Math.max(1, supply.domains.length - 1));
		}
		return new PeakSizing(first);
	}

	private present(
		service: string,
		domain: string,
		engines: readonly EngineEntry[],
		supply: ScalingLimits,
	): DomainEngines {
		const here = engines.filter((engine) => engine.domain === domain && !engine.draining);
		const spot = here.filter((engine) => engine.spot).length;
		const regular = here.length - spot;
		const bootingOf = (isSpot: boolean, serving: number) => {
			const ordered = this.ordered.get(keyOf(service, domain, isSpot));
			if (!ordered) {
				return 0;
			}
			ordered.served = Math.max(ordered.served, serving);
			const isFresh = this.now - ordered.at < supply.bootMs + registerMs;
			return isFresh ? Math.max(0, ordered.count - ordered.served) : 0;
		};
		return {
			domain,
			spot,
			regular,
			spotBooting: bootingOf(true, spot),
			regularBooting: bootingOf(false, regular),
			isSpotUnavailable: this.now < (this.dryUntil.get(`${service} ${domain}`) ?? 0),
		};
	}

	/** @returns false when nothing more should be ordered for now */
	private async orderIn(
		service: string,
		supply: ScalingLimits,
		plan: DomainPlan,
		here: DomainEngines,
		need: EngineNeed,
	): Promise<boolean> {
		const { domain } = plan;
		const kinds = [
			{ spot: true, count: plan.spot, serving: here.spot },
			{ spot: false, count: plan.regular, serving: here.regular },
		];
		for (const { spot, count, serving } of kinds) {
			const order = { service, domain, spot, count };
			if (this.isDue(order, serving, supply) && !(await this.give(order, serving, need))) {
				return false;
			}
		}
		return true;
	}

	private isDue(
		{ service, domain, spot, count }: EngineOrder,
		serving: number,
		supply: ScalingLimits,
	) {
		const key = keyOf(service, domain, spot);
		const ordered = this.ordered.get(key);
		const before = ordered?.count ?? serving;
		if (count >= before * (1 - lowerShare) || !spot) {
			this.lowerSince.delete(key);
		}
		if (ordered && !ordered.isTaken) {
			return this.now - ordered.at >= retryMs;
		}
		if (count > before) {
			return true;
		}
		if (count < before) {
			return this.mayLower(key, spot, count, before);
		}
		if (!ordered || serving >= count) {
			return false;
		}
		// Engines that have left or crashed since, or were ordered and never came.
		const isOverdue = this.now - ordered.at > supply.bootMs + registerMs;
		return serving < ordered.served || isOverdue;
	}

	/** The cheaper ones are kept for a while after a burst; the others go as soon as enough of those serve. */
	private mayLower(key: string, spot: boolean, count: number, before: number): boolean {
		const { now } = this;
		if (now - (this.heldSince ?? now) < lookOnMs) {
			return false;
		}
		if (!spot) {
			return true;
		}
		const since = this.lowerSince.get(key) ?? now;
		this.lowerSince.set(key, since);
		return count < before * (1 - lowerShare) && now - since >= lowerAfterMs;
	}

	/** @returns false when nothing more should be ordered for now */
	private async give(order: EngineOrder, serving: number, need: EngineNeed): Promise<boolean> {
		const { api, holder, vm, log } = this.opts;
		const { service, domain, spot, count } = order;
		const key = keyOf(service, domain, spot);
		const isRepeat = this.ordered.get(key)?.isTaken === false;
		if (isRepeat && !(await holder.raiseToken())) {
			return false;
		}
		const token = holder.actingToken;
		if (token === undefined || !this.takeAllowance()) {
			return false;
		}
		const before = this.ordered.get(key);
		this.ordered.set(key, { count, at: this.now, served: serving, isTaken: false });
		const answer = await api.orderEngines({ vm, token }, order);
		await holder.recordCallResult(answer !== dutyAnswers.unknown);
		const busy = Number(this.opts.busyEngines(service).toFixed(1));
		const fields = { service, domain, spot, count, serving, ...need, busy, token, answer };
		log.info('engines.ordered', fields);
		if (answer === dutyAnswers.done) {
			this.ordered.set(key, { count, at: this.now, served: serving, isTaken: true });
			this.opts.onOrdered(order);
			return true;
		}
		if (answer === dutyAnswers.busy) {
			// Nothing was done: what was ordered before still stands.
			this.restore(key, before);
			return false;
		}
		return answer === dutyAnswers.refused && this.wasRefused(order, token);
	}

	private restore(key: string, before: Ordered | undefined): void {
		if (before) {
			this.ordered.set(key, before);
		} else {
			this.ordered.delete(key);
		}
	}

	/** Takes one call of what the platform allows, if there is one. */
	private takeAllowance(): boolean {
		const perMs = (this.opts.callsPerSecond * callShare) / 1000;
		const most = Math.max(1, this.opts.callsPerSecond * callShare);
		this.allowance = Math.min(most, this.allowance + (this.now - this.allowedAt) * perMs);
		this.allowedAt = this.now;
		if (this.allowance < 1) {
			return false;
		}
		this.allowance--;
		return true;
	}

	/** @returns false when nothing more should be ordered for now */
	private wasRefused({ service, domain, spot }: EngineOrder, token: number): boolean {
		this.ordered.delete(keyOf(service, domain, spot));
		if (spot && this.opts.holder.isLeaseValid) {
			// No other VM can hold the duty, so there are no such engines there now.
			this.dryUntil.set(`${service} ${domain}`, this.now + dryMs);
			return true;
		}
		this.opts.holder.handleRefusal(token);
		return false;
	}
}

/** Engines that name how few requests they take serve little: the others would have to bear what was counted on them for. */
function besideLimited({ wanted, required }: EngineNeed, limited: number): EngineNeed {
	return { wanted: wanted + limited, required: required + limited };
}

/** Engines that were wanted when this VM took the duty, by the operators or the holder before: without what a loss takes. */
function neededFrom(engines: readonly EngineEntry[], domains: number): number {
	const present = engines.filter(({ draining }) => !draining);
	const spot = present.filter((engine) => engine.spot).length;
	return present.length - Math.ceil(spot / Math.max(2, domains));
}

function keyOf(service: string, domain: string, spot: boolean): string {
	return `${service} ${domain} ${spot ? 'spot' : 'regular'}`;
}
