/**
 * Connects `FleetLimits`, which coordinates the rate limits of engines, with datagrams, a timer and the VM registry.
 * @module
 */
import type { Clock, Log, Random } from '../../core/definitions.js';
import { addressOf, parseAddress } from '../../core/fleet/address.js';
import type { RegisteredVm } from '../../core/fleet/aggregator-selection.js';
import type { EngineRef } from '../../core/fleet/types.js';
import { FleetLimits } from '../../core/limits/fleet-limits.js';
import { issuerRank } from '../../core/limits/issuer-election.js';
import type { PermitRequest, PermitResponse } from '../../core/limits/types.js';
import type { HostPort } from '../../core/relay/settings.js';
import { DueTimer } from './due-timer.js';

/** Minimum timer delay; keeps overdue permit requests from occupying a late event loop. */
const minDelayMs = 1;

export interface LimitExchangeOptions {
	clock: Clock;
	log: Log;
	random: Random;
	self: RegisteredVm;
	/** Other registered VMs. */
	otherVms: () => readonly RegisteredVm[];
	/** Id of an engine for the log; undefined while it is not registered. */
	getEngineId: (engine: EngineRef) => string | undefined;
	/** Number of VMs that this one receives gossip from, itself included. */
	countLiveVms: () => number;
	/** Size of the fleet, including silent VMs; undefined while unknown. */
	getVmCount: () => number | undefined;
	sendPermitRequest: (to: HostPort, request: PermitRequest) => void;
	sendPermitResponse: (to: HostPort, response: PermitResponse) => void;
	/** Called when other VMs should be updated. */
	onUpdate: () => void;
}

export class LimitExchange {
	readonly limits: FleetLimits;
	private readonly timer: DueTimer;

	constructor(opts: LimitExchangeOptions) {
		const { self, otherVms, sendPermitRequest, sendPermitResponse, ...ports } = opts;
		this.limits = new FleetLimits({
			...ports,
			ownAddress: addressOf(self.address),
			getRank: (without) => issuerRank(self, otherVms(), without),
			sendPermitRequest: (to, request) => sendPermitRequest(parseAddress(to), request),
			sendPermitResponse: (to, response) => sendPermitResponse(parseAddress(to), response),
			onDueChanged: () => this.timer.arm(),
		});
		const { limits } = this;
		const run = () => limits.run();
		this.timer = new DueTimer(opts.clock, () => limits.dueAt, run, minDelayMs);
	}

	/** Called several times a second. */
	update(): void {
		this.limits.update();
		this.timer.arm();
	}

	stop(): void {
		this.timer.stop();
	}
}
