/**
 * Bursts of both deployments, with and without a fault in mid-burst, policies side by side.
 * @module
 */
import * as fs from 'node:fs/promises';
import { formatTable } from '../src/core/text/table.js';
import type { Deployment } from './deployments.js';
import { deployments } from './deployments.js';
import type { ExperimentResult, Fault } from './experiment.js';
import { runExperiment } from './experiment.js';
import { faults } from './faults.js';
import type { BenchArgs } from './main.js';
import type { Stream } from './make-trace.js';
import { makeTrace } from './make-trace.js';

/** Engines of the burst: about 750 tokens a second each at 50 ms between tokens. */
const burstEngine = { stepBaseMs: 10, stepEachMs: 1, maxBatch: 64 };
/** Offered load of the steady classes and of the burst, for twelve engines. */
const burstFromMs = 3000;

export async function burstBench(name: string, args: BenchArgs): Promise<void> {
	const deployment = deployments[args.deployment];
	if (!deployment) {
		throw new Error(`no deployment is named ${args.deployment}`);
	}
	for (const seed of args.seeds) {
		for (const policy of args.policies) {
			const result = await runOne(name, args, deployment, seed, policy);
			await report({ bench: name, deployment: deployment.name, seed, policy }, args, result);
		}
	}
}

function runOne(
	name: string,
	args: BenchArgs,
	deployment: Deployment,
	seed: number,
	policy: string,
): Promise<ExperimentResult> {
	const streams = burstStreams(deployment, args.endpoints / 12, args.seconds * 1000);
	const fault: Fault | undefined = faults[name];
	return runExperiment({
		deployment,
		daemons: args.daemons,
		engines: args.endpoints,
		engine: burstEngine,
		endpoint: { slots: 24, max_slots: 64 },
		policy: { name: policy },
		trace: makeTrace(deployment, streams, seed),
		fault,
		drills: fault !== undefined,
	});
}

/** Twice the capacity in all; the two highest tiers alone fit. */
export function burstStreams(deployment: Deployment, scale: number, untilMs: number): Stream[] {
	const steady = { fromMs: 0, untilMs, stream: true };
	const burst = { fromMs: burstFromMs, untilMs, stream: true };
	if (deployment.name === 'dasom') {
		const roasters = ['roaster-han', 'roaster-mun'];
		return [
			{ class: 'letter', customers: ['letters'], perSecond: 30 * scale, tokens: 80, ...steady },
			{ class: 'chat', customers: roasters, perSecond: 40 * scale, tokens: 40, ...steady },
			{ class: 'lot-tag', customers: ['warehouse'], perSecond: 20 * scale, tokens: 30, ...steady },
			{ class: 'lot-tag', customers: ['warehouse'], perSecond: 320 * scale, tokens: 30, ...burst },
			{ class: 'order', customers: ['letters'], perSecond: 4 * scale, tokens: 0, ...steady },
		];
	}
	return [
		{ class: 'rundown', customers: ['newsroom'], perSecond: 15 * scale, tokens: 60, ...steady },
		{
			class: 'catch-up',
			customers: ['commuter-web'],
			perSecond: 60 * scale,
			tokens: 30,
			...steady,
		},
		{ class: 'chat', customers: ['listener-app'], perSecond: 30 * scale, tokens: 40, ...steady },
		{ class: 'chat', customers: ['listener-app'], perSecond: 250 * scale, tokens: 40, ...burst },
		{ class: 'archive', customers: ['archive-desk'], perSecond: 8 * scale, tokens: 120, ...steady },
		{ class: 'recap-post', customers: ['newsroom'], perSecond: 2 * scale, tokens: 0, ...steady },
	];
}

async function report(labels: object, args: BenchArgs, result: ExperimentResult): Promise<void> {
	const { classes, findings, findingsOfRest, ...totals } = result;
	process.stdout.write(`\n${JSON.stringify(labels)}\n${formatTable(classes)}\n`);
	process.stdout.write(`${JSON.stringify(totals)}\n${JSON.stringify(findings)}\n`);
	if (findingsOfRest) {
		process.stdout.write(`without the VM that was cut off: ${JSON.stringify(findingsOfRest)}\n`);
	}
	if (args.out !== '') {
		const line = { ...labels, daemons: args.daemons, endpoints: args.endpoints, ...result };
		await fs.appendFile(args.out, `${JSON.stringify(line)}\n`);
	}
}
