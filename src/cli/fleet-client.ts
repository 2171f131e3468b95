/**
 * Asks every daemon of the fleet, found through one of them.
 * @module
 */
import type { ControlClient } from '../infra/control/control-client.js';
import { createControlClient } from '../infra/control/control-client.js';
import type { GlobalArgs } from './types.js';

/** Time for one daemon's answer, in milliseconds. */
const answerMs = 3000;

/** Time for a call that may wait out a lease, in milliseconds. */
const slowAnswerMs = 30_000;

/** Answers of the daemons that gave one, and the VMs that did not. */
export interface FleetAnswers<T> {
	answers: { vm: string; value: T }[];
	missing: string[];
}

export class FleetClient {
	readonly client: ControlClient;
	/** The same daemon, for calls that may wait out a lease. */
	readonly longTimeoutClient: ControlClient;

	constructor(private readonly args: GlobalArgs) {
		this.client = createControlClient(args.daemon, args.token, answerMs);
		this.longTimeoutClient = createControlClient(args.daemon, args.token, slowAnswerMs);
	}

	/** Asks every live daemon at once. */
	async queryAll<T>(ask: (client: ControlClient) => Promise<T>): Promise<FleetAnswers<T>> {
		const status = await this.client.status.query();
		const result: FleetAnswers<T> = { answers: [], missing: [] };
		const asks = status.members.map(async ({ vm, control }) => {
			const client = createControlClient(control, this.args.token, answerMs);
			try {
				result.answers.push({ vm, value: await ask(client) });
			} catch {
				result.missing.push(vm);
			}
		});
		await Promise.all(asks);
		result.answers.sort((a, b) => a.vm.localeCompare(b.vm));
		result.missing.sort();
		return result;
	}
}
