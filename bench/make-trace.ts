/**
 * Makes traces of both deployments from a seed. The answer of each request is known, since the
 * stand-in engine's text is a function of the prompt.
 * @module
 */
import * as crypto from 'node:crypto';
import type { TraceRequest } from '../src/core/replay/types.js';
import { wholeAnswer } from '../test/stand-ins/engine-text.js';
import type { Deployment } from './deployments.js';
import type { Rng } from './random.js';
import { createRng, generateArrivals, sampleLongTailLength } from './random.js';

/** One class's stream of requests. */
export interface TrafficStream {
	class: string;
	customers: string[];
	requestsPerS: number;
	fromMs: number;
	untilMs: number;
	/** Median tokens of an answer; 0 for a plain service. */
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
		for (const at of generateArrivals(rng, stream.requestsPerS, stream.fromMs, stream.untilMs)) {
			trace.push(makeRequest(deployment, stream, at, rng, `${seed}-${index}-${trace.length}`));
		}
	}
	return trace.sort((a, b) => a.at_ms - b.at_ms);
}

function makeRequest(
	deployment: Deployment,
	stream: TrafficStream,
	at: number,
	rng: Rng,
	id: string,
): TraceRequest {
	const customer = stream.customers[Math.floor(rng() * stream.customers.length)] ?? '';
	const shared = { at_ms: Math.round(at), id, customer, class: stream.class };
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
