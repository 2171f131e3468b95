/**
 * `slategauge status`: prints the state of every daemon.
 * @module
 */
import type * as yargs from 'yargs';
import { formatTable } from '../../core/text/table.js';
import { exitCodes } from '../exit-codes.js';
import { FleetClient } from '../fleet-client.js';
import type { GlobalArgs } from '../types.js';

export const statusCommand: yargs.CommandModule<GlobalArgs, GlobalArgs> = {
	command: 'status',
	describe: 'show the readiness, configuration version, queue and resource use of every daemon',
	handler: async (args) => {
		const fleet = new FleetClient(args);
		const { answers, missing } = await fleet.queryAll((client) => client.status.query());
		const rows = answers.map(({ value }) => ({
			vm: value.vm,
			failure_domain: value.failure_domain,
			ready: value.ready,
			configuration: value.configuration_version,
			policy: value.policy,
			queued: value.queued,
			running: value.running,
			kv_calls: value.kv_calls,
			rss_mb: Math.round(value.rss_bytes / 1e6),
			up_s: Math.round(value.uptime_ms / 1000),
		}));
		process.stdout.write(`${formatTable(rows)}\n`);
		if (missing.length > 0) {
			process.stdout.write(`no answer from: ${missing.join(', ')}\n`);
			process.exitCode = exitCodes.partial;
		}
	},
};
