/**
 * Steps that replay bursts of prompts on many engines.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { BurstOptions, BurstTally, Workload } from './burst-replay.js';
import {
	BurstReplay,
	episodeRecaps,
	noticeSummaries,
	questAnswers,
	savedGameDigests,
} from './burst-replay.js';
import { seen } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

const workloads: Record<string, Workload> = {
	'summarize notices': noticeSummaries,
	'recap episodes': episodeRecaps,
	'digest saved games': savedGameDigests,
	'answer quests': questAnswers,
};
const seed = 1;

cucumber.Given(
	/^(\d+) VMs in (\d+) failure domains before (\d+) engines that (.+)$/,
	function (this: FleetWorld, vms: string, domains: string, engines: string, work: string) {
		const workload = workloads[work];
		const sizes = { vms: Number(vms), domains: Number(domains), engines: Number(engines) };
		this.state.set('burst', { ...sizes, workload, seed });
	},
);

cucumber.Given(
	'a third of the engines takes {float} times as long',
	function (this: FleetWorld, slowdown: number) {
		Object.assign(seen<BurstOptions>(this, 'burst'), { slowShare: 1 / 3, slowdown });
	},
);

cucumber.When(
	'{int} long and {int} short prompts a second arrive for {int} seconds',
	function (this: FleetWorld, longPerS: number, shortPerS: number, seconds: number) {
		const burst = seen<BurstOptions>(this, 'burst');
		const replay = new BurstReplay({ ...burst, longPerS, shortPerS, seconds });
		replay.play();
		this.state.set('replay', replay);
	},
);

function shareInTime({ inTime, sent }: BurstTally): number {
	return (100 * inTime) / sent;
}

cucumber.Then(
	'at least {int} % of the long and {int} % of the short prompts are in time',
	function (this: FleetWorld, minLong: number, minShort: number) {
		const { long, short } = seen<BurstReplay>(this, 'replay');
		const text = `${shareInTime(long).toFixed(1)} and ${shareInTime(short).toFixed(1)} %`;
		assert.ok(shareInTime(long) >= minLong && shareInTime(short) >= minShort, text);
	},
);

cucumber.Then(
	'engines read at most {int} tokens of shared segments again',
	function (this: FleetWorld, max: number) {
		const { rereadTokens } = seen<BurstReplay>(this, 'replay').long;
		assert.ok(rereadTokens <= max, `${rereadTokens}`);
	},
);
