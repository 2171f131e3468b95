/**
 * Reports the cost estimates of this VM to operators: a periodic log line for each service, and samples for the metrics.
 * @module
 */
import type { Clock, Log } from '../../core/definitions.js';
import type { CostModel } from '../../core/engines/cost-model.js';
import type { EngineDirectory } from '../../core/engines/engine-directory.js';
import type { CostSample } from '../../infra/relay/prometheus-metrics.js';

/** Interval between log lines of one service. */
export const costReportIntervalMs = 5000;

/** Maximum number of engines listed in a line; enough to tell a slow engine from a slow service. */
const maxListedEngines = 3;

export class CostReport {
	/** @param services names of the services whose engines run language models */
	constructor(
		private readonly log: Log,
		private readonly costs: CostModel,
		private readonly services: () => readonly string[],
		private readonly engines: Pick<EngineDirectory, 'findByRef'>,
		private readonly clock: Clock,
	) {}

	/** Logs a line for each service. */
	write(): void {
		for (const service of this.services()) {
			const estimates = this.costs.of(service);
			const { observations, peers } = this.costs.sources(service);
			this.log.info('costs.learned', {
				service,
				read_tokens_per_ms: round(1 / estimates.readMsPerToken),
				first_ms: round(estimates.firstEventOverheadMs),
				copy_tokens_per_ms: round(1 / estimates.copyMsPerToken),
				copy_setup_ms: round(estimates.copySetupMs),
				event_ms: round(estimates.eventIntervalMs),
				answer_ms_per_token: round(estimates.answerMsPerToken),
				held_ms: Math.round(estimates.slotOccupancyMs),
				observations,
				peers,
				...this.paceFields(service),
			});
		}
	}

	/** Summarizes how the paces of engines deviate from the estimates of their service, with the ids of the slowest. */
	private paceFields(service: string): Record<string, string | number> {
		const paces = this.costs.paces.list(service, this.clock.monotonic());
		const slowest = [...paces].sort((a, b) => b.steps - a.steps).slice(0, maxListedEngines);
		const listed = slowest.map(({ engine, reading, steps }) => {
			const id = this.engines.findByRef(engine)?.id ?? engine;
			return `${id}:${round(reading)}/${round(steps)}`;
		});
		const turned = paces.filter(({ isDeviating }) => isDeviating).length;
		return { paced: paces.length, turned, slowest: listed.join(',') };
	}

	/** Current estimates of each service, for the metrics. */
	samples(): CostSample[] {
		return this.services().map((service) => {
			const paces = this.costs.paces.list(service, this.clock.monotonic());
			const slowestPace = Math.max(1, ...paces.map(({ steps }) => steps));
			return { service, estimates: this.costs.of(service), slowestPace };
		});
	}
}

/** Rounds to two decimals. */
function round(value: number): number {
	return Math.round(value * 100) / 100;
}
