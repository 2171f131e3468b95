/**
 * Holds one request back before it is sent: until its prompt parts are cleared, and for good if it is quarantined.
 * @module
 */
import { quarantineS } from '../quarantine/quarantine.js';
import type { RequestQuarantine } from '../quarantine/request-quarantine.js';
import { toLogFields } from '../quarantine/traits.js';
import type { CallerAnswer } from './caller-answer.js';
import type { RequestOutcome } from './request-outcome.js';
import type { RoutedRequest } from './types.js';
import { relayOutcomes } from './types.js';

/** Interval at which a request that waits to be cleared looks whether it is, in milliseconds. */
const clearanceCheckMs = 40;

export class QuarantineGate {
	private timer?: NodeJS.Timeout;

	constructor(
		private readonly routed: RoutedRequest,
		private readonly quarantine: RequestQuarantine,
		private readonly answer: CallerAnswer,
		private readonly outcome: RequestOutcome,
		private readonly guard: (action: () => void) => void,
	) {}

	/** Whether the request must not be sent to engines. */
	get isClosed(): boolean {
		return this.quarantine.findQuarantined() !== undefined;
	}

	/** Why no further engine may get the request now; undefined if one may. */
	get refusal(): string | undefined {
		const isHeldBack = this.isClosed || this.quarantine.clearanceMs > 0;
		return isHeldBack ? 'such requests may crash engines' : undefined;
	}

	/** Calls back at once if the request may be sent, later if it has to wait, and never if it is refused. */
	pass(onPassed: () => void): void {
		const { clearanceMs } = this.quarantine;
		if (clearanceMs > 0) {
			const waitMs = Math.min(clearanceMs, clearanceCheckMs);
			const passLater = () => this.outcome.isFinished || this.pass(onPassed);
			this.timer = setTimeout(() => this.guard(passLater), waitMs);
		} else if (!this.refuseIfClosed()) {
			onPassed();
		}
	}

	/** Ends a request whose content or prompt crashes engines. */
	refuseIfClosed(): boolean {
		const { outcome, routed, answer } = this;
		const trait = this.quarantine.findQuarantined();
		if (trait === undefined) {
			return false;
		}
		const fields = { customer: routed.customer?.name, ...toLogFields(trait) };
		outcome.log('request.quarantined', fields, 'warn');
		const reason = 'engines crashed as they ran such requests';
		if (outcome.mayHaveRun || answer.hasStarted) {
			outcome.giveUp(reason);
		} else {
			const headers = ['Retry-After', quarantineS.toFixed(1)];
			outcome.respond(503, `${reason}; it has not run`, relayOutcomes.refused, reason, headers);
		}
		return true;
	}

	/** Stops waiting. */
	cancel(): void {
		clearTimeout(this.timer);
	}
}
