/**
 * Calls to the key-value service against the fleet's size: idle, with configuration changes, and
 * at the end of an outage.
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
/** Changes made in a row, to measure how long one takes to be in force everywhere. */
const changes = 5;
const changesADay = 1300;
const secondsADay = 86_400;

export async function runKvBench(sizes: number[], out: string): Promise<void> {
	const rows: object[] = [];
	for (const daemons of sizes) {
		const row = await measure(daemons);
		rows.push(row);
		await writeResult(out, { bench: 'kv', ...row });
	}
	process.stdout.write(`${formatTable(rows)}\n`);
}

async function measure(daemons: number): Promise<object> {
	const fleet = new Fleet({ daemons, domains: lakeshore.domains });
	try {
		await fleet.startStandIns([{}, {}], 1);
		await fleet.startDaemons();
		const cfg = buildConfiguration(lakeshore, fleet, {});
		await fleet.applyConfiguration(cfg);
		await fleet.waitForStatus((status) => status.members.length === daemons, 60_000);
		await sleep(3000);
		const idle = await callsDuring(fleet, () => sleep(idleMs));
		const change = await measureChanges(fleet, cfg);
		const outage = await measureOutage(fleet);
		return {
			daemons,
			idle_calls_s: round(idle / (idleMs / 1000)),
			calls_a_change: round(change.calls / changes),
			calls_s_at_1300_changes_a_day: round(
				idle / (idleMs / 1000) + ((change.calls / changes) * changesADay) / secondsADay,
			),
			in_force_everywhere_max_ms: Math.round(change.slowestMs),
			calls_in_second_after_outage: outage.firstSecond,
			calls_s_after_outage: round(outage.calls / (afterOutageMs / 1000)),
		};
	} finally {
		await fleet.stop();
	}
}

async function measureChanges(
	fleet: Fleet,
	cfg: Configuration,
): Promise<{ calls: number; slowestMs: number }> {
	let slowestMs = 0;
	const calls = await callsDuring(fleet, async () => {
		for (let change = 0; change < changes; change++) {
			const began = performance.now();
			const classes = cfg.classes.map((cls) => ({
				...cls,
				deadline_ms: cls.deadline_ms + change + 1,
			}));
			await fleet.applyConfiguration({ ...cfg, classes });
			slowestMs = Math.max(slowestMs, performance.now() - began);
			await sleep(500);
		}
	});
	return { calls, slowestMs };
}

async function measureOutage(fleet: Fleet): Promise<{ calls: number; firstSecond: number }> {
	await fleet.setFaults(fleet.platform, { down: true });
	await sleep(outageMs);
	await fleet.setFaults(fleet.platform, { down: false });
	let firstSecond = 0;
	const calls = await callsDuring(fleet, async () => {
		firstSecond = await callsDuring(fleet, () => sleep(1000));
		await sleep(afterOutageMs - 1000);
	});
	return { calls, firstSecond };
}

/** Calls that the platform's stand-in counted. */
async function callsDuring(fleet: Fleet, run: () => Promise<void>): Promise<number> {
	const before = await fleet.fetchStats<{ calls: number }>(fleet.platform);
	await run();
	const after = await fleet.fetchStats<{ calls: number }>(fleet.platform);
	return after.calls - before.calls;
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
