/**
 * Steps about what the clients of a process may hold, on the decisions alone.
 * @module
 */
import * as assert from 'node:assert/strict';
import * as cucumber from '@cucumber/cucumber';
import type { ConnectionEntry } from '../../src/core/connections/connection-ledger.js';
import { ConnectionLedger } from '../../src/core/connections/connection-ledger.js';
import { SocketPool } from '../../src/core/connections/connection-limits.js';
import { ReadTurns } from '../../src/core/connections/read-turns.js';
import { BlockPool, poolBlockBytes } from '../../src/infra/connections/block-pool.js';
import { BodyCollector } from '../../src/infra/connections/body-collector.js';
import { clockOf, seededRandom, seen } from './relay-fakes.js';
import type { FleetWorld } from './world.js';

const megabyte = 1024 * 1024;
const openPerConnection = 32;
const openBeforeAnswers = 4;
const pipelinedRequests = 200;

class Client {
	isConnected = true;
	wasGivenUp = false;
	/** Requests that were sent and not read. */
	unread = 0;
	private readonly entry?: ConnectionEntry;

	constructor(private readonly ledger: ConnectionLedger) {
		this.entry = ledger.open({
			// The socket closes later, and tells the ledger again.
			close: () => {
				this.isConnected = false;
			},
			refuseUnfinished: () => {
				this.wasGivenUp = true;
			},
			readOn: () => this.readAhead(),
		});
		this.isConnected = this.entry !== undefined;
	}

	get running(): number {
		return this.entry?.openRequests ?? 0;
	}

	get heldBytes(): number {
		return this.entry?.heldBytes ?? 0;
	}

	begin(): void {
		this.ledger.begin(this.connected);
	}

	hold(bytes: number, isUnfinished: boolean): void {
		this.ledger.update(this.connected, bytes, isUnfinished);
	}

	end(): void {
		this.hold(0, false);
		this.ledger.end(this.connected);
	}

	readAhead(): void {
		while (this.unread > 0 && this.ledger.mayReadNext(this.connected)) {
			this.unread--;
			this.begin();
		}
	}

	private get connected(): ConnectionEntry {
		assert.ok(this.entry);
		return this.entry;
	}
}

function ledgerOf(world: FleetWorld): ConnectionLedger {
	return seen<ConnectionLedger>(world, 'ledger');
}

function connect(world: FleetWorld, count: number, group: string): Client[] {
	const clients = Array.from({ length: count }, () => new Client(ledgerOf(world)));
	world.state.set(group, clients);
	return clients;
}

cucumber.Given(
	'a port whose clients may hold {int} MB and {int} sockets',
	function (this: FleetWorld, memoryMb: number, sockets: number) {
		const limits = {
			heldBytes: memoryMb * megabyte,
			sockets,
			openPerConnection,
			openBeforeAnswers,
			pipelinedRequests,
		};
		const pool = new SocketPool({ memoryMb, maxDescriptors: 100_000 });
		this.state.set('ledger', new ConnectionLedger(limits, pool));
	},
);

cucumber.When(
	'{int} clients send {int} MB of a body each and stop',
	function (this: FleetWorld, count: number, size: number) {
		const clients = connect(this, count, 'unfinished');
		for (const client of clients) {
			client.begin();
			for (let step = 1; step <= 4; step++) {
				client.hold((size * megabyte * step) / 4, true);
			}
		}
	},
);

cucumber.When(
	'{int} clients send a whole body of {int} MB each',
	function (this: FleetWorld, count: number, size: number) {
		for (const client of connect(this, count, 'running')) {
			client.begin();
			client.hold(size * megabyte, false);
		}
	},
);

cucumber.When('a client sends a whole body of {int} MB', function (this: FleetWorld, size: number) {
	const [client] = connect(this, 1, 'last');
	client?.begin();
	client?.hold(size * megabyte, false);
});

cucumber.When(
	'{int} clients connect and run a request',
	function (this: FleetWorld, count: number) {
		for (const client of connect(this, count, 'running')) {
			client.begin();
		}
	},
);

cucumber.When('{int} clients connect', function (this: FleetWorld, count: number) {
	connect(this, count, 'resting');
});

cucumber.When(
	'{int} clients send {int} requests ahead each',
	function (this: FleetWorld, count: number, requests: number) {
		for (const client of connect(this, count, 'ahead')) {
			client.unread = requests;
			client.readAhead();
		}
	},
);

cucumber.Then('at most {int} MB are held', function (this: FleetWorld, size: number) {
	assert.ok(ledgerOf(this).totalBytes <= size * megabyte, `${ledgerOf(this).totalBytes} bytes`);
});

cucumber.Then('the last {int} of them are still read', function (this: FleetWorld, count: number) {
	const clients = seen<Client[]>(this, 'unfinished');
	assert.ok(clients.slice(-count).every(({ wasGivenUp }) => !wasGivenUp));
});

cucumber.Then('a further request may run', function (this: FleetWorld) {
	connect(this, 1, 'further')[0]?.begin();
	assert.ok(ledgerOf(this).canRun());
});

cucumber.Then('a further request may not run', function (this: FleetWorld) {
	connect(this, 1, 'further')[0]?.begin();
	assert.ok(!ledgerOf(this).canRun());
});

cucumber.Then('it may run once a request has ended', function (this: FleetWorld) {
	seen<Client[]>(this, 'running')[0]?.end();
	assert.ok(ledgerOf(this).canRun());
});

cucumber.Then('no request that runs was given up', function (this: FleetWorld) {
	const clients = seen<Client[]>(this, 'running');
	assert.ok(clients.every(({ wasGivenUp, isConnected }) => isConnected && !wasGivenUp));
});

cucumber.Then('the sockets are at most {int}', function (this: FleetWorld, sockets: number) {
	assert.ok(ledgerOf(this).sockets <= sockets);
});

cucumber.Then(
	'the last {int} of the clients at rest are connected',
	function (this: FleetWorld, count: number) {
		const clients = seen<Client[]>(this, 'resting');
		assert.ok(clients.slice(-count).every(({ isConnected }) => isConnected));
		assert.ok(clients.slice(0, -count).every(({ isConnected }) => !isConnected));
	},
);

cucumber.Then(
	'at most {int} requests of a client run at once, and {int} of all clients',
	function (this: FleetWorld, each: number, all: number) {
		const running = seen<Client[]>(this, 'ahead').map((client) => client.running);
		assert.ok(running.every((count) => count >= 1 && count <= each));
		// Each client may run one request whatever the others do.
		assert.ok(running.reduce((sum, count) => sum + count) <= all + running.length);
	},
);

cucumber.Then('as requests end, all requests of all clients run', function (this: FleetWorld) {
	const clients = seen<Client[]>(this, 'ahead');
	for (let round = 0; clients.some(({ running }) => running > 0); round++) {
		assert.ok(round < 1000);
		for (const client of clients.filter(({ running }) => running > 0)) {
			client.end();
		}
	}
	assert.ok(clients.every(({ unread }) => unread === 0));
});

cucumber.Given(
	'{int} clients with {int} s of reading each, in parts of {int} ms',
	function (this: FleetWorld, count: number, seconds: number, partMs: number) {
		const clock = clockOf(this);
		let runTurn = () => {};
		const turns = new ReadTurns(clock, (callback) => {
			runTurn = callback;
		});
		const readers = Array.from({ length: count }, () => ({ leftMs: seconds * 1000, readMs: 0 }));
		const callbacks = readers.map(
			(reader) =>
				function readOn() {
					do {
						clock.now += partMs;
						reader.readMs += partMs;
						reader.leftMs -= partMs;
					} while (reader.leftMs > 0 && turns.hasTime());
					if (reader.leftMs > 0) {
						turns.enqueue(readOn);
					}
				},
		);
		for (const readOn of callbacks) {
			turns.hasTime();
			turns.enqueue(readOn);
		}
		const turnMs: number[] = [];
		const takeTurn = () => {
			const before = clock.monotonic();
			runTurn();
			turnMs.push(clock.monotonic() - before);
		};
		this.state.set('turns', { takeTurn, turnMs, readers });
	},
);

interface SimulatedTurns {
	takeTurn: () => void;
	turnMs: number[];
	readers: { readMs: number }[];
}

cucumber.Then('no turn takes longer than {int} ms', function (this: FleetWorld, most: number) {
	const { takeTurn, turnMs } = seen<SimulatedTurns>(this, 'turns');
	for (let turn = 0; turn < 100; turn++) {
		takeTurn();
	}
	assert.ok(Math.max(...turnMs) <= most, `${Math.max(...turnMs)} ms`);
});

cucumber.Then(
	'after {int} turns each of them has been read',
	function (this: FleetWorld, turns: number) {
		const { takeTurn, turnMs, readers } = seen<SimulatedTurns>(this, 'turns');
		while (turnMs.length < turns) {
			takeTurn();
		}
		assert.ok(readers.every(({ readMs }) => readMs > 0));
	},
);

cucumber.When(
	/^a body of (\d+) bytes arrives in pieces of ([\d, ]+) bytes$/,
	function (this: FleetWorld, bytes: string, pieces: string) {
		const body = Buffer.from(Array.from({ length: Number(bytes) }, (_, index) => index % 251));
		const sizes = pieces.split(',').map(Number);
		const collector = new BodyCollector(new BlockPool());
		let held = 0;
		for (let at = 0, index = 0; at < body.length; index++) {
			const size = sizes[index % sizes.length] ?? 1;
			collector.add(Buffer.from(body.subarray(at, at + size)));
			held = Math.max(held, collector.heldBytes);
			at += size;
		}
		this.state.set('collected', { body, taken: collector.take(), held });
	},
);

cucumber.Then(
	'it is collected unchanged and no more than {int} bytes were held',
	function (this: FleetWorld, most: number) {
		const collected = seen<{ body: Buffer; taken: Buffer; held: number }>(this, 'collected');
		assert.ok(collected.body.equals(collected.taken));
		assert.ok(collected.held <= most, `${collected.held} bytes`);
	},
);

/** Counts the blocks that are used again. */
class CountingPool extends BlockPool {
	readonly blocks = new Set<Buffer>();

	override acquire(bytes: number): Buffer {
		const block = super.acquire(bytes);
		if (bytes === poolBlockBytes) {
			this.blocks.add(block);
		}
		return block;
	}
}

cucumber.When(
	'{int} bodies of up to {int} bytes arrive at once, {int} times, and half of them stop short',
	function (this: FleetWorld, count: number, mostBytes: number, rounds: number) {
		const random = seededRandom(7);
		const pool = new CountingPool();
		const collected: { body: Buffer; taken: Buffer }[] = [];
		for (let round = 0; round < rounds; round++) {
			const arriving = Array.from({ length: count }, (_, index) => {
				const body = Buffer.alloc(Math.ceil(random() * mostBytes), `${round}-${index} `);
				const isShort = index % 2 === 0;
				return { collector: new BodyCollector(pool), body, isShort, at: 0 };
			});
			while (arriving.length > 0) {
				const index = Math.floor(random() * arriving.length);
				const next = arriving[index];
				assert.ok(next);
				const { collector, body, isShort, at } = next;
				next.at += Math.ceil(random() * poolBlockBytes);
				collector.add(Buffer.from(body.subarray(at, next.at)));
				if (isShort && next.at > body.length / 2) {
					collector.clear();
					arriving.splice(index, 1);
				} else if (next.at >= body.length) {
					collected.push({ body, taken: collector.take() });
					arriving.splice(index, 1);
				}
			}
		}
		this.state.set('changed', collected.filter(({ body, taken }) => !body.equals(taken)).length);
		this.state.set('blocks', pool.blocks.size);
	},
);

cucumber.Then(
	'the whole ones are collected unchanged in at most {int} blocks',
	function (this: FleetWorld, most: number) {
		assert.equal(seen<number>(this, 'changed'), 0);
		const blocks = seen<number>(this, 'blocks');
		assert.ok(blocks <= most, `${blocks} blocks`);
	},
);
