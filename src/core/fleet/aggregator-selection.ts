/**
 * Which VMs gather the news of a failure domain and pass on its sums. If every VM tells every other, messages grow
 * with the square of the fleet: 195 VMs sent 31,000 datagrams a second, and still heard each other's work only each
 * 1.2 s, which is older than most targets. With one aggregator for each 32 VMs of a domain each VM sends to one, and an aggregator to
 * its members and the other aggregators.
 *
 * All VMs rank the registered ones alike, so they agree without a vote; a wrong guess costs a datagram. One that is
 * silent is passed over for a while. No VM needs the role to be confirmed: one that gets reports serves them.
 * @module
 */
import * as rendezvous from '../membership/rendezvous.js';
import type { HostPort } from '../relay/settings.js';
import { smallFleetSize } from './reader-selection.js';

/** VMs of one aggregator in the mean, at the most: its datagrams are then some forty each round. */
const membersEach = 32;
/**
 * A silent aggregator is passed over for so long, in milliseconds: as long as a VM takes to start. Each time that it is
 * found silent again the time doubles, up to the longest: a registration outlives its VM by up to 20 s.
 */
const firstPassOverMs = 4000;
const longestPassOverMs = 16_000;

/** A VM as its registration tells. */
export interface RegisteredVm {
	name: string;
	/** Failure domain. */
	domain: string;
	/** Where it hears news. */
	address: HostPort;
	/** Processor that it has, in cores. */
	cores: number;
}

interface PassedOver {
	until: number;
	lastMs: number;
}

export class AggregatorSelection {
	private readonly passedOver = new Map<string, PassedOver>();
	private listed?: readonly RegisteredVm[];
	private vms: readonly RegisteredVm[] = [];
	private key = '';
	/** VMs of each domain, the first choice first. */
	private ranked = new Map<string, RegisteredVm[]>();
	/** The choice while none is passed over; looked up several times a second. */
	private firstChoice?: RegisteredVm;
	private isStopping = false;

	constructor(private readonly self: RegisteredVm) {}

	/** @param others those registered beside this VM */
	update(others: readonly RegisteredVm[]): void {
		if (others === this.listed) {
			return;
		}
		this.listed = others;
		const vms = [this.self, ...others];
		const key = vms.map((vm) => `${vm.name} ${addressOf(vm.address)} ${vm.cores}`).join(',');
		if (key !== this.key) {
			this.key = key;
			this.vms = vms;
			this.ranked = rank(vms);
			this.firstChoice = undefined;
		}
	}

	/** This VM stops: it serves nobody. */
	get isRetired(): boolean {
		return this.isStopping;
	}

	set isRetired(isRetired: boolean) {
		this.isStopping = isRetired;
		this.firstChoice = undefined;
	}

	/** Whether another VM is registered. */
	get hasOthers(): boolean {
		return this.vms.length > 1;
	}

	/** In a small fleet each VM tells all others itself. */
	get isSmallFleet(): boolean {
		return this.vms.length <= smallFleetSize;
	}

	/** The VM that should gather this VM's news; it may be this one. */
	chooseAggregator(now: number): RegisteredVm {
		if (this.isSmallFleet) {
			return this.self;
		}
		if (this.passedOver.size > 0) {
			return this.choose(now);
		}
		this.firstChoice ??= this.choose(now);
		return this.firstChoice;
	}

	private choose(now: number): RegisteredVm {
		const first = this.firstOf(this.self.domain, now);
		const scored = first.map((vm) => ({
			vm,
			score: rendezvous.scoreOf(this.self.name, vm.name),
		}));
		scored.sort((a, b) => b.score - a.score);
		return scored[0]?.vm ?? this.self;
	}

	/**
	 * Other VMs that should be told this VM's sums while it is an aggregator. The first choice of each domain is told also
	 * when it is passed over: after a cut between domains both sides are heard at once.
	 */
	otherAggregators(now: number): HostPort[] {
		const chosen = this.isSmallFleet
			? this.vms
			: [...this.ranked].flatMap(([domain, ranked]) => [
					...ranked.slice(0, countOf(ranked)),
					...this.firstOf(domain, now),
				]);
		return chosen.filter((vm) => vm.name !== this.self.name).map((vm) => vm.address);
	}

	/** A VM did not answer where it should have. */
	exclude(address: string, now: number): void {
		const before = this.passedOver.get(address)?.lastMs ?? 0;
		const lastMs = Math.min(Math.max(firstPassOverMs, before * 2), longestPassOverMs);
		this.passedOver.set(address, { until: now + lastMs, lastMs });
	}

	/** A VM serves as it should. */
	readmit(address: string): void {
		this.passedOver.delete(address);
	}

	isExcluded(address: string, now: number): boolean {
		return now < (this.passedOver.get(address)?.until ?? 0);
	}

	/** The first of a domain that are not passed over, as many as its size asks for. */
	private firstOf(domain: string, now: number): RegisteredVm[] {
		const ranked = this.ranked.get(domain) ?? [];
		const usable = ranked.filter((vm) => this.isUsable(vm, now));
		return usable.slice(0, countOf(ranked));
	}

	private isUsable(vm: RegisteredVm, now: number): boolean {
		if (vm.name === this.self.name) {
			return !this.isStopping;
		}
		return this.passedOver.size === 0 || !this.isExcluded(addressOf(vm.address), now);
	}
}

/** Aggregators that a domain needs. */
function countOf(ranked: readonly RegisteredVm[]): number {
	return Math.ceil(ranked.length / membersEach);
}

export function addressOf({ host, port }: HostPort): string {
	return `${host}:${port}`;
}

export function parseAddress(text: string): HostPort {
	const at = text.lastIndexOf(':');
	return { host: text.slice(0, at), port: Number(text.slice(at + 1)) };
}

/** The VMs with the most processor first: the smallest spend a third of a core on what the largest hardly notice. */
function rank(vms: readonly RegisteredVm[]): Map<string, RegisteredVm[]> {
	const ranked = new Map<string, RegisteredVm[]>();
	for (const vm of vms) {
		ranked.set(vm.domain, [...(ranked.get(vm.domain) ?? []), vm]);
	}
	for (const [domain, ofDomain] of ranked) {
		const scores = new Map(ofDomain.map((vm) => [vm.name, rendezvous.scoreOf(domain, vm.name)]));
		const scoreOf = (vm: RegisteredVm) => scores.get(vm.name) ?? 0;
		ofDomain.sort((a, b) => b.cores - a.cores || scoreOf(b) - scoreOf(a));
	}
	return ranked;
}
