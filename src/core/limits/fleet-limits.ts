/**
 * The requests a second that engines take from all VMs together: what the fleet has heard, who issues permits, and this VM's asks.
 * @module
 */
import type { Clock, Log, Random } from '../definitions.js';
import type { EngineRef, NewsKind } from '../fleet/types.js';
import { IssuerElection } from './issuer-election.js';
import { LimitLedger } from './limit-ledger.js';
import { assumedVmCount, PermitClient } from './permit-client.js';
import { PermitIssuer } from './permit-issuer.js';
import { RetrySchedule } from './retry-schedule.js';
import type { IssuerAnnouncement, LimitUpdate, PermitRequest, PermitResponse } from './types.js';

/** What news between VMs carry of limits. */
export interface LimitGossip {
	/** @param kind of the news that they go with */
	getUpdatesToSend(kind: NewsKind): LimitUpdate[];
	getIssuerToSend(): IssuerAnnouncement | undefined;
	/** @returns whether others should hear of it too */
	merge(words: readonly LimitUpdate[], issuer: IssuerAnnouncement | undefined): boolean;
}

export interface FleetLimitsOptions {
	clock: Clock;
	log: Log;
	random: Random;
	/** Where this VM hears datagrams, as IP:PORT. */
	ownAddress: string;
	/** Id of an engine, for the log; undefined while it is not registered. */
	engineId: (engine: EngineRef) => string | undefined;
	/** Place of this VM in an order that all VMs share, 0 for the first, with an address left out. */
	getRank: (without?: string) => number;
	/** VMs that this one hears of now, itself included. */
	heardVms: () => number;
	/** VMs of the fleet, silent ones included; undefined while not known. */
	vms: () => number | undefined;
	sendPermitRequest: (to: string, ask: PermitRequest) => void;
	sendPermitResponse: (to: string, answer: PermitResponse) => void;
	/** Others should hear of something. */
	onNews: () => void;
	/** `dueAt` changed. */
	onDueChanged: () => void;
}

export class FleetLimits implements LimitGossip {
	readonly ledger: LimitLedger;
	readonly permits: PermitClient;
	private readonly election: IssuerElection;
	private readonly issuer: PermitIssuer;
	private wasSelf = false;
	private readonly returnsOf = new Map<string, RetrySchedule>();

	constructor(private readonly opts: FleetLimitsOptions) {
		const {
			clock,
			log,
			random,
			ownAddress: self,
			engineId,
			getRank: rank,
			vms,
			sendPermitRequest: sendAsk,
			onNews,
			onDueChanged: onDue,
		} = opts;
		this.ledger = new LimitLedger({
			clock,
			onChanged: onNews,
			onLimitChanged: ({ engine, limitPerS: perS, version }, before) => {
				const fields = { engine: engineId(engine) ?? engine, limit_per_s: perS, version };
				log.info('engine.limit', fields);
				if (perS === undefined || (before !== undefined && perS > before)) {
					this.permits.clearDenials(engine);
					onDue();
				}
			},
		});
		const wordOf = (engine: EngineRef) => this.ledger.getLimit(engine);
		this.election = new IssuerElection({
			clock,
			log,
			ownAddress: self,
			getRank: rank,
			isNeeded: () => this.ledger.size > 0,
			onChanged: onNews,
		});
		this.issuer = new PermitIssuer({
			clock,
			random,
			getLimit: wordOf,
			getShare: () => this.share,
			isIssuing: () => this.election.isIssuing,
		});
		this.permits = new PermitClient({
			clock,
			random,
			ownAddress: self,
			getLimit: wordOf,
			getVmCount: vms,
			isIssuer: () => this.election.isElected,
			requestLocally: (ask, answer) => this.issuer.handleRequest(ask, answer),
			getIssuerAddress: () => this.election.issuerAddress,
			sendRequest: sendAsk,
			onDueChanged: onDue,
		});
	}

	/** Whether this VM issues permits. */
	get isIssuer(): boolean {
		return this.election.isIssuing;
	}

	/** Monotonic milliseconds at which `run` should be called next. */
	get dueAt(): number {
		return Math.min(this.permits.dueAt, this.issuer.dueAt);
	}

	run(): void {
		this.issuer.run();
		this.permits.run();
	}

	/** When callers of a service come back that were refused because all of its engines name limits. */
	getRetrySchedule(service: string): RetrySchedule {
		const schedule = this.returnsOf.get(service) ?? new RetrySchedule();
		this.returnsOf.set(service, schedule);
		return schedule;
	}

	/** Looks who issues permits; called several times a second. */
	update(): void {
		this.election.update();
		this.noteIssuer();
	}

	/** Forgets what is old; called each second. */
	sweep(isRegistered: (engine: EngineRef) => boolean): void {
		this.ledger.sweep(isRegistered);
		this.issuer.sweep();
	}

	/** This VM stops: another may issue permits at once. */
	retire(): void {
		this.election.retire();
		this.noteIssuer();
	}

	getUpdatesToSend(kind: NewsKind): LimitUpdate[] {
		return this.ledger.getUpdatesToSend(kind);
	}

	getIssuerToSend(): IssuerAnnouncement | undefined {
		return this.election.announcementToSend;
	}

	merge(words: readonly LimitUpdate[], issuer: IssuerAnnouncement | undefined): boolean {
		const hasWords = this.ledger.merge(words);
		const hasIssuer = issuer !== undefined && this.election.merge(issuer);
		if (hasIssuer) {
			this.noteIssuer();
		}
		return hasWords || hasIssuer;
	}

	/** Another VM asks for a permit. */
	handlePermitRequest(ask: PermitRequest): void {
		this.ledger.merge([ask.limit]);
		this.issuer.handleRequest(ask, (answer) => this.opts.sendPermitResponse(ask.from, answer));
		this.opts.onDueChanged();
	}

	/** The issuer answers. */
	handlePermitResponse(answer: PermitResponse): void {
		this.ledger.merge([answer.limit]);
		this.permits.handleResponse(answer);
	}

	/**
	 * The part of all limits that this VM may issue: the part of the fleet that it hears. Two sides of a cut that both issue permits
	 * then keep the limits together.
	 */
	private get share(): number {
		const heard = this.opts.heardVms();
		return heard / Math.max(heard, this.opts.vms() ?? assumedVmCount);
	}

	private noteIssuer(): void {
		const { isElected: isSelf } = this.election;
		if (this.wasSelf && !isSelf) {
			this.issuer.resign();
		}
		this.wasSelf = isSelf;
	}
}
