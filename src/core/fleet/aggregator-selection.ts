/**
 * Selects the aggregators of each failure domain, which keeps the number of gossip messages from growing with the square of
 * the fleet: 195 VMs that all told each other sent 31,000 datagrams a second and heard of each other's work only each 1.2 s. All
 * VMs compute the same ranking, so they agree without an election; silent aggregators are excluded for a while.
 * @module
 */
import * as rendezvous from '../membership/rendezvous.js';
import type { HostPort } from '../relay/settings.js';
import { addressOf } from './address.js';
import { smallFleetSize } from './reader-selection.js';

/** Maximum VMs per aggregator, on average over a domain; it then sends some forty datagrams a round. */
const maxVmsPerAggregator = 32;
/**
 * A silent aggregator is excluded for as long as a VM takes to start. The time doubles with each repetition, since a
 * registration may outlive its VM by 20 s.
 */
const minExclusionMs = 4000;
const maxExclusionMs = 16_000;

/** A VM as described by its registration. */
export interface RegisteredVm {
	name: string;
	/** Failure domain. */
	domain: string;
	/** Where the VM receives gossip. */
	address: HostPort;
	/** CPU quota in cores. */
	cores: number;
}

interface Exclusion {
	until: number;
	durationMs: number;
}

export class AggregatorSelection {
	private readonly exclusions = new Map<string, Exclusion>();
	private others?: readonly RegisteredVm[];
	private vms: readonly RegisteredVm[] = [];
	private key = '';
	/** VMs of each domain in order of preference. */
	private ranked = new Map<string, RegisteredVm[]>();
	/** Cached choice while no VM is excluded. */
	private firstChoice?: RegisteredVm;
	private isStopping = false;

	constructor(private readonly self: RegisteredVm) {}

	/** @param others registered VMs except this one */
	update(others: readonly RegisteredVm[]): void {
		if (others === this.others) {
			return;
		}
		this.others = others;
		const vms = [this.self, ...others];
		const key = vms.map((vm) => `${vm.name} ${addressOf(vm.address)} ${vm.cores}`).join(',');
		if (key !== this.key) {
			this.key = key;
			this.vms = vms;
			this.ranked = rank(vms);
			this.firstChoice = undefined;
		}
	}

	/** Whether this VM is stopping and no longer acts as an aggregator. */
	get isRetired(): boolean {
		return this.isStopping;
	}

	set isRetired(isStopping: boolean) {
		this.isStopping = isStopping;
		this.firstChoice = undefined;
	}

	/** Whether other VMs are registered. */
	get hasOthers(): boolean {
		return this.vms.length > 1;
	}

	/** Whether the fleet is small enough that each VM sends gossip to all others. */
	get isSmallFleet(): boolean {
		return this.vms.length <= smallFleetSize;
	}

	/** Returns the VM that this one should report to; it may be this one itself. */
	chooseAggregator(now: number): RegisteredVm {
		if (this.isSmallFleet) {
			return this.self;
		}
		if (this.exclusions.size > 0) {
			return this.selectByScore(now);
		}
		this.firstChoice ??= this.selectByScore(now);
		return this.firstChoice;
	}

	private selectByScore(now: number): RegisteredVm {
		const candidates = this.topOf(this.self.domain, now);
		const scored = candidates.map((vm) => ({
			vm,
			score: rendezvous.scoreOf(this.self.name, vm.name),
		}));
		scored.sort((a, b) => b.score - a.score);
		return scored[0]?.vm ?? this.self;
	}

	/**
	 * Returns the VMs that should receive this VM's sums while it is an aggregator. Includes the preferred VMs of each
	 * domain even while they are excluded, so both sides reconnect at once after a network partition.
	 */
	getOtherAggregators(now: number): HostPort[] {
		const selected = this.isSmallFleet
			? this.vms
			: [...this.ranked].flatMap(([domain, ranked]) => [
					...ranked.slice(0, aggregatorCount(ranked)),
					...this.topOf(domain, now),
				]);
		return selected.filter((vm) => vm.name !== this.self.name).map((vm) => vm.address);
	}

	/** Excludes a VM that did not answer. */
	exclude(address: string, now: number): void {
		const previousMs = this.exclusions.get(address)?.durationMs ?? 0;
		const durationMs = Math.min(Math.max(minExclusionMs, previousMs * 2), maxExclusionMs);
		this.exclusions.set(address, { until: now + durationMs, durationMs });
	}

	/** Ends the exclusion of a VM that answered. */
	readmit(address: string): void {
		this.exclusions.delete(address);
	}

	isExcluded(address: string, now: number): boolean {
		return now < (this.exclusions.get(address)?.until ?? 0);
	}

	/** Returns the preferred VMs of a domain that are not excluded, as many as it needs. */
	private topOf(domain: string, now: number): RegisteredVm[] {
		const ranked = this.ranked.get(domain) ?? [];
		const usable = ranked.filter((vm) => this.isUsable(vm, now));
		return usable.slice(0, aggregatorCount(ranked));
	}

	private isUsable(vm: RegisteredVm, now: number): boolean {
		if (vm.name === this.self.name) {
			return !this.isStopping;
		}
		return this.exclusions.size === 0 || !this.isExcluded(addressOf(vm.address), now);
	}
}

/** Returns the number of aggregators that a domain needs. */
function aggregatorCount(ranked: readonly RegisteredVm[]): number {
	return Math.ceil(ranked.length / maxVmsPerAggregator);
}

/** Ranks the VMs of each domain, those with the most CPU first, since aggregation is costly for small VMs. */
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
