/**
 * Regenerates the trace fixtures: `node dist/bench/make-fixtures.js`.
 * @module
 */
import * as fs from 'node:fs/promises';
import { lakeshore } from './deployments.js';
import { makeTrace } from './make-trace.js';

const morningMs = 12_000;
const interval = { fromMs: 0, untilMs: morningMs };

const morning = makeTrace(
	lakeshore,
	[
		{
			class: 'rundown',
			customers: ['newsroom'],
			requestsPerS: 2,
			medianTokens: 60,
			stream: true,
			...interval,
		},
		{
			class: 'catch-up',
			customers: ['commuter-web'],
			requestsPerS: 4,
			medianTokens: 30,
			stream: false,
			...interval,
		},
		{
			class: 'chat',
			customers: ['listener-app'],
			requestsPerS: 8,
			medianTokens: 40,
			stream: true,
			...interval,
		},
		{
			class: 'archive',
			customers: ['archive-desk'],
			requestsPerS: 1,
			medianTokens: 120,
			stream: true,
			...interval,
		},
		{
			class: 'recap-post',
			customers: ['newsroom'],
			requestsPerS: 1,
			medianTokens: 0,
			stream: false,
			...interval,
		},
	],
	20261202,
);
const lines = morning.map((item) => JSON.stringify(item));
await fs.writeFile('test/fixtures/lakeshore-morning.jsonl', `${lines.join('\n')}\n`);
