/**
 * Chooses the VM that forwards a request: the least loaded one by this VM's own requests, preferably of the own failure domain.
 * VMs that refuse or fail are passed over for a while.
 * @module
 */
import type { Clock, Random } from '../definitions.js';
import { addressOf } from '../fleet/address.js';
import type { RegisteredVm } from '../fleet/aggregator-selection.js';
import type { ForwardRefusal } from './types.js';
import { forwardRefusals } from './types.js';

/** First and longest time for which a VM that cannot forward is passed over, in milliseconds. */
const minExclusionMs = 1000;
const maxExclusionMs = 8000;
/** Time for which an overloaded VM is passed over by requests that are not more urgent, in milliseconds. */
const overloadExclusionMs = 300;
/** A VM of another failure domain is chosen where it has less than this share of the load of one of the own domain. */
const otherDomainShare = 0.5;
/** Retry times of callers while all VMs are overloaded, in seconds; spread, so that callers do not return together. */
const minRetryAfterS = 0.3;
const retrySpreadS = 0.6;

interface Exclusion {
	/** Monotonic milliseconds. */
	until: number;
	durationMs: number;
	/** Requests of this urgency and of less urgent ones pass the VM over. */
	fromUrgency: number;
}

/** One request's use of a VM that forwards it. */
export interface HelperCall {
	readonly name: string;
	/** Where the VM accepts requests to forward, as IP:PORT. */
	readonly address: string;
	/** The VM no longer works on the request. */
	release(): void;
	/** The VM passed on an answer of the engine. */
	recordAnswer(): void;
	recordRefusal(refusal: ForwardRefusal): void;
	/** The connection to the VM failed, or it fell silent. */
	recordFailure(): void;
}

export interface HelperSelectionOptions {
	clock: Clock;
	random: Random;
	/** Failure domain of this VM. */
	domain: string;
	/** Other registered VMs. */
	getOthers: () => readonly RegisteredVm[];
	/** Called when no registered VM uses an address any more at which one forwarded requests, as IP:PORT. */
	onAddressUnused: (address: string) => void;
}

export class HelperSelection {
	/** By the VM's name. */
	private readonly exclusions = new Map<string, Exclusion>();
	private readonly running = new Map<string, number>();
	private readonly usedAddresses = new Set<string>();

	constructor(private readonly opts: HelperSelectionOptions) {}

	/** Whether some VM may be able to forward, be it overloaded now. */
	get hasHelpers(): boolean {
		const { now } = this;
		return this.opts.getOthers().some(({ name }) => {
			const exclusion = this.exclusions.get(name);
			return !exclusion || exclusion.fromUrgency > 0 || now >= exclusion.until;
		});
	}

	/** When callers of refused requests should retry, in seconds. */
	get retryAfterS(): number {
		return Math.round((minRetryAfterS + this.opts.random.next() * retrySpreadS) * 10) / 10;
	}

	/** @returns undefined while no VM accepts requests of this urgency */
	choose(urgency: number): HelperCall | undefined {
		let best: RegisteredVm | undefined;
		let bestLoad = Number.POSITIVE_INFINITY;
		for (const vm of this.opts.getOthers()) {
			const load = this.isExcluded(vm, urgency) ? Number.POSITIVE_INFINITY : this.loadOf(vm);
			if (load < bestLoad) {
				best = vm;
				bestLoad = load;
			}
		}
		return best && this.createCall(best, urgency);
	}

	/** Forgets VMs that are no longer registered. */
	sweep(): void {
		const others = this.opts.getOthers();
		const names = new Set(others.map(({ name }) => name));
		for (const name of this.exclusions.keys()) {
			if (!names.has(name)) {
				this.exclusions.delete(name);
			}
		}
		const addresses = new Set(others.map(({ address }) => addressOf(address)));
		for (const address of this.usedAddresses) {
			if (!addresses.has(address)) {
				this.usedAddresses.delete(address);
				this.opts.onAddressUnused(address);
			}
		}
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	/** Running requests per core, with a random part that breaks ties. */
	private loadOf({ name, cores, domain }: RegisteredVm): number {
		const load = ((this.running.get(name) ?? 0) + this.opts.random.next()) / cores;
		return domain === this.opts.domain ? load * otherDomainShare : load;
	}

	private isExcluded({ name }: RegisteredVm, urgency: number): boolean {
		const exclusion = this.exclusions.get(name);
		return (
			exclusion !== undefined && this.now < exclusion.until && urgency >= exclusion.fromUrgency
		);
	}

	private createCall({ name, address }: RegisteredVm, urgency: number): HelperCall {
		this.changeRunning(name, 1);
		this.usedAddresses.add(addressOf(address));
		let isReleased = false;
		return {
			name,
			address: addressOf(address),
			release: () => {
				if (!isReleased) {
					isReleased = true;
					this.changeRunning(name, -1);
				}
			},
			recordAnswer: () => this.exclusions.delete(name),
			recordRefusal: (refusal) => this.recordRefusal(name, urgency, refusal),
			recordFailure: () => this.exclude(name),
		};
	}

	private changeRunning(name: string, change: number): void {
		const running = (this.running.get(name) ?? 0) + change;
		if (running > 0) {
			this.running.set(name, running);
		} else {
			this.running.delete(name);
		}
	}

	private recordRefusal(name: string, urgency: number, refusal: ForwardRefusal): void {
		switch (refusal) {
			case forwardRefusals.engineUnavailable:
			case forwardRefusals.engineUnreachable:
				return;
			case forwardRefusals.overloaded:
				this.excludeOverloaded(name, urgency);
				return;
			default:
				this.exclude(name);
		}
	}

	private excludeOverloaded(name: string, urgency: number): void {
		const known = this.exclusions.get(name);
		const isLonger = known !== undefined && this.now < known.until && known.fromUrgency <= urgency;
		if (!isLonger) {
			const until = this.now + overloadExclusionMs;
			this.exclusions.set(name, { until, durationMs: 0, fromUrgency: urgency });
		}
	}

	private exclude(name: string): void {
		const previousMs = this.exclusions.get(name)?.durationMs ?? 0;
		const durationMs = Math.min(Math.max(minExclusionMs, previousMs * 2), maxExclusionMs);
		this.exclusions.set(name, { until: this.now + durationMs, durationMs, fromUrgency: 0 });
	}
}
