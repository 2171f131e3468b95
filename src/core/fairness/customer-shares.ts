/**
 * Shares scarce room out among customers, for the load of one that sends many times its usual: by the work that its requests cost, over
 * all VMs. A customer that asks for more than its share has the same part of its work within it on each VM, so none needs to know what
 * the others let in at the same moment, and asking again raises nothing but what lies beyond.
 * @module
 */
import type { Clock } from '../definitions.js';
import { refOf } from '../fleet/refs.js';
import type { ServiceRoom } from './service-shares.js';
import { ServiceShares } from './service-shares.js';
import type { CustomerStanding, ServiceRef, ServiceWork } from './types.js';

/** Customers that one VM names, and sums of several do: with the rows of engines they have to fit one datagram. */
const mostOwn = 16;
const mostOfSums = 24;
/** Lots are drawn anew after this time, in milliseconds: a caller that comes back later than at once has another. */
const lotMs = 1000;

export class CustomerShares {
	private readonly services = new Map<ServiceRef, ServiceShares>();

	constructor(private readonly clock: Clock) {}

	/**
	 * A request came, whether it is let in or not.
	 * @param workMs how long it keeps an engine busy
	 * @param isUrgent it is let in whatever the load
	 */
	asked(service: string, customer: string, workMs: number, isUrgent: boolean): void {
		const asked = { customer: refOf(customer), workMs, isUrgent };
		this.sharesOf(refOf(service)).asked(asked, this.now);
	}

	standingOf(service: string, customer: string, room: ServiceRoom): CustomerStanding {
		return this.sharesOf(refOf(service)).standingOf(refOf(customer), room, this.now);
	}

	/**
	 * A number from 0 up to 1 that looks random and is the same for a request that comes again at once, on whatever VM: what lies within a
	 * share is drawn by it, so that repeating wins nothing.
	 * @param content stands for what the request asks
	 */
	lotOf(content: string): number {
		const turn = Math.floor(this.clock.wall() / lotMs);
		return refOf(`${turn} ${content}`) / 2 ** 32;
	}

	/** @param names VMs whose sums are added to what this VM was asked */
	export(names: readonly string[]): ServiceWork[] {
		const told = [...this.services.values()].filter((shares) => shares.hasWork(names));
		const most = (names.length === 0 ? mostOwn : mostOfSums) / told.length;
		return told.map((shares) => shares.export(names, Math.floor(most), this.now));
	}

	/**
	 * What another VM tells, in place of what it told before.
	 * @param isWhole it speaks for the whole fleet, this VM included
	 */
	take(from: string, told: readonly ServiceWork[], isWhole: boolean): void {
		const named = new Map(told.map((work) => [work.service, work]));
		for (const ref of new Set([...this.services.keys(), ...named.keys()])) {
			const work = named.get(ref);
			if (work) {
				this.sharesOf(ref).take(from, work, isWhole);
			} else {
				this.sharesOf(ref).forget(from);
			}
		}
	}

	/** Another VM no longer tells anything. */
	forget(from: string): void {
		for (const shares of this.services.values()) {
			shares.forget(from);
		}
	}

	private get now(): number {
		return this.clock.monotonic();
	}

	private sharesOf(service: ServiceRef): ServiceShares {
		const shares = this.services.get(service) ?? new ServiceShares(service);
		this.services.set(service, shares);
		return shares;
	}
}
