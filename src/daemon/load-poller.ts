/**
 * Polls the load reports of engines at a fixed interval with jitter.
 * @module
 */
import type { Endpoint } from '../core/configuration/index.js';
import { endpointKinds } from '../core/configuration/index.js';
import type { EndpointClient, LoadReport, Random } from '../core/definitions.js';

const pollIntervalMs = 1000;

export interface LoadPollerOptions {
	endpoints: EndpointClient;
	random: Random;
	onReport: (endpoint: string, report: LoadReport) => void;
}

export class LoadPoller {
	private polledEndpoints = new Map<string, Endpoint>();
	private readonly timers = new Map<string, NodeJS.Timeout>();

	constructor(private readonly opts: LoadPollerOptions) {}

	/** Sets the endpoints to poll; those that are not engines are ignored. */
	setEndpoints(endpoints: readonly Endpoint[]): void {
		const engines = endpoints.filter((endpoint) => endpoint.kind === endpointKinds.engine);
		this.polledEndpoints = new Map(engines.map((endpoint) => [endpoint.name, endpoint]));
		for (const [name, timer] of this.timers) {
			if (!this.polledEndpoints.has(name)) {
				clearTimeout(timer);
				this.timers.delete(name);
			}
		}
		for (const name of this.polledEndpoints.keys()) {
			if (!this.timers.has(name)) {
				this.schedule(name);
			}
		}
	}

	stop(): void {
		this.setEndpoints([]);
	}

	private schedule(name: string): void {
		const wait = pollIntervalMs * (0.75 + this.opts.random.next() / 2);
		this.timers.set(
			name,
			setTimeout(() => void this.poll(name), wait),
		);
	}

	private async poll(name: string): Promise<void> {
		const endpoint = this.polledEndpoints.get(name);
		if (!endpoint) {
			return;
		}
		try {
			this.opts.onReport(name, await this.opts.endpoints.fetchLoad(endpoint.url));
		} catch {
			// Load reports are optional: without one, only the endpoint's answers count.
		}
		if (this.polledEndpoints.has(name)) {
			this.schedule(name);
		}
	}
}
