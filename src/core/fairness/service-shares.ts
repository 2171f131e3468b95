/**
 * How much work each customer asks of one service, over all VMs, and what it may have of it.
 * @module
 */
import { DecayingSum } from './decaying-sum.js';
import { maxMinShare, partWithin } from './max-min.js';
import type {
	CustomerRef,
	CustomerStanding,
	CustomerWork,
	ServiceRef,
	ServiceWork,
} from './types.js';

/** Customers that ask for less are forgotten, in engines kept busy: news tell thousandths. */
const leastAsked = 0.001;

/**
 * Refusable work counts up to so many times what the engines have left for it: then what they do is let in at the middle of the range at the
 * latest, and repeating, which adds to what is asked for, does not push the queues to its end.
 */
const mostRefusable = 2;

/** How much room there is in a service. */
export interface ServiceRoom {
	/** Part of all refusable work that is let in. */
	letIn: number;
	/** Engines that take work. */
	engines: number;
}

/** One request's work, and for whom it is. */
export interface AskedWork {
	customer: CustomerRef;
	/** How long it keeps an engine busy, in milliseconds. */
	workMs: number;
	/** It is let in whatever the load. */
	isUrgent: boolean;
}

/** What one VM told. */
interface Told {
	work: ServiceWork;
	/** It speaks for the whole fleet, this VM included. */
	isWhole: boolean;
}

/** What this VM was asked by one customer. */
interface OwnWork {
	asked: DecayingSum;
	urgent: DecayingSum;
}

/** Work by customer. */
interface WorkSum {
	rest: number;
	byCustomer: Map<CustomerRef, CustomerWork>;
}

export class ServiceShares {
	private readonly own = new Map<CustomerRef, OwnWork>();
	private readonly told = new Map<string, Told>();
	/** Sum of what VMs told; undefined after one told anew. */
	private toldSum?: WorkSum;

	constructor(private readonly ref: ServiceRef) {}

	/** A request came, whether it is let in or not. */
	asked({ customer, workMs, isUrgent }: AskedWork, now: number): void {
		const own = this.own.get(customer) ?? { asked: new DecayingSum(), urgent: new DecayingSum() };
		this.own.set(customer, own);
		own.asked.add(workMs, now);
		if (isUrgent) {
			own.urgent.add(workMs, now);
		}
	}

	standingOf(
		customer: CustomerRef,
		{ letIn, engines }: ServiceRoom,
		now: number,
	): CustomerStanding {
		const { rest, byCustomer } = this.allWork(now);
		const all = [...byCustomer.values()];
		const urgent = all.reduce((sum, each) => sum + each.urgent, 0);
		const asked = all.reduce((sum, each) => sum + each.asked, rest);
		const refusable = asked - urgent;
		const most = Math.max(0, engines - urgent) * mostRefusable;
		const room = urgent + Math.min(refusable, most) * letIn;
		// Who asks for no more than an equal part of all work never gives way to others.
		const share = Math.max(maxMinShare(all, Math.max(0, room - rest)), asked / all.length);
		const work = byCustomer.get(customer) ?? noWork(customer);
		return { asked: work.asked, share, within: partWithin(work, share) };
	}

	/**
	 * @param names VMs whose sums are added to what this VM was asked
	 * @param most customers that are named
	 */
	export(names: readonly string[], most: number, now: number): ServiceWork {
		this.forgetIdle(now);
		const told = names.flatMap((name) => this.told.get(name)?.work ?? []);
		const sum = sumOf([this.ownWork(now), ...told]);
		const sorted = [...sum.byCustomer.values()].sort((a, b) => b.asked - a.asked);
		const left = sorted.slice(most).reduce((rest, { asked }) => rest + asked, 0);
		return { service: this.ref, rest: sum.rest + left, customers: sorted.slice(0, most) };
	}

	/** Whether there is anything to tell. */
	hasWork(names: readonly string[]): boolean {
		return this.own.size > 0 || names.some((name) => this.told.has(name));
	}

	take(from: string, work: ServiceWork, isWhole: boolean): void {
		this.told.set(from, { work, isWhole });
		this.toldSum = undefined;
	}

	forget(from: string): void {
		this.told.delete(from);
		this.toldSum = undefined;
	}

	/** What was told may contain what this VM was asked, but for the last moments. */
	private allWork(now: number): WorkSum {
		this.toldSum ??= sumOf([...this.told.values()].map(({ work }) => work));
		const isWhole = [...this.told.values()].some((told) => told.isWhole);
		const { rest, byCustomer } = this.toldSum;
		const all = new Map(byCustomer);
		for (const own of this.ownWork(now).customers) {
			const told = byCustomer.get(own.customer) ?? noWork(own.customer);
			all.set(own.customer, isWhole ? larger(told, own) : added(told, own));
		}
		return { rest, byCustomer: all };
	}

	private ownWork(now: number): ServiceWork {
		const customers = [...this.own].map(([customer, { asked, urgent }]) => {
			return { customer, asked: asked.read(now), urgent: urgent.read(now) };
		});
		return { service: this.ref, rest: 0, customers };
	}

	private forgetIdle(now: number): void {
		for (const [customer, { asked }] of this.own) {
			if (asked.read(now) < leastAsked) {
				this.own.delete(customer);
			}
		}
	}
}

function noWork(customer: CustomerRef): CustomerWork {
	return { customer, asked: 0, urgent: 0 };
}

function added(a: CustomerWork, b: CustomerWork): CustomerWork {
	return { customer: a.customer, asked: a.asked + b.asked, urgent: a.urgent + b.urgent };
}

function larger(a: CustomerWork, b: CustomerWork): CustomerWork {
	return a.asked < b.asked ? b : a;
}

function sumOf(all: readonly ServiceWork[]): WorkSum {
	const byCustomer = new Map<CustomerRef, CustomerWork>();
	let rest = 0;
	for (const work of all) {
		rest += work.rest;
		for (const each of work.customers) {
			byCustomer.set(
				each.customer,
				added(byCustomer.get(each.customer) ?? noWork(each.customer), each),
			);
		}
	}
	return { rest, byCustomer };
}
