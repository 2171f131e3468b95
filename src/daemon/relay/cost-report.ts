/**
 * Tells operators what this VM believes work to cost: now and then a log line for each service, and figures on the
 * metrics address.
 * @module
 */
import type { Log } from '../../core/definitions.js';
import type { CostModel } from '../../core/engines/cost-model.js';
import type { CostSample } from '../../infra/relay/prometheus-metrics.js';

/** Time between two lines of one service, in milliseconds: estimates settle within a few seconds. */
export const costReportMs = 5000;

export class CostReport {
	/** @param services those whose engines run language models */
	constructor(
		private readonly log: Log,
		private readonly costs: CostModel,
		private readonly services: () => readonly string[],
	) {}

	/** Writes a line for each service. */
	write(): void {
		for (const service of this.services()) {
			const figures = this.costs.of(service);
			const { observations, peers } = this.costs.sources(service);
			this.log.info('costs.learned', {
				service,
				read_tokens_per_ms: rounded(1 / figures.readMsPerToken),
				first_ms: rounded(figures.firstMs),
				copy_tokens_per_ms: rounded(1 / figures.copyMsPerToken),
				copy_setup_ms: rounded(figures.copySetupMs),
				event_ms: rounded(figures.eventMs),
				answer_ms_per_token: rounded(figures.answerMsPerToken),
				held_ms: Math.round(figures.heldMs),
				observations,
				peers,
			});
		}
	}

	samples(): CostSample[] {
		return this.services().map((service) => ({ service, figures: this.costs.of(service) }));
	}
}

function rounded(value: number): number {
	return Math.round(value * 100) / 100;
}
