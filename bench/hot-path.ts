/**
 * Measures the latency and CPU cost of a daemon against direct calls and against a minimal relay.
 * @module
 */
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';
import { formatTable } from '../src/core/text/table.js';
import { buildConfiguration, lakeshore } from './deployments.js';
import { bareRelayPath, customerApiKey, Fleet, spawnWithPort } from './fleet.js';
import { writeResult } from './output.js';

/** Sequential requests per path in the latency measurement. */
const latencyRounds = 1500;
const warmUpRounds = 300;
/** Concurrent streams in the throughput measurement. */
const concurrentStreams = 256;
const streamTokens = 300;
const throughputRounds = 2;
const engineCount = 4;
const microsPerMs = 1000;

interface MeasuredPath {
	name: string;
	url: string;
	/** Returns the CPU time that the process has used, in milliseconds. */
	cpuMs: () => Promise<number>;
}

export async function runHotPathBench(out: string): Promise<void> {
	const fleet = new Fleet({ daemons: 1, domains: lakeshore.domains });
	const engine = { stepBaseMs: 1, stepMsPerRequest: 0, maxBatch: 256 };
	await fleet.startStandIns(
		Array.from({ length: engineCount }, () => engine),
		0,
	);
	const relay = await spawnWithPort('relay', [
		bareRelayPath,
		`http://127.0.0.1:${fleet.engines[0]?.port}`,
	]);
	try {
		await fleet.startDaemons();
		const endpoint = { slots: 256, max_slots: 256 };
		const policy = { name: 'granted', learn_limits: false };
		const cfg = buildConfiguration(lakeshore, fleet, policy, endpoint);
		await fleet.applyConfiguration({ ...cfg, endpoints: cfg.endpoints.slice(0, 1) });
		const paths: MeasuredPath[] = [
			{ name: 'direct', url: `http://127.0.0.1:${fleet.engines[0]?.port}`, cpuMs: async () => 0 },
			{
				name: 'bare relay',
				url: `http://127.0.0.1:${relay.port}`,
				cpuMs: async () => Number(await (await fetch(`http://127.0.0.1:${relay.port}/cpu`)).text()),
			},
			{
				name: 'slategauged',
				url: fleet.daemonUrls[0] ?? '',
				cpuMs: async () => (await fleet.createControlClient(0).status.query()).cpu_ms,
			},
		];
		const rows = await measureAll(paths);
		process.stdout.write(`${formatTable(rows)}\n`);
		await writeResult(out, { bench: 'hot-path', rows });
	} finally {
		relay.child.kill();
		await fleet.stop();
	}
}

async function measureAll(paths: MeasuredPath[]): Promise<object[]> {
	const histograms = await measureLatencies(paths);
	const rows: object[] = [];
	for (const path of paths) {
		const load = await measureThroughput(path);
		const histogram = histograms.get(path.name);
		rows.push({
			path: path.name,
			first_token_p50_ms: percentileMs(histogram, 50),
			first_token_p99_ms: percentileMs(histogram, 99),
			...load,
		});
	}
	return rows;
}

/** Alternates between the paths, so that noise affects all of them equally. */
async function measureLatencies(paths: MeasuredPath[]): Promise<Map<string, hdr.Histogram>> {
	const pools = new Map(paths.map((path) => [path.name, new undici.Pool(path.url)]));
	const histograms = new Map(paths.map((path) => [path.name, hdr.build()]));
	for (let round = 0; round < latencyRounds + warmUpRounds; round++) {
		for (const path of paths) {
			const startedAtMs = performance.now();
			const firstAtMs = await timeFirstChunk(pools.get(path.name) as undici.Pool, 2);
			if (round >= warmUpRounds) {
				histograms.get(path.name)?.recordValue((firstAtMs - startedAtMs) * microsPerMs);
			}
		}
	}
	await Promise.all([...pools.values()].map((pool) => pool.destroy()));
	return histograms;
}

async function timeFirstChunk(pool: undici.Pool, tokens: number): Promise<number> {
	const res = await pool.request(buildRequest(tokens));
	let firstAtMs = 0;
	for await (const _chunk of res.body) {
		firstAtMs ||= performance.now();
	}
	return firstAtMs;
}

/** Measures throughput and CPU cost with many concurrent streams. */
async function measureThroughput(path: MeasuredPath): Promise<object> {
	const pool = new undici.Pool(path.url, { connections: concurrentStreams });
	await runStreams(pool, 1, 20);
	const cpuBefore = await path.cpuMs();
	const startedAtMs = performance.now();
	const tokens = await runStreams(pool, throughputRounds, streamTokens);
	const seconds = (performance.now() - startedAtMs) / 1000;
	const cpuMs = (await path.cpuMs()) - cpuBefore;
	await pool.destroy();
	const requests = concurrentStreams * throughputRounds;
	return {
		tokens_per_s: Math.round(tokens / seconds),
		requests_per_s: Math.round(requests / seconds),
		cpu_us_per_token: cpuMs === 0 ? '-' : round((cpuMs * 1000) / tokens),
		tokens_per_s_of_one_core: cpuMs === 0 ? '-' : Math.round(tokens / (cpuMs / 1000)),
	};
}

async function runStreams(pool: undici.Pool, rounds: number, tokens: number): Promise<number> {
	const runStream = async () => {
		for (let round = 0; round < rounds; round++) {
			const res = await pool.request(buildRequest(tokens));
			await res.body.dump({ limit: Number.MAX_SAFE_INTEGER });
		}
	};
	await Promise.all(Array.from({ length: concurrentStreams }, runStream));
	return concurrentStreams * rounds * tokens;
}

function buildRequest(tokens: number): undici.Dispatcher.RequestOptions {
	return {
		method: 'POST',
		path: '/v1/chat/completions',
		headers: {
			authorization: `Bearer ${customerApiKey('archive-desk')}`,
			'content-type': 'application/json',
		},
		body: JSON.stringify({
			model: lakeshore.model,
			stream: true,
			messages: [{ role: 'user', content: `len=${tokens}` }],
		}),
	};
}

function percentileMs(histogram: hdr.Histogram | undefined, percentile: number): number {
	return round((histogram?.getValueAtPercentile(percentile) ?? 0) / microsPerMs);
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
