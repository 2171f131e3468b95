/**
 * Generates deterministic request traces with expected answers; the stand-in engine's answer is a
 * function of the prompt.
 * @module
 */
import * as crypto from 'node:crypto';
import type { TraceRequest } from '../src/core/replay/types.js';
import { wholeAnswer } from '../test/stand-ins/engine-text.js';
import type { Deployment } from './deployments.js';
import type { Rng } from './random.js';
import { createRng, generateArrivals, sampleLongTailLength } from './random.js';

/** Poisson arrivals of requests of one class. */
export interface TrafficStream {
	class: string;
	customers: string[];
	requestsPerS: number;
	fromMs: number;
	untilMs: number;
	/** Median answer length; 0 sends the requests to the deployment's service instead of a model. */
	medianTokens: number;
	stream: boolean;
}

export function makeTrace(
	deployment: Deployment,
	streams: TrafficStream[],
	seed: number,
): TraceRequest[] {
	const trace: TraceRequest[] = [];
	for (const [index, stream] of streams.entries()) {
		const rng = createRng(seed * 1000 + index);
		for (const atMs of generateArrivals(rng, stream.requestsPerS, stream.fromMs, stream.untilMs)) {
			trace.push(makeRequest(deployment, stream, atMs, rng, `${seed}-${index}-${trace.length}`));
		}
	}
	return trace.sort((a, b) => a.at_ms - b.at_ms);
}

function makeRequest(
	deployment: Deployment,
	stream: TrafficStream,
	atMs: number,
	rng: Rng,
	id: string,
): TraceRequest {
	const customer = stream.customers[Math.floor(rng() * stream.customers.length)] ?? '';
	const shared = { at_ms: Math.round(atMs), id, customer, class: stream.class };
	if (stream.medianTokens === 0) {
		return {
			...shared,
			kind: 'service',
			target: deployment.service,
			prompt: JSON.stringify({ id }),
			system: '',
			stream: false,
			key: `key-${id}`,
			outcomes: ['complete', 'not-run'],
			answer_sha256: sha256(JSON.stringify({ id, count: 1 })),
		};
	}
	const length = sampleLongTailLength(rng, stream.medianTokens);
	const prompt = `${stream.class} request ${id} len=${length}`;
	return {
		...shared,
		kind: 'chat',
		target: deployment.model,
		prompt,
		system: `You help ${customer} with ${stream.class}. `.repeat(8),
		stream: stream.stream,
		outcomes: ['complete', 'not-run'],
		answer_sha256: sha256(wholeAnswer(prompt)),
		answer_tokens: length,
	};
}

function sha256(text: string): string {
	return crypto.createHash('sha256').update(text).digest('hex');
}
