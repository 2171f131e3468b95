/**
 * Figures of the relay as text for a Prometheus-style collector. Labels are bounded: routes and
 * services come from the configuration, outcomes and statuses from the code.
 * @module
 */
import * as prometheus from 'prom-client';
import type { CostEstimates } from '../../core/engines/work-estimate.js';
import type { RelayMetrics } from '../../core/relay/metrics.js';
import type { RelayOutcome } from '../../core/relay/types.js';

/** Bounds of the histograms in seconds: from a plain answer to the longest deadline. */
const secondBuckets = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12];

/** Figures that are read when they are asked for. */
export interface RelayGauges {
	/** Requests that have not ended. */
	openRequests: () => number;
	/** VMs heard of lately, this one included. */
	liveVms: () => number;
	configurationVersion: () => number;
	storeCalls: () => number;
	/** 1 while the store answers. */
	storeReachable: () => number;
	logLinesDropped: () => number;
	duties: () => DutyStats;
	/** What work is estimated to cost, by service. */
	costEstimates: () => readonly CostSample[];
	/** Engines that name a limit now. */
	limitedEngines: () => number;
	/** Contents that are kept from engines because engines ended under them. */
	quarantinedContents: () => number;
}

/** What this VM does for the whole fleet. */
export interface DutyStats {
	/** Fencing token; 0 while it holds no duty. */
	token: number;
	/** Since the start: windows whose counts the platform took in time, and too late; orders that it took. */
	reported: number;
	missed: number;
	orders: number;
}

export interface CostSample {
	service: string;
	estimates: CostEstimates;
	/** How many times as long as usual the slowest engine takes. */
	slowestPace: number;
}

export class PrometheusMetrics implements RelayMetrics {
	private readonly registry = new prometheus.Registry();
	/** Largest delay of the loop since it was last asked for, in milliseconds. */
	private delayMs = 0;
	private readonly endedTotal = this.counter(
		'slategauge_requests_total',
		'Requests that ended, by route and outcome',
		['route', 'outcome'],
	);
	private readonly deniedTotal = this.counter(
		'slategauge_denied_total',
		'Requests that no route or key allows, by status told',
		['status'],
	);
	private readonly retriedTotal = this.counter(
		'slategauge_retries_total',
		'Requests sent to a further engine, by service',
		['service'],
	);
	private readonly closedTotal = this.counter(
		'slategauge_engines_closed_total',
		'Times that this VM stopped using an engine after failures',
		[],
	);
	private readonly permitDeniedTotal = this.counter(
		'slategauge_permits_denied_total',
		'Times that a request got no permit for an engine that names a limit, by service',
		['service'],
	);
	private readonly restoredTotal = this.counter(
		'slategauge_store_restored_total',
		'Times that the store came back from an older copy',
		[],
	);
	private readonly firstSeconds = this.histogram(
		'slategauge_first_byte_seconds',
		'From the request to the first byte of its answer, by route',
	);
	private readonly tookSeconds = this.histogram(
		'slategauge_request_seconds',
		'From the request to the end of its answer, by route',
	);

	constructor(gauges: RelayGauges) {
		this.gauge('slategauge_open_requests', 'Requests that have not ended', gauges.openRequests);
		this.gauge('slategauge_fleet_vms', 'VMs heard of in the last second', gauges.liveVms);
		this.gauge(
			'slategauge_configuration_version',
			'Version in force; 0 before the first',
			gauges.configurationVersion,
		);
		this.gauge(
			'slategauge_limited_engines',
			'Engines that name how many requests a second they take',
			gauges.limitedEngines,
		);
		this.gauge('slategauge_store_calls', 'Calls to the store since the start', gauges.storeCalls);
		this.gauge(
			'slategauge_store_reachable',
			'1 while the last calls to the store succeeded',
			gauges.storeReachable,
		);
		this.gauge(
			'slategauge_log_lines_dropped',
			'Log lines dropped since the start',
			gauges.logLinesDropped,
		);
		this.gauge('slategauge_event_loop_delay_seconds', 'Largest delay since last asked', () => {
			const worst = this.delayMs / 1000;
			this.delayMs = 0;
			return worst;
		});
		this.gauge(
			'slategauge_duty_token',
			'Fencing token under which this VM acts for the fleet; 0 while it does not',
			() => gauges.duties().token,
		);
		this.gauge(
			'slategauge_usage_windows_reported',
			'Windows of usage that the platform took in time from this VM, since the start',
			() => gauges.duties().reported,
		);
		this.gauge(
			'slategauge_usage_windows_late',
			'Windows of usage that the platform took too late from this VM, since the start',
			() => gauges.duties().missed,
		);
		this.gauge(
			'slategauge_engine_orders',
			'Orders of engines that the platform took from this VM, since the start',
			() => gauges.duties().orders,
		);
		this.gauge(
			'slategauge_quarantined_contents',
			'Contents of requests that are kept from engines because engines ended under them',
			gauges.quarantinedContents,
		);
		this.costGauge(
			gauges,
			'slategauge_read_seconds_per_token',
			'Reading a prompt token',
			'readMsPerToken',
		);
		this.costGauge(
			gauges,
			'slategauge_event_pause_seconds',
			'Undisturbed pause of a stream',
			'eventIntervalMs',
		);
		this.costGauge(
			gauges,
			'slategauge_copy_seconds_per_token',
			'Copying a read token',
			'copyMsPerToken',
		);
		this.serviceGauge(
			gauges,
			'slategauge_slowest_engine_pace',
			'Times as long as the figures of its service that its slowest engine takes, by service',
			({ slowestPace }) => slowestPace,
		);
		this.gauge('slategauge_resident_bytes', 'Memory of the process', () =>
			process.memoryUsage.rss(),
		);
	}

	recordEnded(route: string, outcome: RelayOutcome, tookMs: number, firstMs?: number): void {
		this.endedTotal.inc({ route, outcome });
		this.tookSeconds.observe({ route }, tookMs / 1000);
		if (firstMs !== undefined) {
			this.firstSeconds.observe({ route }, firstMs / 1000);
		}
	}

	recordDenied(status: number): void {
		this.deniedTotal.inc({ status: String(status) });
	}

	recordRetry(service: string): void {
		this.retriedTotal.inc({ service });
	}

	recordStoreRestored(): void {
		this.restoredTotal.inc();
	}

	recordPermitDenied(service: string): void {
		this.permitDeniedTotal.inc({ service });
	}

	recordCircuitOpened(): void {
		this.closedTotal.inc();
	}

	/**
	 * The daemon's own timer fired so much late, in milliseconds. A monitor of the runtime's would wake the process 50 times a
	 * second for it; no gain in processor time was measured.
	 */
	recordEventLoopDelay(ms: number): void {
		this.delayMs = Math.max(this.delayMs, ms);
	}

	/** All figures as text. */
	render(): Promise<string> {
		return this.registry.metrics();
	}

	private counter(name: string, help: string, labelNames: string[]): prometheus.Counter {
		return new prometheus.Counter({ name, help, labelNames, registers: [this.registry] });
	}

	private histogram(name: string, help: string): prometheus.Histogram {
		const labelNames = ['route'];
		const registers = [this.registry];
		return new prometheus.Histogram({ name, help, labelNames, registers, buckets: secondBuckets });
	}

	/** One figure of all services, in seconds. */
	private costGauge(
		gauges: RelayGauges,
		name: string,
		what: string,
		figure: keyof CostEstimates,
	): void {
		const help = `${what}, as estimated, by service`;
		this.serviceGauge(gauges, name, help, ({ estimates: figures }) => figures[figure] / 1000);
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
