/**
 * Steps for trace replay, reports and timeline pages.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as cucumber from '@cucumber/cucumber';
import { lakeshore } from '../../bench/deployments.js';
import { customerApiKey, peerToken } from '../../bench/fleet.js';
import { runProgram } from './programs.steps.js';
import type { FleetWorld } from './world.js';

const morningTracePath = 'test/fixtures/lakeshore-morning.jsonl';

function globalArgs(world: FleetWorld): string[] {
	const daemon = `127.0.0.1:${world.runningFleet.daemons[0]?.controlPort}`;
	return ['--daemon', daemon, '--token', peerToken];
}

async function replay(world: FleetWorld, lines: string[]): Promise<void> {
	const dir = await fs.mkdtemp(path.join(os.tmpdir(), 'slategauge-'));
	const trace = path.join(dir, 'trace.jsonl');
	const keys = path.join(dir, 'keys.json');
	const results = path.join(dir, 'results.jsonl');
	const keyEntries = lakeshore.customers.map(({ name }) => [name, customerApiKey(name)]);
	await fs.writeFile(trace, `${lines.join('\n')}\n`);
	await fs.writeFile(keys, JSON.stringify(Object.fromEntries(keyEntries)));
	const daemonArgs = world.runningFleet.daemonUrls.flatMap((url) => ['--to', url]);
	const args = ['replay', trace, '--keys', keys, '--results', results, ...daemonArgs];
	world.state.set('dir', dir);
	world.state.set('ran', await runProgram('slategauge', [...args, ...globalArgs(world)]));
}

cucumber.When(
	'the operator replays the first {int} requests of the morning',
	async function (this: FleetWorld, count: number) {
		const lines = (await fs.readFile(morningTracePath, 'utf8')).split('\n');
		await replay(this, lines.slice(0, count));
	},
);

cucumber.When(
	'the operator replays a trace with the line {string}',
	async function (this: FleetWorld, line: string) {
		await replay(this, [line]);
	},
);

async function generatePage(world: FleetWorld, args: (page: string) => string[]): Promise<void> {
	const page = path.join(String(world.state.get('dir')), 'page.html');
	world.state.set('ran', await runProgram('slategauge', [...args(page), ...globalArgs(world)]));
	world.state.set('page', await fs.readFile(page, 'utf8'));
}

cucumber.When('the operator makes a report of it', async function (this: FleetWorld) {
	const results = path.join(String(this.state.get('dir')), 'results.jsonl');
	await generatePage(this, (page) => ['report', results, '--out', page]);
});

cucumber.When('the operator draws the time line', async function (this: FleetWorld) {
	await generatePage(this, (page) => ['timeline', '--html', page]);
});

cucumber.Then('the page has a chart of {string}', function (this: FleetWorld, title: string) {
	const page = String(this.state.get('page'));
	assert.match(page, new RegExp(`<h2>${title}`));
	assert.match(page, /<polyline/);
});

cucumber.Then('the page has a lane for {string}', function (this: FleetWorld, lane: string) {
	const page = String(this.state.get('page'));
	assert.match(page, new RegExp(`>${lane}</text>`));
	assert.match(page, /<rect/);
});
