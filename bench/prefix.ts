/**
 * Prefix affinity against plain least-loaded: long shared prompts, engines with small caches.
 * @module
 */
import { formatTable } from '../src/core/text/table.js';
import { lakeshore } from './deployments.js';
import { runExperiment } from './experiment.js';
import type { BenchArgs } from './main.js';
import { makeTrace } from './make-trace.js';
import { writeResult } from './output.js';

const engine = { stepBaseMs: 10, stepEachMs: 1, prefillCharsPerMs: 4, cachedPrefixes: 6 };
/** Shared prompts in use; each engine can keep six. */
const sharedPrompts = 40;
/** Prompts longer than the part that engines cache whole are of no use here, in characters. */
const sharedChars = 400;
const perSecond = 60;

export async function prefixBench(args: BenchArgs): Promise<void> {
	const rows: object[] = [];
	for (const seed of args.seeds) {
		const untilMs = args.seconds * 1000;
		const span = { fromMs: 0, untilMs, tokens: 20, stream: true, perSecond };
		const plain = makeTrace(
			lakeshore,
			[{ class: 'chat', customers: ['listener-app'], ...span }],
			seed,
		);
		const trace = plain.map((item, index) => ({
			...item,
			system: `prompt ${(index * 7919) % sharedPrompts} `.padEnd(sharedChars, 'x'),
		}));
		for (const affinity of [false, true]) {
			const result = await runExperiment({
				deployment: lakeshore,
				daemons: args.daemons,
				engines: args.endpoints,
				engine,
				endpoint: { slots: 24, max_slots: 64 },
				policy: { name: 'granted', prefix_affinity: affinity },
				trace,
			});
			const [chat] = result.classes;
			rows.push({
				seed,
				prefix_affinity: affinity,
				first_p50: chat?.first_p50,
				first_p95: chat?.first_p95,
				attained: chat?.attained,
				cache_hits_percent: result.cacheHitPercent,
			});
		}
	}
	process.stdout.write(`${formatTable(rows)}\n`);
	await writeResult(args.out, { bench: 'prefix', rows });
}
