/**
 * Slot ledgers of the endpoints that this daemon owns. Ownership is computed from the live members,
 * without leases or calls to the key-value store.
 * @module
 */
import type { ConfigurationView, Endpoint } from '../configuration/index.js';
import { OwnerMap } from '../membership/owner-map.js';
import * as rendezvous from '../membership/rendezvous.js';
import { eventKinds } from '../timeline/index.js';
import type { AdaptiveLimitOptions } from './adaptive-limit.js';
import { floorClassesByEndpoint } from './floors.js';
import type { RecordEvent } from './slot-ledger.js';
import { SlotLedger } from './slot-ledger.js';
import type { HolderReport, OwnerReply } from './types.js';

/** A partition that sees no more than this share of the fleet uses its share of each endpoint. */
const majorityShare = 0.5;

export interface OwnedLedgersOptions {
	self: string;
	sendReply: (to: string, reply: OwnerReply) => void;
	/** Returns the epoch of a new ledger; increases with time. */
	newEpoch: () => number;
	onOwnedChanged?: (owned: readonly Endpoint[]) => void;
	recordEvent: RecordEvent;
}

export class OwnedLedgers {
	private readonly ledgers = new Map<string, SlotLedger>();
	private readonly owners = new OwnerMap();
	private cfg?: ConfigurationView;
	private capacityShare = 1;

	constructor(private readonly opts: OwnedLedgersOptions) {}

	ownerOf(endpoint: string): string | undefined {
		return this.owners.ownerOf(endpoint);
	}

	getLedger(endpoint: string): SlotLedger | undefined {
		return this.ledgers.get(endpoint);
	}

	configure(cfg: ConfigurationView, now: number): void {
		this.cfg = cfg;
		this.owners.setKeys(cfg.document.endpoints.map((endpoint) => endpoint.name));
		this.updateOwnership(now);
		this.configureLedgers(cfg);
	}

	/** Applies changed live members; `visible` is their share of the registered fleet. */
	setMembers(live: readonly string[], visible: number, now: number): void {
		this.owners.setMembers(live);
		this.capacityShare = visible > majorityShare ? 1 : visible;
		this.updateOwnership(now);
	}

	/** Removes the state of a dead member. */
	removeMember(member: string): void {
		for (const ledger of this.ledgers.values()) {
			ledger.removeHolder(member);
		}
	}

	/** Discards all ledgers, which are out of date after a pause of this process. */
	clear(): void {
		this.ledgers.clear();
	}

	/** Sets whether an owned endpoint refuses new work. */
	setUnavailable(endpoint: string, isUnavailable: boolean): void {
		this.ledgers.get(endpoint)?.setUnavailable(isUnavailable);
	}

	applyReport(from: string, report: HolderReport, now: number): void {
		this.ledgers.get(report.endpoint)?.applyReport(from, report, now);
	}

	/** Allocates the slots of all owned endpoints and sends the replies that are due. */
	allocateSlots(now: number): void {
		for (const ledger of this.ledgers.values()) {
			ledger.allocateSlots(now);
			for (const { to, reply } of ledger.takeDueReplies(now)) {
				this.opts.sendReply(to, reply);
			}
		}
	}

	private updateOwnership(now: number): void {
		const { cfg } = this;
		if (!cfg) {
			return;
		}
		const owned = cfg.document.endpoints.filter(
			(endpoint) => this.owners.ownerOf(endpoint.name) === this.opts.self,
		);
		this.updateLedgers(owned, now);
		this.assignFloors(cfg);
		this.opts.onOwnedChanged?.(owned);
	}

	private updateLedgers(owned: readonly Endpoint[], now: number): void {
		const names = new Set(owned.map((endpoint) => endpoint.name));
		for (const name of this.ledgers.keys()) {
			if (!names.has(name)) {
				this.ledgers.delete(name);
			}
		}
		for (const endpoint of owned) {
			const ledger = this.ledgers.get(endpoint.name) ?? this.createLedger(endpoint, now);
			this.ledgers.set(endpoint.name, ledger);
			ledger.setCapacityShare(this.capacityShare);
			ledger.setUnavailable(endpoint.state !== 'active');
		}
	}

	/** Applies a changed configuration to existing ledgers. */
	private configureLedgers(cfg: ConfigurationView): void {
		for (const [name, ledger] of this.ledgers) {
			const endpoint = cfg.findEndpoint(name);
			if (endpoint) {
				ledger.configure(this.limitsOf(endpoint));
			}
		}
	}

	private createLedger(endpoint: Endpoint, now: number): SlotLedger {
		const limits = this.limitsOf(endpoint);
		const { recordEvent, newEpoch } = this.opts;
		recordEvent(eventKinds.ownerChanged, { endpoint: endpoint.name, member: this.opts.self });
		return new SlotLedger({
			endpoint: endpoint.name,
			limits,
			recordEvent,
			epoch: newEpoch(),
			now,
		});
	}

	private limitsOf(endpoint: Endpoint): AdaptiveLimitOptions {
		const isAdaptive = this.cfg?.document.policy.learn_limits ?? true;
		const isEngine = endpoint.kind === 'engine';
		return { initial: endpoint.slots, max: endpoint.max_slots, isAdaptive: isAdaptive && isEngine };
	}

	private assignFloors(cfg: ConfigurationView): void {
		const floors = floorClassesByEndpoint(cfg);
		for (const [name, ledger] of this.ledgers) {
			const classes = [...(floors.get(name) ?? [])];
			ledger.setFloors(classes.map((cls) => rendezvous.hashName(cls)));
		}
	}
}
