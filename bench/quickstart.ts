/**
 * `npm run quickstart`: replays a fixture trace against three daemons with stand-in engines and
 * checks every answer.
 * @module
 */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import { fileURLToPath } from 'node:url';
import { summarize } from '../src/core/replay/summary.js';
import type { TraceRequest } from '../src/core/replay/types.js';
import { traceRequestSchema } from '../src/core/replay/types.js';
import { formatTable } from '../src/core/text/table.js';
import { ReplayClient } from '../src/infra/replay-client.js';
import type { EngineStats } from '../test/stand-ins/engine.js';
import { buildConfiguration, getClassTargets, lakeshore } from './deployments.js';
import { customerApiKey, Fleet } from './fleet.js';

const currentDir = path.dirname(fileURLToPath(import.meta.url));
const tracePath = path.resolve(currentDir, '../../test/fixtures/lakeshore-morning.jsonl');
const timeoutMs = 60_000;

const fleet = new Fleet({ daemons: 3, domains: lakeshore.domains });
try {
	process.exitCode = await run();
} finally {
	await fleet.stop();
}

async function run(): Promise<number> {
	const trace = await readTrace(tracePath);
	process.stdout.write('starting stand-ins and three daemons ...\n');
	await fleet.startStandIns([{}, {}, {}, {}], 1);
	await fleet.startDaemons();
	const cfg = buildConfiguration(lakeshore, fleet, {});
	await fleet.applyConfiguration(cfg);
	process.stdout.write(`replaying ${trace.length} requests ...\n`);
	const keys = new Map(
		cfg.customers.map((customer) => [customer.name, customerApiKey(customer.name)]),
	);
	const client = new ReplayClient({ daemonUrls: fleet.daemonUrls, keys, timeoutMs });
	const results = await client.replay(trace);
	const durationS = (trace.at(-1)?.at_ms ?? 0) / 1000;
	process.stdout.write(`${formatTable(summarize(results, getClassTargets(cfg), durationS))}\n`);
	const generatedTokens = await countGeneratedTokens();
	const receivedTokens = results.reduce((sum, result) => sum + result.tokens, 0);
	process.stdout.write(`tokens generated ${generatedTokens}, received ${receivedTokens}\n`);
	const failures = results.filter((result) => result.wrong || result.outcome !== 'complete');
	for (const result of failures.slice(0, 10)) {
		process.stdout.write(`wrong: ${JSON.stringify(result)}\n`);
	}
	process.stdout.write(
		`${results.length - failures.length} answers correct, ${failures.length} wrong\n`,
	);
	return failures.length === 0 ? 0 : 1;
}

async function readTrace(file: string): Promise<TraceRequest[]> {
	const text = await fs.readFile(file, 'utf8');
	const lines = text.split('\n').filter((line) => line !== '');
	return lines.map((line) => traceRequestSchema.parse(JSON.parse(line)));
}

async function countGeneratedTokens(): Promise<number> {
	const stats = await Promise.all(
		fleet.engines.map((engine) => fleet.fetchStats<EngineStats>(engine)),
	);
	return stats.reduce((sum, engineStats) => sum + engineStats.generated, 0);
}
