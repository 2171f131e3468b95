/**
 * Writes the traces that the repository keeps: `node dist/bench/make-fixtures.js`.
 * @module
 */
import * as fs from 'node:fs/promises';
import { lakeshore } from './deployments.js';
import { makeTrace } from './make-trace.js';

const morningMs = 12_000;
const span = { fromMs: 0, untilMs: morningMs };

const morning = makeTrace(
	lakeshore,
	[
		{
			class: 'rundown',
			customers: ['newsroom'],
			requestsPerS: 2,
			medianTokens: 60,
			stream: true,
			...span,
		},
		{
			class: 'catch-up',
			customers: ['commuter-web'],
			requestsPerS: 4,
			medianTokens: 30,
			stream: false,
			...span,
		},
		{
			class: 'chat',
			customers: ['listener-app'],
			requestsPerS: 8,
			medianTokens: 40,
			stream: true,
			...span,
		},
		{
			class: 'archive',
			customers: ['archive-desk'],
			requestsPerS: 1,
			medianTokens: 120,
			stream: true,
			...span,
		},
		{
			class: 'recap-post',
			customers: ['newsroom'],
			requestsPerS: 1,
			medianTokens: 0,
			stream: false,
			...span,
		},
	],
	20261202,
);
const lines = morning.map((item) => JSON.stringify(item));
await fs.writeFile('test/fixtures/lakeshore-morning.jsonl', `${lines.join('\n')}\n`);
