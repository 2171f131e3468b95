/**
 * Metrics of the relay in the Prometheus text format. The cardinality of labels is bounded: routes and
 * services come from the configuration, outcomes and statuses from the code.
 * @module
 */
import * as prometheus from 'prom-client';
import type { CostEstimates } from '../../core/engines/work-estimate.js';
import type { Trait } from '../../core/quarantine/traits.js';
import { isPromptPart } from '../../core/quarantine/traits.js';
import type { RelayMetrics, ReplacementResult } from '../../core/relay/metrics.js';
import type { RelayOutcome } from '../../core/relay/types.js';

/** Upper bounds of the histogram buckets, up to the longest deadline. */
const durationBucketsS = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12];

/** Read each time the metrics are collected. */
export interface RelayGauges {
	openRequests: () => number;
	/** Number of VMs with recent gossip, including this one. */
	liveVms: () => number;
	configurationVersion: () => number;
	storeCalls: () => number;
	/** 1 while the store answers, otherwise 0. */
	storeReachable: () => number;
	/** Age of the list of engines; 0 before it was first current. */
	enginesAgeMs: () => number;
	logLinesDropped: () => number;
	duties: () => DutyStats;
	costEstimates: () => readonly CostSample[];
	/** Number of engines with a rate limit. */
	limitedEngines: () => number;
	/** Number of services whose engines this VM cannot reach over its own links. */
	cutOffServices: () => number;
	/** What is quarantined after engine crashes. */
	quarantinedTraits: () => readonly Trait[];
}

/** Statistics of the duties that this VM holds for the fleet. */
export interface DutyStats {
	/** Fencing token; 0 while this VM holds no duty. */
	token: number;
	/** Usage windows that the platform accepted in time, since the start. */
	reported: number;
	/** Usage windows that the platform received too late, since the start. */
	missed: number;
	/** Orders for engines that the platform accepted, since the start. */
	orders: number;
}

export interface CostSample {
	service: string;
	estimates: CostEstimates;
	/** Pace of the slowest engine relative to the service's estimates; 1 is as estimated. */
	slowestPace: number;
}

export class PrometheusMetrics implements RelayMetrics {
	private readonly registry = new prometheus.Registry();
	/** Maximum since the last collection. */
	private maxLoopDelayMs = 0;
	private readonly requestsTotal = this.counter(
		'slategauge_requests_total',
		'Completed requests, by route and outcome',
		['route', 'outcome'],
	);
	private readonly deniedTotal = this.counter(
		'slategauge_denied_total',
		'Requests denied for their form, route or key, by response status',
		['status'],
	);
	private readonly retriesTotal = this.counter(
		'slategauge_retries_total',
		'Retries at another engine, by service',
		['service'],
	);
	private readonly replacementsTotal = this.counter(
		'slategauge_replacements_total',
		'Replacements of engines that fell silent or failed while they answered, by service and result: used, not-needed (the engine went on) or refused',
		['service', 'result'],
	);
	private readonly requestDefectsTotal = this.counter(
		'slategauge_request_defects_total',
		'Requests that were ended because of an error in the relay itself',
		[],
	);
	private readonly circuitsOpenedTotal = this.counter(
		'slategauge_engines_closed_total',
		'Times that the circuit breaker of an engine opened after failures',
		[],
	);
	private readonly permitsDeniedTotal = this.counter(
		'slategauge_permits_denied_total',
		'Permits denied for engines with a rate limit, by service',
		['service'],
	);
	private readonly forwardOrdersTotal = this.counter(
		'slategauge_forward_orders_total',
		'Requests that other VMs asked this one to forward, by result: accepted, or the reason of the refusal',
		['result'],
	);
	private readonly forwardedTotal = this.counter(
		'slategauge_forwarded_total',
		'Requests of this VM that were sent through other VMs, by service',
		['service'],
	);
	private readonly storeRestoredTotal = this.counter(
		'slategauge_store_restored_total',
		'Times that the store was restored from an older copy',
		[],
	);
	private readonly firstByteSeconds = this.histogram(
		'slategauge_first_byte_seconds',
		'Time from the request to the first byte of its answer, by route',
	);
	private readonly requestSeconds = this.histogram(
		'slategauge_request_seconds',
		'Time from the request to the end of its answer, by route',
	);

	constructor(gauges: RelayGauges) {
		this.gauge('slategauge_open_requests', 'Requests in progress', gauges.openRequests);
		this.gauge('slategauge_fleet_vms', 'VMs with gossip in the last second', gauges.liveVms);
		this.gauge(
			'slategauge_configuration_version',
			'Version of the configuration in force; 0 before the first',
			gauges.configurationVersion,
		);
		this.gauge(
			'slategauge_limited_engines',
			'Engines with a limit of requests per second',
			gauges.limitedEngines,
		);
		this.gauge(
			'slategauge_cut_off_services',
			'Services whose engines this VM cannot reach over its own links',
			gauges.cutOffServices,
		);
		this.gauge('slategauge_store_calls', 'Calls to the store since the start', gauges.storeCalls);
		this.gauge(
			'slategauge_store_reachable',
			'1 while the last calls to the store succeeded',
			gauges.storeReachable,
		);
		this.gauge(
			'slategauge_engines_age_seconds',
			'Time since the list of engines was last known to be current',
			() => gauges.enginesAgeMs() / 1000,
		);
		this.gauge(
			'slategauge_log_lines_dropped',
			'Log lines dropped since the start',
			gauges.logLinesDropped,
		);
		this.gauge(
			'slategauge_event_loop_delay_seconds',
			'Maximum event loop delay since the last collection',
			() => {
				const maxDelayS = this.maxLoopDelayMs / 1000;
				this.maxLoopDelayMs = 0;
				return maxDelayS;
			},
		);
		this.gauge(
			'slategauge_duty_token',
			'Fencing token of the duties that this VM holds; 0 while it holds none',
			() => gauges.duties().token,
		);
		this.gauge(
			'slategauge_usage_windows_reported',
			'Usage windows of this VM that the platform accepted in time, since the start',
			() => gauges.duties().reported,
		);
		this.gauge(
			'slategauge_usage_windows_late',
			'Usage windows of this VM that the platform received too late, since the start',
			() => gauges.duties().missed,
		);
		this.gauge(
			'slategauge_engine_orders',
			'Orders for engines from this VM that the platform accepted, since the start',
			() => gauges.duties().orders,
		);
		this.gauge(
			'slategauge_quarantined_contents',
			'Request contents quarantined after engine crashes',
			() => gauges.quarantinedTraits().filter((trait) => !isPromptPart(trait)).length,
		);
		this.gauge(
			'slategauge_quarantined_prompt_parts',
			'Parts of prompts quarantined after engine crashes',
			() => gauges.quarantinedTraits().filter(isPromptPart).length,
		);
		this.costGauge(
			gauges,
			'slategauge_read_seconds_per_token',
			'Time to read a prompt token',
			'readMsPerToken',
		);
		this.costGauge(
			gauges,
			'slategauge_event_pause_seconds',
			'Time between stream events without concurrent prefill',
			'eventIntervalMs',
		);
		this.costGauge(
			gauges,
			'slategauge_copy_seconds_per_token',
			'Time to copy a cached token',
			'copyMsPerToken',
		);
		this.serviceGauge(
			gauges,
			'slategauge_slowest_engine_pace',
			'Pace of the slowest engine relative to the estimates, by service',
			({ slowestPace }) => slowestPace,
		);
		this.gauge('slategauge_resident_bytes', 'Memory of the process', () =>
			process.memoryUsage.rss(),
		);
	}

	recordEnded(route: string, outcome: RelayOutcome, tookMs: number, firstMs?: number): void {
		this.requestsTotal.inc({ route, outcome });
		this.requestSeconds.observe({ route }, tookMs / 1000);
		if (firstMs !== undefined) {
			this.firstByteSeconds.observe({ route }, firstMs / 1000);
		}
	}

	recordDenied(status: number): void {
		this.deniedTotal.inc({ status: String(status) });
	}

	recordRetry(service: string): void {
		this.retriesTotal.inc({ service });
	}

	recordReplacement(service: string, result: ReplacementResult): void {
		this.replacementsTotal.inc({ service, result });
	}

	recordRequestDefect(): void {
		this.requestDefectsTotal.inc();
	}

	recordStoreRestored(): void {
		this.storeRestoredTotal.inc();
	}

	recordPermitDenied(service: string): void {
		this.permitsDeniedTotal.inc({ service });
	}

	recordForwarded(service: string): void {
		this.forwardedTotal.inc({ service });
	}

	/** @param refusal why the request of another VM is not forwarded; undefined if it is */
	recordForwardOrder(refusal: string | undefined): void {
		this.forwardOrdersTotal.inc({ result: refusal ?? 'accepted' });
	}

	recordCircuitOpened(): void {
		this.circuitsOpenedTotal.inc();
	}

	/** Records how late a timer of the daemon fired, in milliseconds. */
	recordEventLoopDelay(ms: number): void {
		this.maxLoopDelayMs = Math.max(this.maxLoopDelayMs, ms);
	}

	/** Returns all metrics in the text format. */
	render(): Promise<string> {
		return this.registry.metrics();
	}

	private counter(name: string, help: string, labelNames: string[]): prometheus.Counter {
		return new prometheus.Counter({ name, help, labelNames, registers: [this.registry] });
	}

	private histogram(name: string, help: string): prometheus.Histogram {
		const labelNames = ['route'];
		const registers = [this.registry];
		return new prometheus.Histogram({
			name,
			help,
			labelNames,
			registers,
			buckets: durationBucketsS,
		});
	}

	/** Exports an estimate in milliseconds as seconds, for each service. */
	private costGauge(
		gauges: RelayGauges,
		name: string,
		description: string,
		estimate: keyof CostEstimates,
	): void {
		const help = `${description}, estimated, by service`;
		this.serviceGauge(gauges, name, help, ({ estimates }) => estimates[estimate] / 1000);
	}

	private serviceGauge(
		gauges: RelayGauges,
		name: string,
		help: string,
		read: (sample: CostSample) => number,
	): void {
		new prometheus.Gauge({
			name,
			help,
			labelNames: ['service'],
			registers: [this.registry],
			collect() {
				for (const sample of gauges.costEstimates()) {
					this.set({ service: sample.service }, read(sample));
				}
			},
		});
	}

	private gauge(name: string, help: string, read: () => number): void {
		new prometheus.Gauge({
			name,
			help,
			registers: [this.registry],
			collect() {
				this.set(read());
			},
		});
	}
}
