/**
 * Tells operators what this VM believes work to cost: now and then a log line for each service, and figures on the
 * metrics address.
 * @module
 */
import type { Clock, Log } from '../../core/definitions.js';
import type { CostModel } from '../../core/engines/cost-model.js';
import type { EngineDirectory } from '../../core/engines/engine-directory.js';
import type { CostSample } from '../../infra/relay/prometheus-metrics.js';

/** Time between two lines of one service, in milliseconds: estimates settle within a few seconds. */
export const costReportIntervalMs = 5000;

/** Engines named in the line of a service: enough to tell a slow machine from a slow service. */
const mostNamed = 3;

export class CostReport {
	/** @param services those whose engines run language models */
	constructor(
		private readonly log: Log,
		private readonly costs: CostModel,
		private readonly services: () => readonly string[],
		private readonly engines: Pick<EngineDirectory, 'findByRef'>,
		private readonly clock: Clock,
	) {}

	/** Writes a line for each service. */
	write(): void {
		for (const service of this.services()) {
			const estimates = this.costs.of(service);
			const { observations, peers } = this.costs.sources(service);
			this.log.info('costs.learned', {
				service,
				read_tokens_per_ms: rounded(1 / estimates.readMsPerToken),
				first_ms: rounded(estimates.firstEventOverheadMs),
				copy_tokens_per_ms: rounded(1 / estimates.copyMsPerToken),
				copy_setup_ms: rounded(estimates.copySetupMs),
				event_ms: rounded(estimates.eventIntervalMs),
				answer_ms_per_token: rounded(estimates.answerMsPerToken),
				held_ms: Math.round(estimates.slotOccupancyMs),
				observations,
				peers,
				...this.speedsOf(service),
			});
		}
	}

	/** How engines differ from their service's figures, the slowest by id. */
	private speedsOf(service: string): Record<string, string | number> {
		const speeds = this.costs.paces.list(service, this.clock.monotonic());
		const slowest = [...speeds].sort((a, b) => b.steps - a.steps).slice(0, mostNamed);
		const named = slowest.map(({ engine, reading, steps }) => {
			const id = this.engines.findByRef(engine)?.id ?? engine;
			return `${id}:${rounded(reading)}/${rounded(steps)}`;
		});
		const turned = speeds.filter(({ isDeviating: isTurned }) => isTurned).length;
		return { paced: speeds.length, turned, slowest: named.join(',') };
	}

	samples(): CostSample[] {
		return this.services().map((service) => {
			const speeds = this.costs.paces.list(service, this.clock.monotonic());
			const slowestPace = Math.max(1, ...speeds.map(({ steps }) => steps));
			return { service, estimates: this.costs.of(service), slowestPace };
		});
	}
}

function rounded(value: number): number {
	return Math.round(value * 100) / 100;
}
