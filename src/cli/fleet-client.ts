/**
 * Client for the control interface of the whole fleet, which it discovers through one daemon.
 * @module
 */
import type { ControlClient } from '../infra/control/control-client.js';
import { createControlClient } from '../infra/control/control-client.js';
import type { GlobalArgs } from './types.js';

const timeoutMs = 3000;

/** Timeout of calls that may wait for a lease to expire. */
const longTimeoutMs = 30_000;

/** Values by VM, and the VMs whose call failed or timed out. */
export interface FleetAnswers<T> {
	answers: { vm: string; value: T }[];
	missing: string[];
}

export class FleetClient {
	/** Client of the daemon given on the command line. */
	readonly client: ControlClient;
	/** The same daemon, for calls that may wait for a lease to expire. */
	readonly longTimeoutClient: ControlClient;

	constructor(private readonly args: GlobalArgs) {
		this.client = createControlClient(args.daemon, args.token, timeoutMs);
		this.longTimeoutClient = createControlClient(args.daemon, args.token, longTimeoutMs);
	}

	/** Calls all live daemons concurrently; both lists of the result are sorted by VM. */
	async queryAll<T>(call: (client: ControlClient) => Promise<T>): Promise<FleetAnswers<T>> {
		const status = await this.client.status.query();
		const result: FleetAnswers<T> = { answers: [], missing: [] };
		const calls = status.members.map(async ({ vm, control }) => {
			const client = createControlClient(control, this.args.token, timeoutMs);
			try {
				result.answers.push({ vm, value: await call(client) });
			} catch {
				result.missing.push(vm);
			}
		});
		await Promise.all(calls);
		result.answers.sort((a, b) => a.vm.localeCompare(b.vm));
		result.missing.sort();
		return result;
	}
}
