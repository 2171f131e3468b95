/**
 * Coordinates the request rates that engines accept from all VMs together: the ledger of limits, the issuer election, and the issue
 * and request of permits.
 * @module
 */
import type { Clock, Log, Random } from '../definitions.js';
import type { EngineRef, GossipKind } from '../fleet/types.js';
import { IssuerElection } from './issuer-election.js';
import { LimitLedger } from './limit-ledger.js';
import { assumedVmCount, PermitClient } from './permit-client.js';
import { PermitIssuer } from './permit-issuer.js';
import { RetrySchedule } from './retry-schedule.js';
import type { IssuerAnnouncement, LimitUpdate, PermitRequest, PermitResponse } from './types.js';

/** Exchange of limits and issuer announcements through gossip. */
export interface LimitGossip {
	/** @param kind of the gossip message that carries them */
	getUpdatesToSend(kind: GossipKind): LimitUpdate[];
	getIssuerToSend(): IssuerAnnouncement | undefined;
	/** @returns whether other VMs should be updated too */
	merge(updates: readonly LimitUpdate[], issuer: IssuerAnnouncement | undefined): boolean;
}

export interface FleetLimitsOptions {
	clock: Clock;
	log: Log;
	random: Random;
	/** Datagram address of this VM, as IP:PORT. */
	ownAddress: string;
	/** Id of an engine for the log; undefined while it is not registered. */
	getEngineId: (engine: EngineRef) => string | undefined;
	/** Rank of this VM among the candidates for issuer, 0 for the first, without the VM at an address. */
	getRank: (without?: string) => number;
	/** Number of VMs that this one receives gossip from, itself included. */
	countLiveVms: () => number;
	/** Size of the fleet, including silent VMs; undefined while unknown. */
	getVmCount: () => number | undefined;
	sendPermitRequest: (to: string, request: PermitRequest) => void;
	sendPermitResponse: (to: string, response: PermitResponse) => void;
	/** Called when other VMs should be updated. */
	onUpdate: () => void;
	/** Called when `dueAt` has changed. */
	onDueChanged: () => void;
}

export class FleetLimits implements LimitGossip {
	readonly ledger: LimitLedger;
	readonly permits: PermitClient;
	private readonly election: IssuerElection;
	private readonly issuer: PermitIssuer;
	private wasElected = false;
	private readonly retrySchedules = new Map<string, RetrySchedule>();

	constructor(private readonly opts: FleetLimitsOptions) {
		const {
			clock,
			log,
			random,
			ownAddress,
			getEngineId,
			getRank,
			getVmCount,
			sendPermitRequest,
			onUpdate,
			onDueChanged,
		} = opts;
		this.ledger = new LimitLedger({
			clock,
			onChanged: onUpdate,
			onLimitChanged: ({ engine, limitPerS, version }, before) => {
				const fields = { engine: getEngineId(engine) ?? engine, limit_per_s: limitPerS, version };
				log.info('engine.limit', fields);
				if (limitPerS === undefined || (before !== undefined && limitPerS > before)) {
					this.permits.clearDenials(engine);
					onDueChanged();
				}
			},
		});
		const getLimit = (engine: EngineRef) => this.ledger.getLimit(engine);
		this.election = new IssuerElection({
			clock,
			log,
			ownAddress,
			getRank,
			isNeeded: () => this.ledger.size > 0,
			onChanged: onUpdate,
		});
		this.issuer = new PermitIssuer({
			clock,
			random,
			getLimit,
			getShare: () => this.share,
			isIssuing: () => this.election.isIssuing,
		});
		this.permits = new PermitClient({
			clock,
			random,
			ownAddress,
			getLimit,
			getVmCount,
			isIssuer: () => this.election.isElected,
			requestLocally: (request, respond) => this.issuer.handleRequest(request, respond),
			getIssuerAddress: () => this.election.issuerAddress,
			sendRequest: sendPermitRequest,
			onDueChanged,
		});
	}

	/** Whether this VM issues permits now. */
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

	/** Retry times of callers refused because all engines of a service are rate-limited. */
	getRetrySchedule(service: string): RetrySchedule {
		const schedule = this.retrySchedules.get(service) ?? new RetrySchedule();
		this.retrySchedules.set(service, schedule);
		return schedule;
	}

	/** Advances the issuer election; called several times a second. */
	update(): void {
		this.election.update();
		this.applyElection();
	}

	/** Removes old state; called each second. */
	sweep(isRegistered: (engine: EngineRef) => boolean): void {
		this.ledger.sweep(isRegistered);
		this.issuer.sweep();
	}

	/** Lets another VM issue permits at once; called when this VM shuts down. */
	retire(): void {
		this.election.retire();
		this.applyElection();
	}

	getUpdatesToSend(kind: GossipKind): LimitUpdate[] {
		return this.ledger.getUpdatesToSend(kind);
	}

	getIssuerToSend(): IssuerAnnouncement | undefined {
		return this.election.announcementToSend;
	}

	merge(updates: readonly LimitUpdate[], issuer: IssuerAnnouncement | undefined): boolean {
		const hasNewLimits = this.ledger.merge(updates);
		const hasNewIssuer = issuer !== undefined && this.election.merge(issuer);
		if (hasNewIssuer) {
			this.applyElection();
		}
		return hasNewLimits || hasNewIssuer;
	}

	/** Handles a permit request of another VM. */
	handlePermitRequest(request: PermitRequest): void {
		this.ledger.merge([request.limit]);
		this.issuer.handleRequest(request, (response) =>
			this.opts.sendPermitResponse(request.from, response),
		);
		this.opts.onDueChanged();
	}

	/** Handles a response of the remote issuer. */
	handlePermitResponse(response: PermitResponse): void {
		this.ledger.merge([response.limit]);
		this.permits.handleResponse(response);
	}

	/**
	 * Share of all limits that this VM may issue: the reachable share of the fleet. Two sides of a network partition, each with an
	 * issuer, then keep the limits together.
	 */
	private get share(): number {
		const reachable = this.opts.countLiveVms();
		return reachable / Math.max(reachable, this.opts.getVmCount() ?? assumedVmCount);
	}

	private applyElection(): void {
		const { isElected } = this.election;
		if (this.wasElected && !isElected) {
			this.issuer.resign();
		}
		this.wasElected = isElected;
	}
}
