/**
 * Reads the latency targets of all classes from the configuration in force.
 * @module
 */
import type { ClassTargets } from '../../core/replay/types.js';
import type { FleetClient } from '../fleet-client.js';

export async function readClassTargets(fleet: FleetClient): Promise<Map<string, ClassTargets>> {
	const current = await fleet.client.configuration.query();
	const classes = current?.document.classes ?? [];
	return new Map(
		classes.map((cls) => [
			cls.name,
			{
				tier: cls.tier,
				firstTokenMs: cls.first_token_ms,
				betweenTokensMs: cls.between_tokens_ms,
				deadlineMs: cls.deadline_ms,
			},
		]),
	);
}
