/**
 * Waits until every VM has applied a version of the configuration.
 * @module
 */
import { exitCodes } from '../exit-codes.js';
import type { FleetClient } from '../fleet-client.js';

const maxWaitMs = 5000;
const pollIntervalMs = 100;

/** Prints how many VMs have applied the version. Resolves with the exit code. */
export async function waitUntilApplied(fleet: FleetClient, version: number): Promise<number> {
	const deadline = performance.now() + maxWaitMs;
	for (;;) {
		const { answers, missing } = await fleet.queryAll((client) => client.status.query());
		const outdated = answers.filter(({ value }) => value.configuration_version < version);
		const done = outdated.length === 0 && missing.length === 0;
		if (done || performance.now() > deadline) {
			const names = [...outdated.map(({ vm }) => vm), ...missing];
			const appliedCount = answers.length - outdated.length;
			const rest = done ? '' : `, not on: ${names.join(', ')}`;
			process.stdout.write(`in force on ${appliedCount} VMs${rest}\n`);
			return done ? exitCodes.ok : exitCodes.partial;
		}
		await new Promise((wake) => setTimeout(wake, pollIntervalMs));
	}
}
