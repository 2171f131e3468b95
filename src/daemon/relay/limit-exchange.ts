/**
 * Ties the limits that engines name to datagrams, timers and the list of VMs.
 * @module
 */
import type { Clock, Log, Random } from '../../core/definitions.js';
import type { ListedVm } from '../../core/fleet/aggregator-selection.js';
import { addressOf, parseAddress } from '../../core/fleet/aggregator-selection.js';
import type { EngineRef } from '../../core/fleet/types.js';
import { FleetLimits } from '../../core/limits/fleet-limits.js';
import { issuerRank } from '../../core/limits/issuer-election.js';
import type { PermitAnswer, PermitAsk } from '../../core/limits/types.js';
import type { HostPort } from '../../core/relay/settings.js';

export interface LimitExchangeOptions {
	clock: Clock;
	log: Log;
	random: Random;
	self: ListedVm;
	/** Other VMs that are registered. */
	listed: () => readonly ListedVm[];
	engineId: (engine: EngineRef) => string | undefined;
	/** VMs that this one hears of now, itself included. */
	heardVms: () => number;
	/** VMs of the fleet, silent ones included; undefined while not known. */
	vms: () => number | undefined;
	sendAsk: (to: HostPort, ask: PermitAsk) => void;
	sendAnswer: (to: HostPort, answer: PermitAnswer) => void;
	/** Other VMs should hear of something. */
	onNews: () => void;
}

export class LimitExchange {
	readonly limits: FleetLimits;
	private timer?: NodeJS.Timeout;
	/** When the timer fires, in monotonic milliseconds. */
	private timerAt = Number.POSITIVE_INFINITY;
	private isStopped = false;

	constructor(private readonly opts: LimitExchangeOptions) {
		const { self, listed, sendAsk, sendAnswer, ...ports } = opts;
		this.limits = new FleetLimits({
			...ports,
			self: addressOf(self.address),
			rank: (without) => issuerRank(self, listed(), without),
			sendAsk: (to, ask) => sendAsk(parseAddress(to), ask),
			sendAnswer: (to, answer) => sendAnswer(parseAddress(to), answer),
			onDue: () => this.arm(),
		});
	}

	/** Called several times a second. */
	update(): void {
		this.limits.update();
		this.arm();
	}

	stop(): void {
		this.isStopped = true;
		clearTimeout(this.timer);
	}

	private run(): void {
		this.timerAt = Number.POSITIVE_INFINITY;
		this.limits.run();
		this.arm();
	}

	/** Sets the timer for the next permit or ask that is due, unless it fires in time already. */
	private arm(): void {
		const { dueAt } = this.limits;
		if (this.isStopped || this.timerAt <= dueAt) {
			return;
		}
		clearTimeout(this.timer);
		this.timerAt = dueAt;
		const waitMs = Math.max(1, dueAt - this.opts.clock.monotonic());
		this.timer = setTimeout(() => this.run(), waitMs);
	}
}
