/**
 * A limit that engines name, before simulated fleets of several sizes: what arrives, what is used, and what it costs.
 * @module
 */
import * as fs from 'node:fs/promises';
import { LimitedLoad, maxAllowedArrivals } from '../test/steps/limited-load.js';
import type { SimulatedVm } from '../test/steps/simulated-fleet.js';

const limits = [0.5, 1, 3, 20, 200];
const domains = 4;
/** Work that comes, as a multiple of what the engines take. */
const overload = 3;
/** Demand moves to the next failure domain after so long, in milliseconds. */
const moveMs = 2500;
/** Before figures are taken, and for which they are, in milliseconds. */
const warmUpMs = 6000;
const countedMs = 20_000;

type Demand = (load: LimitedLoad, vm: SimulatedVm, at: number) => number;

const demands: Readonly<Record<string, Demand>> = {
	even: ({ fleet }) => 1 / fleet.vms.length,
	'one VM': ({ fleet }, vm) => (vm === fleet.vms.at(-1) ? 1 : 0),
	moving: ({ fleet }, vm, at) => {
		const count = Math.min(domains, fleet.vms.length);
		const domain = `domain-${Math.floor(at / moveMs) % count}`;
		const here = fleet.vms.filter(({ registration: listed }) => listed.domain === domain);
		return here.includes(vm) ? 1 / here.length : 0;
	},
};

interface Row {
	vms: number;
	engines: number;
	limit: number;
	demand: string;
	most: number;
	allowed: number;
	used: number;
	/** Longest time of a VM with work without a permit, in seconds. */
	longestS: number;
	/** Bytes that a VM sends in a second, and those of the same fleet without a limit. */
	bytes: number;
	/** From the first answer until all VMs know the limit, in milliseconds. */
	knownMs: number;
}

export async function runLimitsBench(sizes: readonly number[], out: string): Promise<void> {
	for (const vms of sizes) {
		for (const limit of limits) {
			for (const demand of Object.keys(demands)) {
				await tell(measure(vms, 1, limit, demand), out);
			}
		}
		await tell(measure(vms, 30, 2, 'even'), out);
	}
}

async function tell(row: Row, out: string): Promise<void> {
	const line = `${JSON.stringify(row)}\n`;
	process.stdout.write(line);
	if (out !== '') {
		await fs.appendFile(out, line);
	}
}

function measure(vms: number, engines: number, limit: number, demand: string): Row {
	const load: LimitedLoad = new LimitedLoad({
		vms,
		domains: Math.min(domains, vms),
		engines,
		limitPerS: limit,
		requestsPerS: (vm, at) => {
			return overload * engines * limit * (demands[demand] as Demand)(load, vm, at);
		},
		seed: 3,
	});
	const knownMs = untilKnown(load);
	load.run(warmUpMs);
	load.resetCounts();
	const from = load.now;
	load.run(countedMs);
	return {
		vms,
		engines,
		limit,
		demand,
		most: Math.max(
			...load.engines.map((engine) => load.countMaxArrivals(engine, from - warmUpMs / 2)),
		),
		allowed: maxAllowedArrivals(limit),
		used: Number(load.getUtilization(from).toFixed(2)),
		longestS: Number((load.maxWithoutPermitMs / 1000).toFixed(1)),
		bytes: Math.round(load.bytesPerSecondPerVm),
		knownMs,
	};
}

function untilKnown(load: LimitedLoad): number {
	const knows = () => load.fleet.vms.filter(({ limits: known }) => known.ledger.size > 0).length;
	while (knows() === 0) {
		load.run(5);
	}
	const from = load.now;
	while (knows() < load.fleet.vms.length) {
		load.run(5);
	}
	return load.now - from;
}
