/**
 * Measures the rate of key-value store calls against fleet size: idle, during configuration updates
 * and after an outage.
 * @module
 */

import type { Configuration } from '../src/core/configuration/index.js';
import { formatTable } from '../src/core/text/table.js';
import { buildConfiguration, lakeshore } from './deployments.js';
import { Fleet, sleep } from './fleet.js';
import { writeResult } from './output.js';

const idleMs = 25_000;
const outageMs = 10_000;
const afterOutageMs = 5000;
/** Configuration updates applied one after the other. */
const changeCount = 5;
const changesPerDay = 1300;
const secondsPerDay = 86_400;

export async function runKvBench(sizes: number[], out: string): Promise<void> {
	const rows: object[] = [];
	for (const daemons of sizes) {
		const row = await measureSize(daemons);
		rows.push(row);
		await writeResult(out, { bench: 'kv', ...row });
	}
	process.stdout.write(`${formatTable(rows)}\n`);
}

async function measureSize(daemons: number): Promise<object> {
	const fleet = new Fleet({ daemons, domains: lakeshore.domains });
	try {
		await fleet.startStandIns([{}, {}], 1);
		await fleet.startDaemons();
		const cfg = buildConfiguration(lakeshore, fleet, {});
		await fleet.applyConfiguration(cfg);
		await fleet.waitForStatus((status) => status.members.length === daemons, 60_000);
		await sleep(3000);
		const idle = await countCalls(fleet, () => sleep(idleMs));
		const change = await measureChanges(fleet, cfg);
		const outage = await measureOutage(fleet);
		return {
			daemons,
			idle_calls_s: round(idle / (idleMs / 1000)),
			calls_a_change: round(change.calls / changeCount),
			calls_s_at_1300_changes_a_day: round(
				idle / (idleMs / 1000) + ((change.calls / changeCount) * changesPerDay) / secondsPerDay,
			),
			in_force_everywhere_max_ms: Math.round(change.maxApplyMs),
			calls_in_second_after_outage: outage.firstSecondCalls,
			calls_s_after_outage: round(outage.calls / (afterOutageMs / 1000)),
		};
	} finally {
		await fleet.stop();
	}
}

async function measureChanges(
	fleet: Fleet,
	cfg: Configuration,
): Promise<{ calls: number; maxApplyMs: number }> {
	let maxApplyMs = 0;
	const calls = await countCalls(fleet, async () => {
		for (let change = 0; change < changeCount; change++) {
			const startedAtMs = performance.now();
			const classes = cfg.classes.map((cls) => ({
				...cls,
				deadline_ms: cls.deadline_ms + change + 1,
			}));
			await fleet.applyConfiguration({ ...cfg, classes });
			maxApplyMs = Math.max(maxApplyMs, performance.now() - startedAtMs);
			await sleep(500);
		}
	});
	return { calls, maxApplyMs };
}

async function measureOutage(fleet: Fleet): Promise<{ calls: number; firstSecondCalls: number }> {
	await fleet.setFaults(fleet.platform, { down: true });
	await sleep(outageMs);
	await fleet.setFaults(fleet.platform, { down: false });
	let firstSecondCalls = 0;
	const calls = await countCalls(fleet, async () => {
		firstSecondCalls = await countCalls(fleet, () => sleep(1000));
		await sleep(afterOutageMs - 1000);
	});
	return { calls, firstSecondCalls };
}

/** Counts the store calls that the platform stand-in receives during `run`. */
async function countCalls(fleet: Fleet, run: () => Promise<void>): Promise<number> {
	const before = await fleet.fetchStats<{ calls: number }>(fleet.platform);
	await run();
	const after = await fleet.fetchStats<{ calls: number }>(fleet.platform);
	return after.calls - before.calls;
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
