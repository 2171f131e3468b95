/**
 * Simulates fleets under rate limits announced by engines, and measures arrivals, utilization and
 * gossip traffic.
 * @module
 */
import * as fs from 'node:fs/promises';
import { LimitedLoad, maxAllowedArrivals } from '../test/steps/limited-load.js';
import type { SimulatedVm } from '../test/steps/simulated-fleet.js';

const engineLimits = [0.5, 1, 3, 20, 200];
const domainCount = 4;
/** Offered load as a multiple of the engines' limits. */
const overloadFactor = 3;
/** How long the `moving` demand stays in one failure domain. */
const domainIntervalMs = 2500;
const warmUpMs = 6000;
const measureMs = 20_000;

/** Returns the share of the fleet's load that arrives at a VM. */
type DemandShare = (load: LimitedLoad, vm: SimulatedVm, atMs: number) => number;

const demands: Readonly<Record<string, DemandShare>> = {
	even: ({ fleet }) => 1 / fleet.vms.length,
	'one VM': ({ fleet }, vm) => (vm === fleet.vms.at(-1) ? 1 : 0),
	moving: ({ fleet }, vm, atMs) => {
		const count = Math.min(domainCount, fleet.vms.length);
		const domain = `domain-${Math.floor(atMs / domainIntervalMs) % count}`;
		const activeVms = fleet.vms.filter(({ registration: listed }) => listed.domain === domain);
		return activeVms.includes(vm) ? 1 / activeVms.length : 0;
	},
};

interface Row {
	vms: number;
	engines: number;
	limit: number;
	demand: string;
	/** Highest number of arrivals that an engine sees in a limit window. */
	most: number;
	/** Upper bound for `most`. */
	allowed: number;
	/** Share of the limits that is used. */
	used: number;
	/** Longest time that a VM with queued requests gets no permit, in seconds. */
	longestS: number;
	/** Bytes that a VM sends per second. */
	bytes: number;
	/** Time from when the first VM knows the limit until all do, in milliseconds. */
	knownMs: number;
}

export async function runLimitsBench(sizes: readonly number[], out: string): Promise<void> {
	for (const vms of sizes) {
		for (const limit of engineLimits) {
			for (const demand of Object.keys(demands)) {
				await writeRow(measure(vms, 1, limit, demand), out);
			}
		}
		await writeRow(measure(vms, 30, 2, 'even'), out);
	}
}

async function writeRow(row: Row, out: string): Promise<void> {
	const line = `${JSON.stringify(row)}\n`;
	process.stdout.write(line);
	if (out !== '') {
		await fs.appendFile(out, line);
	}
}

function measure(vms: number, engines: number, limit: number, demand: string): Row {
	const load: LimitedLoad = new LimitedLoad({
		vms,
		domains: Math.min(domainCount, vms),
		engines,
		limitPerS: limit,
		requestsPerS: (vm, atMs) => {
			return overloadFactor * engines * limit * (demands[demand] as DemandShare)(load, vm, atMs);
		},
		seed: 3,
	});
	const knownMs = measurePropagationMs(load);
	load.run(warmUpMs);
	load.resetCounts();
	const fromMs = load.now;
	load.run(measureMs);
	return {
		vms,
		engines,
		limit,
		demand,
		most: Math.max(
			...load.engines.map((engine) => load.countMaxArrivals(engine, fromMs - warmUpMs / 2)),
		),
		allowed: maxAllowedArrivals(limit),
		used: Number(load.getUtilization(fromMs).toFixed(2)),
		longestS: Number((load.maxWithoutPermitMs / 1000).toFixed(1)),
		bytes: Math.round(load.bytesPerSecondPerVm),
		knownMs,
	};
}

function measurePropagationMs(load: LimitedLoad): number {
	const countInformedVms = () =>
		load.fleet.vms.filter(({ limits: known }) => known.ledger.size > 0).length;
	while (countInformedVms() === 0) {
		load.run(5);
	}
	const fromMs = load.now;
	while (countInformedVms() < load.fleet.vms.length) {
		load.run(5);
	}
	return load.now - fromMs;
}
