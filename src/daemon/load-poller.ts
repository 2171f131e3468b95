/**
 * Reads the load reports of endpoints, at a steady pace with jitter.
 * @module
 */
import type { Endpoint } from '../core/configuration/index.js';
import { endpointKinds } from '../core/configuration/index.js';
import type { EndpointClient, LoadReport, Random } from '../core/definitions.js';

const everyMs = 1000;

export interface LoadPollerOptions {
	endpoints: EndpointClient;
	random: Random;
	onReport: (endpoint: string, report: LoadReport) => void;
}

export class LoadPoller {
	private followed = new Map<string, Endpoint>();
	private readonly timers = new Map<string, NodeJS.Timeout>();

	constructor(private readonly opts: LoadPollerOptions) {}

	/** Reads the reports of these endpoints from now on. */
	setEndpoints(endpoints: readonly Endpoint[]): void {
		const engines = endpoints.filter((endpoint) => endpoint.kind === endpointKinds.engine);
		this.followed = new Map(engines.map((endpoint) => [endpoint.name, endpoint]));
		for (const [name, timer] of this.timers) {
			if (!this.followed.has(name)) {
				clearTimeout(timer);
				this.timers.delete(name);
			}
		}
		for (const name of this.followed.keys()) {
			if (!this.timers.has(name)) {
				this.schedule(name);
			}
		}
	}

	stop(): void {
		this.setEndpoints([]);
	}

	private schedule(name: string): void {
		const wait = everyMs * (0.75 + this.opts.random.next() / 2);
		this.timers.set(
			name,
			setTimeout(() => void this.poll(name), wait),
		);
	}

	private async poll(name: string): Promise<void> {
		const endpoint = this.followed.get(name);
		if (!endpoint) {
			return;
		}
		try {
			this.opts.onReport(name, await this.opts.endpoints.fetchLoad(endpoint.url));
		} catch {
			// An endpoint that gives no report is judged by its answers alone.
		}
		if (this.followed.has(name)) {
			this.schedule(name);
		}
	}
}
