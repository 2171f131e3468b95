/**
 * Says on which VMs a version is in force, and on which not.
 * @module
 */
import { exitCodes } from '../exit-codes.js';
import type { FleetClient } from '../fleet-client.js';

/** Longest wait for a version to be in force everywhere, in milliseconds. */
const inForceMs = 5000;
const pollMs = 100;

/** Resolves with the exit code. */
export async function waitUntilApplied(fleet: FleetClient, version: number): Promise<number> {
	const until = performance.now() + inForceMs;
	for (;;) {
		const { answers, missing } = await fleet.queryAll((client) => client.status.query());
		const behind = answers.filter(({ value }) => value.configuration_version < version);
		const done = behind.length === 0 && missing.length === 0;
		if (done || performance.now() > until) {
			const names = [...behind.map(({ vm }) => vm), ...missing];
			const inForce = answers.length - behind.length;
			const rest = done ? '' : `, not on: ${names.join(', ')}`;
			process.stdout.write(`in force on ${inForce} VMs${rest}\n`);
			return done ? exitCodes.ok : exitCodes.partial;
		}
		await new Promise((wake) => setTimeout(wake, pollMs));
	}
}
