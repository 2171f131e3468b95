/**
 * `slategauge replay`: replays a recorded trace against a running system and checks the outcomes.
 * @module
 */
import * as fs from 'node:fs/promises';
import type * as yargs from 'yargs';
import * as errors from '../../core/errors/index.js';
import { summarize } from '../../core/replay/summary.js';
import type { TraceRequest } from '../../core/replay/types.js';
import { traceRequestSchema } from '../../core/replay/types.js';
import { formatTable } from '../../core/text/table.js';
import { ReplayClient } from '../../infra/replay-client.js';
import { exitCodes } from '../exit-codes.js';
import { FleetClient } from '../fleet-client.js';
import type { GlobalArgs } from '../types.js';
import { readClassTargets } from './targets.js';

interface ReplayArgs extends GlobalArgs {
	trace: string;
	to: string[];
	keys: string;
	timeout: number;
	results?: string;
}

const progressBarWidth = 40;

export const replayCommand: yargs.CommandModule<GlobalArgs, ReplayArgs> = {
	command: 'replay <trace>',
	describe: 'replay a recorded trace against a running system and check the outcomes',
	builder: (args) =>
		args
			.positional('trace', {
				type: 'string',
				demandOption: true,
				describe: 'trace file (JSON lines)',
			})
			.option('to', {
				type: 'string',
				array: true,
				demandOption: true,
				describe: 'base URLs to send requests to, round-robin',
			})
			.option('keys', {
				type: 'string',
				demandOption: true,
				describe: 'JSON file with the bearer key of each customer',
			})
			.option('results', {
				type: 'string',
				describe: 'write the results to this file, for `report`',
			})
			.option('timeout', {
				type: 'number',
				default: 120,
				describe: 'timeout of a request in seconds',
			}),

	handler: async (args) => {
		const trace = await readTrace(args.trace);
		const keys = new Map(Object.entries(JSON.parse(await fs.readFile(args.keys, 'utf8'))));
		const targets = await readClassTargets(new FleetClient(args));
		const client = new ReplayClient({
			daemonUrls: args.to,
			keys: keys as Map<string, string>,
			timeoutMs: args.timeout * 1000,
			onResult: (_result, done, total) => drawProgressBar(done, total),
		});
		const results = await client.replay(trace);
		const durationS = Math.max((trace.at(-1)?.at_ms ?? 0) / 1000, 1);
		if (args.results !== undefined) {
			const text = results.map((result) => JSON.stringify(result)).join('\n');
			await fs.writeFile(args.results, `${text}\n`);
		}
		process.stdout.write(`${formatTable(summarize(results, targets, durationS))}\n`);
		const wrong = results.filter((result) => result.wrong);
		for (const result of wrong) {
			process.stdout.write(`wrong: ${JSON.stringify(result)}\n`);
		}
		process.exitCode = wrong.length === 0 ? exitCodes.ok : exitCodes.failed;
	},
};

async function readTrace(file: string): Promise<TraceRequest[]> {
	const lines = (await fs.readFile(file, 'utf8')).split('\n');
	const trace: TraceRequest[] = [];
	const findings: errors.Finding[] = [];
	for (const [index, line] of lines.entries()) {
		if (line === '') {
			continue;
		}
		const parsed = parseTraceLine(line);
		if (parsed.value) {
			trace.push(parsed.value);
		} else {
			findings.push({ file, line: index + 1, column: 1, path: '(line)', message: parsed.message });
		}
	}
	if (findings.length > 0) {
		process.stderr.write(`${findings.map(errors.formatFinding).join('\n')}\n`);
		process.exit(exitCodes.configuration);
	}
	return trace;
}

function parseTraceLine(line: string): { value?: TraceRequest; message: string } {
	try {
		const parsed = traceRequestSchema.safeParse(JSON.parse(line));
		const message = parsed.error?.issues
			.map((issue) => `${issue.path.join('.')}: ${issue.message}`)
			.join('; ');
		return { value: parsed.data, message: message ?? '' };
	} catch (err) {
		return { message: (err as Error).message };
	}
}

function drawProgressBar(done: number, total: number): void {
	if (!process.stderr.isTTY) {
		return;
	}
	const filled = Math.round((progressBarWidth * done) / total);
	const bar = '#'.repeat(filled).padEnd(progressBarWidth, '.');
	process.stderr.write(`\r[${bar}] ${done}/${total}${done === total ? '\n' : ''}`);
}
