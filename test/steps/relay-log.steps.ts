/**
 * Steps for event streams in chunks, the bounded log, request stories from logs and declared log events.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as util from 'node:util';
import * as cucumber from '@cucumber/cucumber';
import fc from 'fast-check';
import { explainRequest } from '../../src/core/explain/explain-request.js';
import { parseLogLine } from '../../src/core/explain/log-line.js';
import { EventSplitter } from '../../src/core/relay/event-splitter.js';
import { logEvents } from '../../src/core/relay/log-events.js';
import { seen } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

const run = util.promisify(childProcess.execFile);

cucumber.Given('a stream of {int} events with ids', function (this: FleetWorld, count: number) {
	const events = Array.from(
		{ length: count },
		(_, index) => `id: ${index + 1}\ndata: token ${index}\n\n`,
	);
	this.state.set('stream', Buffer.from(events.join('')));
});

cucumber.Then('any cut into chunks yields the same events and ids', function (this: FleetWorld) {
	const stream = seen<Buffer>(this, 'stream');
	const cuts = fc.array(fc.nat({ max: stream.length }), { maxLength: 40 });
	fc.assert(
		fc.property(cuts, (cutIndexes) => {
			const ends = [...cutIndexes, stream.length].sort((a, b) => a - b);
			const splitter = new EventSplitter();
			const out: Buffer[] = [];
			let lastId = '0';
			let from = 0;
			for (const to of ends) {
				const events = splitter.feed(stream.subarray(from, to));
				from = to;
				if (events) {
					assert.equal(events.bytes.subarray(-2).toString(), '\n\n');
					assert.ok(Number(events.lastId) > Number(lastId));
					lastId = events.lastId ?? lastId;
					out.push(events.bytes);
				}
			}
			assert.deepEqual(Buffer.concat(out), stream);
			assert.equal(splitter.hasPartialEvent, false);
		}),
		{ seed: 7 },
	);
});

const pieceBytes = 64 * 1024;
const eventBytes = 1_000_000;

cucumber.Given('a stream of events of 1 MB', function (this: FleetWorld) {
	const events = [1, 2, 3].map((id) => `id: ${id}\ndata: ${'x'.repeat(eventBytes)}\n\n`);
	this.state.set('stream', Buffer.from(events.join('')));
});

/** @returns what a splitter makes of a stream that comes in pieces of 64 KB */
function feedPieces(splitter: EventSplitter, stream: Buffer): (string | undefined)[] {
	const ids: (string | undefined)[] = [];
	for (let from = 0; from < stream.length; from += pieceBytes) {
		const events = splitter.feed(stream.subarray(from, from + pieceBytes));
		if (events) {
			ids.push(events.lastId);
		}
	}
	return ids;
}

cucumber.Then('pieces of 64 KB yield each event once it is complete', function (this: FleetWorld) {
	const splitter = new EventSplitter();
	assert.deepEqual(feedPieces(splitter, seen<Buffer>(this, 'stream')), ['1', '2', '3']);
	assert.deepEqual([splitter.hasPartialEvent, splitter.hasOversizedEvent], [false, false]);
});

cucumber.Then('an event of 5 MB is told to be too large', () => {
	const splitter = new EventSplitter();
	assert.deepEqual(feedPieces(splitter, Buffer.alloc(5 * eventBytes, 'x')), []);
	assert.equal(splitter.hasOversizedEvent, true);
});

cucumber.Given('a log whose reader takes nothing', function (this: FleetWorld) {
	// The writer runs in a separate process, whose output pipe is not read.
	const program = `
		import { BoundedWriter } from './dist/src/infra/bounded-writer.js';
		const writer = new BoundedWriter(1);
		const from = performance.now();
		for (let index = 0; index < 100000; index++) writer.write('x'.repeat(100) + '\\n');
		const tookMs = performance.now() - from;
		setTimeout(() => {
			process.stderr.write(JSON.stringify({ tookMs, dropped: writer.droppedTotal }));
			process.kill(process.pid, 'SIGKILL');
		}, 200);`;
	const args = ['--input-type=module', '-e', program];
	const child = childProcess.spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
	this.state.set('writer', child);
});

cucumber.When('100000 lines are written', async function (this: FleetWorld) {
	const child = seen<childProcess.ChildProcess>(this, 'writer');
	const chunks: Buffer[] = [];
	child.stderr?.on('data', (chunk: Buffer) => chunks.push(chunk));
	await new Promise((done) => child.on('exit', done));
	this.state.set('written', JSON.parse(Buffer.concat(chunks).toString()));
});

cucumber.Then('writing took less than 2 seconds of waiting', function (this: FleetWorld) {
	assert.ok(seen<{ tookMs: number }>(this, 'written').tookMs < 2000);
});

cucumber.Then('lines were dropped and counted', function (this: FleetWorld) {
	assert.ok(seen<{ dropped: number }>(this, 'written').dropped > 10_000);
});

cucumber.When(
	'{int} lines are written to a file and the process is killed',
	async function (this: FleetWorld, count: number) {
		const program = `
			import { BoundedWriter } from './dist/src/infra/bounded-writer.js';
			const writer = new BoundedWriter(1);
			for (let index = 0; index < ${count}; index++) writer.write('line ' + index + '\\n');
			setImmediate(() => process.kill(process.pid, 'SIGKILL'));`;
		const file = path.join(os.tmpdir(), `relay-log-${process.pid}.txt`);
		const log = await fs.open(file, 'w');
		const args = ['--input-type=module', '-e', program];
		const child = childProcess.spawn(process.execPath, args, {
			stdio: ['ignore', log.fd, 'inherit'],
		});
		await new Promise((done) => child.on('exit', done));
		await log.close();
		this.state.set('file', await fs.readFile(file, 'utf8'));
		await fs.rm(file);
	},
);

cucumber.Then('the file holds {int} whole lines', function (this: FleetWorld, count: number) {
	const lines = Array.from({ length: count }, (_, index) => `line ${index}\n`);
	assert.equal(seen<string>(this, 'file'), lines.join(''));
});

cucumber.Given(
	'logs of two VMs in which {string} closed engine {string} and sent request {string} there',
	function (this: FleetWorld, vm: string, engine: string, request: string) {
		const at = (second: number) => `time=2026-03-01T06:00:0${second}.000Z level=info`;
		const lines = [
			`${at(6)} event=request.ended vm=${vm} request=${request} outcome=cut reason="reset by peer"`,
			`${at(4)} event=engine.closed vm=vm-2 engine=${engine}`,
			`${at(3)} event=store.lost vm=${vm} prefix=servers/ error="no answer"`,
			`${at(4)} event=engine.closed vm=${vm} engine=${engine} request=other`,
			`${at(5)} event=request.placed vm=${vm} request=${request} engine=${engine}`,
			`${at(5)} event=request.placed vm=vm-2 request=r2 engine=e2`,
			'not a log line',
		];
		const parsed = lines.map(parseLogLine).filter((line) => line !== undefined);
		assert.equal(parsed.length, lines.length - 1);
		this.state.set('lines', parsed);
	},
);

cucumber.Given(
	'logs in which {string} broke on {string} and {string} on {string}, and {string} of the same content was kept from engines',
	function (
		this: FleetWorld,
		first: string,
		firstVm: string,
		second: string,
		secondVm: string,
		third: string,
	) {
		const at = (second: number) => `time=2026-03-01T06:00:${second}.000Z level=info`;
		const lines = [
			`${at(10)} event=request.broken vm=${firstVm} request=${first} engine=e1 content=2b1f`,
			`${at(11)} event=request.broken vm=${firstVm} request=other engine=e1 content=77`,
			`${at(20)} event=request.broken vm=${secondVm} request=${second} engine=e2 content=2b1f`,
			`${at(21)} event=quarantine.entered vm=vm-3 content=2b1f engines=2 source=news`,
			`${at(40)} event=request.quarantined vm=vm-3 request=${third} content=2b1f`,
		];
		this.state.set('lines', lines.map(parseLogLine));
	},
);

cucumber.Given(
	'logs in which engines {string} asked {string} for rest and {string} was refused there, and {string} asked {string}',
	function (
		this: FleetWorld,
		engines: string,
		vm: string,
		request: string,
		otherEngine: string,
		otherVm: string,
	) {
		const at = (second: number) => `time=2026-03-01T06:00:0${second}.000Z level=info`;
		const notice = (name: string, of: string) =>
			`event=engine.notice vm=${name} request=other engine=${of} status=503 rest_s=3`;
		const lines = [
			...engines.split(', ').map((engine, index) => `${at(index + 1)} ${notice(vm, engine)}`),
			`${at(1)} ${notice(otherVm, otherEngine)}`,
			`${at(4)} event=request.ended vm=${vm} request=${request} outcome=refused engines=""`,
		];
		this.state.set('lines', lines.map(parseLogLine));
	},
);

function storyOf(world: FleetWorld, request: string) {
	return explainRequest(request, seen(world, 'lines'));
}

cucumber.Then(
	'the story of {string} names, in order, {string}',
	function (this: FleetWorld, request: string, events: string) {
		const told = storyOf(this, request).lines.map((line) => line.get('event'));
		assert.equal(told.join(', '), events);
	},
);

cucumber.Then(
	'nothing is missing from the story of {string}',
	function (this: FleetWorld, request: string) {
		assert.deepEqual(storyOf(this, request).gaps, []);
	},
);

cucumber.Then(
	'the story of {string} says that its end is not told',
	function (this: FleetWorld, request: string) {
		assert.match(storyOf(this, request).gaps.join(), /its end/);
	},
);

cucumber.Then(
	'the story of {string} says that no line names it',
	function (this: FleetWorld, request: string) {
		assert.match(storyOf(this, request).gaps.join(), /no line names/);
	},
);

/** Folders whose log events belong to the relay. */
const relayFolders = [
	'src/core/relay',
	'src/core/engines',
	'src/core/fleet',
	'src/core/routing',
	'src/core/store',
	'src/infra/relay',
	'src/daemon/relay',
];

cucumber.Then(
	'each event named in the sources of the relay is declared with its fields',
	async () => {
		const declared = new Set(logEvents.map((event) => event.name));
		const used = new Set<string>();
		for (const folder of relayFolders) {
			for (const file of await fs.readdir(folder)) {
				const text = await fs.readFile(`${folder}/${file}`, 'utf8');
				const calls = text.matchAll(/log(?:\.\w+|\[level\])?\(\s*'([a-z-]+\.[a-z-]+)'/g);
				for (const [, name = ''] of calls) {
					used.add(name);
				}
			}
		}
		assert.ok(used.size > 15);
		assert.deepEqual(
			[...used].filter((name) => !declared.has(name)),
			[],
		);
	},
);

cucumber.Given(
	'a file of logs in which requests ended so',
	async function (this: FleetWorld, table: cucumber.DataTable) {
		const lines = table.hashes().map(({ time, ...fields }) => {
			const pairs = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
			return `time=2026-01-01T${time}:00.000Z level=info event=request.ended ${pairs.join(' ')}`;
		});
		const other = 'time=2026-01-01T10:00:00.000Z level=info event=peer.seen vm=vm-1 peer=vm-2';
		const file = path.join(os.tmpdir(), `find-${process.pid}.log`);
		// Newest first: `find` must not depend on the order of lines.
		await fs.writeFile(file, [...lines.reverse(), other, 'not a log line'].join('\n'));
		this.state.set('file', file);
	},
);

cucumber.Then(
	'"find" with {string} names {string}',
	async function (this: FleetWorld, options: string, ids: string) {
		const { stdout } = await find(seen<string>(this, 'file'), options);
		const named = [...stdout.matchAll(/ request=(\S+)/g)].map(([, id]) => id);
		assert.equal(named.join(', '), ids);
	},
);

cucumber.Then(
	'"find" with {string} is refused',
	async function (this: FleetWorld, options: string) {
		await assert.rejects(find(seen<string>(this, 'file'), options), /not a time/);
	},
);

function find(file: string, options: string) {
	const args = ['dist/src/cli/main.js', 'find', file, ...options.split(' ').filter(Boolean)];
	return run(process.execPath, args);
}
