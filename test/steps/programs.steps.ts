/**
 * Steps that run the daemon and the command-line tool.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as cucumber from '@cucumber/cucumber';
import { peerToken } from '../../bench/fleet.js';
import type { FleetWorld } from './world.js';

const programs = { slategauged: 'dist/src/daemon/main.js', slategauge: 'dist/src/cli/main.js' };

interface ProgramResult {
	code: number | null;
	output: string;
}

/** Runs a program until it exits; the output combines both streams. */
export async function runProgram(
	program: keyof typeof programs,
	args: string[],
): Promise<ProgramResult> {
	const child = childProcess.spawn(process.execPath, [programs[program], ...args]);
	let output = '';
	child.stdout.on('data', (chunk) => {
		output += chunk;
	});
	child.stderr.on('data', (chunk) => {
		output += chunk;
	});
	const code = await new Promise<number | null>((done) => child.on('close', done));
	return { code, output };
}

cucumber.Given('a settings file', async function (this: FleetWorld, text: string) {
	const dir = await fs.mkdtemp(path.join(os.tmpdir(), 'slategauge-'));
	const file = path.join(dir, 'file.toml');
	await fs.writeFile(file, text);
	this.state.set('file', file);
});

cucumber.When('slategauged checks it', async function (this: FleetWorld) {
	this.state.set('ran', await runProgram('slategauged', ['check', String(this.state.get('file'))]));
});

cucumber.When('slategauge checks it as a configuration', async function (this: FleetWorld) {
	this.state.set(
		'ran',
		await runProgram('slategauge', ['config', 'check', String(this.state.get('file'))]),
	);
});

cucumber.When('the operator runs {string}', async function (this: FleetWorld, line: string) {
	const daemon = `127.0.0.1:${this.runningFleet.daemons[0]?.controlPort}`;
	const args = [...line.split(' '), '--daemon', daemon, '--token', peerToken];
	this.state.set('ran', await runProgram('slategauge', args));
});

cucumber.When(
	'the operator with a wrong token runs {string}',
	async function (this: FleetWorld, line: string) {
		const daemon = `127.0.0.1:${this.runningFleet.daemons[0]?.controlPort}`;
		this.state.set(
			'ran',
			await runProgram('slategauge', [line, '--daemon', daemon, '--token', 'wrong']),
		);
	},
);

cucumber.Then('it exits with {int}', function (this: FleetWorld, code: number) {
	const result = this.state.get('ran') as ProgramResult;
	assert.equal(result.code, code, result.output);
});

cucumber.Then('it prints {string}', function (this: FleetWorld, text: string) {
	const { output } = this.state.get('ran') as ProgramResult;
	assert.ok(output.includes(text), output);
});

cucumber.When(
	'slategauged checks the file {string}',
	async function (this: FleetWorld, file: string) {
		this.state.set('ran', await runProgram('slategauged', ['check', file]));
	},
);

cucumber.When(
	'slategauge checks the configuration {string}',
	async function (this: FleetWorld, file: string) {
		this.state.set('ran', await runProgram('slategauge', ['config', 'check', file]));
	},
);
