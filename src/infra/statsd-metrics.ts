/**
 * Metrics through a StatsD agent.
 * @module
 */
import * as hotShots from 'hot-shots';
import type { Metrics } from '../core/definitions.js';

export interface StatsdOptions {
	/** Agent to send to; without one, nothing is sent. */
	host?: string;
	port: number;
	vm: string;
	domain: string;
}

export class StatsdMetrics implements Metrics {
	private readonly client: hotShots.StatsD;

	constructor(opts: StatsdOptions) {
		this.client = new hotShots.StatsD({
			host: opts.host ?? '127.0.0.1',
			port: opts.port,
			mock: opts.host === undefined,
			prefix: 'slategauge.',
			globalTags: { vm: opts.vm, failure_domain: opts.domain },
			maxBufferSize: 1200,
			errorHandler: () => {},
		});
	}

	count(name: string, value: number, tags: Record<string, string> = {}): void {
		this.client.increment(name, value, tags);
	}

	timing(name: string, ms: number, tags: Record<string, string> = {}): void {
		this.client.timing(name, ms, tags);
	}

	gauge(name: string, value: number, tags: Record<string, string> = {}): void {
		this.client.gauge(name, value, tags);
	}

	close(): void {
		this.client.close(() => {});
	}
}
