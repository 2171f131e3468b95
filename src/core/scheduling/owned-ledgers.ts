/**
 * The ledgers of the endpoints that this daemon owns. Ownership follows from the live members
 * alone: no lease, no call to the key-value service.
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

/** A part that sees less of the fleet than this claims only its share of each endpoint. */
const majority = 0.5;

export interface OwnedLedgersOptions {
	self: string;
	sendReply: (to: string, reply: OwnerReply) => void;
	/** Names an owner's term; grows with time. */
	newEpoch: () => number;
	onOwnedChanged?: (owned: readonly Endpoint[]) => void;
	recordEvent: RecordEvent;
}

export class OwnedLedgers {
	private readonly ledgers = new Map<string, SlotLedger>();
	private readonly owners = new OwnerMap();
	private cfg?: ConfigurationView;
	private share = 1;

	constructor(private readonly opts: OwnedLedgersOptions) {}

	ownerOf(endpoint: string): string | undefined {
		return this.owners.ownerOf(endpoint);
	}

	ledger(endpoint: string): SlotLedger | undefined {
		return this.ledgers.get(endpoint);
	}

	configure(cfg: ConfigurationView, now: number): void {
		this.cfg = cfg;
		this.owners.setKeys(cfg.document.endpoints.map((endpoint) => endpoint.name));
		this.reassign(now);
		this.configureLedgers(cfg);
	}

	/** Live members changed; `visible` is the share of the listed fleet that is seen. */
	setMembers(live: readonly string[], visible: number, now: number): void {
		this.owners.setMembers(live);
		this.share = visible > majority ? 1 : visible;
		this.reassign(now);
	}

	/** A member is gone for good. */
	removeMember(member: string): void {
		for (const ledger of this.ledgers.values()) {
			ledger.removeHolder(member);
		}
	}

	/** This process was paused: what its ledgers say is out of date. */
	clear(): void {
		this.ledgers.clear();
	}

	/** An owned endpoint said whether it takes work. */
	setUnavailable(endpoint: string, closed: boolean): void {
		this.ledgers.get(endpoint)?.setUnavailable(closed);
	}

	applyReport(from: string, report: HolderReport, now: number): void {
		this.ledgers.get(report.endpoint)?.applyReport(from, report, now);
	}

	/** Decides on every owned endpoint and sends what is due. */
	allocateSlots(now: number): void {
		for (const ledger of this.ledgers.values()) {
			ledger.allocateSlots(now);
			for (const { to, reply } of ledger.takeDueReplies(now)) {
				this.opts.sendReply(to, reply);
			}
		}
	}

	private reassign(now: number): void {
		const { cfg } = this;
		if (!cfg) {
			return;
		}
		const owned = cfg.document.endpoints.filter(
			(endpoint) => this.owners.ownerOf(endpoint.name) === this.opts.self,
		);
		this.keepLedgers(owned, now);
		this.assignFloors(cfg);
		this.opts.onOwnedChanged?.(owned);
	}

	private keepLedgers(owned: readonly Endpoint[], now: number): void {
		const names = new Set(owned.map((endpoint) => endpoint.name));
		for (const name of this.ledgers.keys()) {
			if (!names.has(name)) {
				this.ledgers.delete(name);
			}
		}
		for (const endpoint of owned) {
			const ledger = this.ledgers.get(endpoint.name) ?? this.makeLedger(endpoint, now);
			this.ledgers.set(endpoint.name, ledger);
			ledger.setCapacityShare(this.share);
			ledger.setUnavailable(endpoint.state !== 'active');
		}
	}

	/** A changed configuration holds for endpoints that were owned before, too. */
	private configureLedgers(cfg: ConfigurationView): void {
		for (const [name, ledger] of this.ledgers) {
			const endpoint = cfg.endpointNamed(name);
			if (endpoint) {
				ledger.configure(this.limitsOf(endpoint));
			}
		}
	}

	private makeLedger(endpoint: Endpoint, now: number): SlotLedger {
		const limits = this.limitsOf(endpoint);
		const { recordEvent: record, newEpoch: epoch } = this.opts;
		record(eventKinds.ownerChanged, { endpoint: endpoint.name, member: this.opts.self });
		return new SlotLedger({
			endpoint: endpoint.name,
			limits,
			recordEvent: record,
			epoch: epoch(),
			now,
		});
	}

	private limitsOf(endpoint: Endpoint): AdaptiveLimitOptions {
		const learns = this.cfg?.document.policy.learn_limits ?? true;
		const isEngine = endpoint.kind === 'engine';
		return { initial: endpoint.slots, max: endpoint.max_slots, isAdaptive: learns && isEngine };
	}

	private assignFloors(cfg: ConfigurationView): void {
		const floors = floorClassesByEndpoint(cfg);
		for (const [name, ledger] of this.ledgers) {
			const classes = [...(floors.get(name) ?? [])];
			ledger.setFloors(classes.map((cls) => rendezvous.hashName(cls)));
		}
	}
}
