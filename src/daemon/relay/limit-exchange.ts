/**
 * Ties the limits that engines name to datagrams, timers and the list of VMs.
 * @module
 */
import type { Clock, Log, Random } from '../../core/definitions.js';
import type { RegisteredVm } from '../../core/fleet/aggregator-selection.js';
import { addressOf, parseAddress } from '../../core/fleet/aggregator-selection.js';
import type { EngineRef } from '../../core/fleet/types.js';
import { FleetLimits } from '../../core/limits/fleet-limits.js';
import { issuerRank } from '../../core/limits/issuer-election.js';
import type { PermitRequest, PermitResponse } from '../../core/limits/types.js';
import type { HostPort } from '../../core/relay/settings.js';
import { DueTimer } from './due-timer.js';

/** An ask that is due while the loop is late does not keep it busy, in milliseconds. */
const leastWaitMs = 1;

export interface LimitExchangeOptions {
	clock: Clock;
	log: Log;
	random: Random;
	self: RegisteredVm;
	/** Other VMs that are registered. */
	otherVms: () => readonly RegisteredVm[];
	engineId: (engine: EngineRef) => string | undefined;
	/** VMs that this one hears of now, itself included. */
	heardVms: () => number;
	/** VMs of the fleet, silent ones included; undefined while not known. */
	vms: () => number | undefined;
	sendPermitRequest: (to: HostPort, ask: PermitRequest) => void;
	sendPermitResponse: (to: HostPort, answer: PermitResponse) => void;
	/** Other VMs should hear of something. */
	onNews: () => void;
}

export class LimitExchange {
	readonly limits: FleetLimits;
	private readonly timer: DueTimer;

	constructor(opts: LimitExchangeOptions) {
		const {
			self,
			otherVms: listed,
			sendPermitRequest: sendAsk,
			sendPermitResponse: sendAnswer,
			...ports
		} = opts;
		this.limits = new FleetLimits({
			...ports,
			ownAddress: addressOf(self.address),
			getRank: (without) => issuerRank(self, listed(), without),
			sendPermitRequest: (to, ask) => sendAsk(parseAddress(to), ask),
			sendPermitResponse: (to, answer) => sendAnswer(parseAddress(to), answer),
			onDueChanged: () => this.timer.arm(),
		});
		const { limits } = this;
		const run = () => limits.run();
		this.timer = new DueTimer(opts.clock, () => limits.dueAt, run, leastWaitMs);
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
