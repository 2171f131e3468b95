/**
 * Replays load bursts against a deployment under each policy, optionally with a fault injected
 * during the burst.
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
import type { TrafficStream } from './make-trace.js';
import { makeTrace } from './make-trace.js';

const engineOptions = { stepBaseMs: 10, stepMsPerRequest: 1, maxBatch: 64 };
const burstFromMs = 3000;

export async function runBurstBench(name: string, args: BenchArgs): Promise<void> {
	const deployment = deployments[args.deployment];
	if (!deployment) {
		throw new Error(
			`unknown deployment "${args.deployment}"; expected one of ${Object.keys(deployments).join(', ')}`,
		);
	}
	for (const seed of args.seeds) {
		for (const policy of args.policies) {
			const result = await runPolicy(name, args, deployment, seed, policy);
			await reportResult({ bench: name, deployment: deployment.name, seed, policy }, args, result);
		}
	}
}

function runPolicy(
	name: string,
	args: BenchArgs,
	deployment: Deployment,
	seed: number,
	policy: string,
): Promise<ExperimentResult> {
	const streams = createBurstStreams(deployment, args.endpoints / 12, args.seconds * 1000);
	const fault: Fault | undefined = faults[name];
	return runExperiment({
		deployment,
		daemons: args.daemons,
		engines: args.endpoints,
		engineOptions,
		endpointOptions: { slots: 24, max_slots: 64 },
		policy: { name: policy },
		trace: makeTrace(deployment, streams, seed),
		fault,
		areDrillsEnabled: fault !== undefined,
	});
}

/**
 * Offers about twice the fleet's capacity, of which the two highest tiers alone fit.
 * @param scale number of engines divided by 12, the fleet size that the rates are chosen for
 */
export function createBurstStreams(
	deployment: Deployment,
	scale: number,
	untilMs: number,
): TrafficStream[] {
	const steady = { fromMs: 0, untilMs, stream: true };
	const burst = { fromMs: burstFromMs, untilMs, stream: true };
	if (deployment.name === 'dasom') {
		const roasters = ['roaster-han', 'roaster-mun'];
		return [
			{
				class: 'letter',
				customers: ['letters'],
				requestsPerS: 30 * scale,
				medianTokens: 80,
				...steady,
			},
			{ class: 'chat', customers: roasters, requestsPerS: 40 * scale, medianTokens: 40, ...steady },
			{
				class: 'lot-tag',
				customers: ['warehouse'],
				requestsPerS: 20 * scale,
				medianTokens: 30,
				...steady,
			},
			{
				class: 'lot-tag',
				customers: ['warehouse'],
				requestsPerS: 320 * scale,
				medianTokens: 30,
				...burst,
			},
			{
				class: 'order',
				customers: ['letters'],
				requestsPerS: 4 * scale,
				medianTokens: 0,
				...steady,
			},
		];
	}
	return [
		{
			class: 'rundown',
			customers: ['newsroom'],
			requestsPerS: 15 * scale,
			medianTokens: 60,
			...steady,
		},
		{
			class: 'catch-up',
			customers: ['commuter-web'],
			requestsPerS: 60 * scale,
			medianTokens: 30,
			...steady,
		},
		{
			class: 'chat',
			customers: ['listener-app'],
			requestsPerS: 30 * scale,
			medianTokens: 40,
			...steady,
		},
		{
			class: 'chat',
			customers: ['listener-app'],
			requestsPerS: 250 * scale,
			medianTokens: 40,
			...burst,
		},
		{
			class: 'archive',
			customers: ['archive-desk'],
			requestsPerS: 8 * scale,
			medianTokens: 120,
			...steady,
		},
		{
			class: 'recap-post',
			customers: ['newsroom'],
			requestsPerS: 2 * scale,
			medianTokens: 0,
			...steady,
		},
	];
}

async function reportResult(
	labels: object,
	args: BenchArgs,
	result: ExperimentResult,
): Promise<void> {
	const { classes, findings, findingsOfRest, ...totals } = result;
	process.stdout.write(`\n${JSON.stringify(labels)}\n${formatTable(classes)}\n`);
	process.stdout.write(`${JSON.stringify(totals)}\n${JSON.stringify(findings)}\n`);
	if (findingsOfRest) {
		process.stdout.write(`excluding the isolated VM: ${JSON.stringify(findingsOfRest)}\n`);
	}
	if (args.out !== '') {
		const line = { ...labels, daemons: args.daemons, endpoints: args.endpoints, ...result };
		await fs.appendFile(args.out, `${JSON.stringify(line)}\n`);
	}
}
