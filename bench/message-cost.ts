/**
 * What one small message between daemons costs: trpc over HTTP beside a signed datagram. Client
 * and server share this process, so the processor time is that of both ends.
 * @module
 */

import * as http from 'node:http';
import type * as net from 'node:net';
import * as trpcClient from '@trpc/client';
import * as trpc from '@trpc/server';
import * as standalone from '@trpc/server/adapters/standalone';
import * as zod from 'zod';
import type { PeerMessage } from '../src/core/peers.js';
import { formatTable } from '../src/core/text/table.js';
import { HybridClock } from '../src/core/timeline/index.js';
import { UdpTransport } from '../src/infra/peers/udp-transport.js';
import { SystemClock } from '../src/infra/system-clock.js';
import { peerToken } from './fleet.js';
import { writeResult } from './output.js';

const calls = 3000;
const warmUp = 500;

const report: PeerMessage = {
	type: 'report',
	body: {
		endpoint: 'engine-1',
		seq: 1_000_000,
		epoch: 1_000_000,
		lastGrantId: 5,
		running: [
			{
				ticket: 1,
				tier: 2,
				classHash: 4242,
				customerHash: 777,
				isFloor: false,
				isPreemptable: true,
			},
		],
		idleSlots: 0,
		slotRequests: [
			{
				ticket: 2,
				tier: 2,
				classHash: 4242,
				customerHash: 777,
				slackMs: 500,
				isLate: false,
				waitedMs: 10,
				requestsPreemption: false,
			},
		],
		waitingByTier: [[2, 10]],
		observations: { completions: 1, failures: 0, interTokenMs: 31.2, interTokenTargetMs: 60 },
		knownLimit: 24,
	},
};

interface Row {
	way: string;
	bytes_there_and_back: number;
	cpu_us: number;
}

export async function runMessageCostBench(out: string): Promise<void> {
	const rows = [await overTrpc(), await overDatagrams()];
	process.stdout.write(`${formatTable(rows)}\n`);
	await writeResult(out, { bench: 'message-cost', rows });
}

async function overTrpc(): Promise<Row> {
	const t = trpc.initTRPC.create();
	const router = t.router({
		exchange: t.procedure.input(zod.any()).mutation(({ input }) => input),
	});
	const sockets: net.Socket[] = [];
	const server = http.createServer(standalone.createHTTPHandler({ router }));
	server.on('connection', (socket) => sockets.push(socket));
	await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
	const { port } = server.address() as net.AddressInfo;
	const link = trpcClient.httpLink({ url: `http://127.0.0.1:${port}` });
	const client = trpcClient.createTRPCClient<typeof router>({ links: [link] });
	const bytes = () =>
		sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
	const row = await measure(
		'trpc over HTTP, kept alive (TCP and IP heads not counted)',
		bytes,
		() => client.exchange.mutate(report),
	);
	server.close();
	server.closeAllConnections();
	return row;
}

async function overDatagrams(): Promise<Row> {
	const clock = new HybridClock(new SystemClock());
	let arrived = () => {};
	const options = { token: peerToken, flushIntervalMs: 0, clock };
	const back = { id: 'a', address: '127.0.0.1', port: 0 };
	const there = { id: 'b', address: '127.0.0.1', port: 0 };
	const a = new UdpTransport({ ...options, selfId: 'a', onBatch: () => arrived() });
	const b = new UdpTransport({ ...options, selfId: 'b', onBatch: () => b.send(back, report) });
	back.port = await a.bind('127.0.0.1', 0);
	there.port = await b.bind('127.0.0.1', 0);
	const bytes = () => a.traffic.bytesSent + a.traffic.bytesReceived;
	const row = await measure('signed MessagePack datagram (heads counted)', bytes, async () => {
		const answered = new Promise<void>((done) => {
			arrived = done;
		});
		a.send(there, report);
		await answered;
	});
	a.close();
	b.close();
	return row;
}

async function measure(
	way: string,
	bytes: () => number,
	call: () => Promise<unknown>,
): Promise<Row> {
	for (let round = 0; round < warmUp; round++) {
		await call();
	}
	const cpuBefore = process.cpuUsage();
	const bytesBefore = bytes();
	for (let round = 0; round < calls; round++) {
		await call();
	}
	const { user, system } = process.cpuUsage(cpuBefore);
	return {
		way,
		bytes_there_and_back: Math.round((bytes() - bytesBefore) / calls),
		cpu_us: Math.round((user + system) / calls),
	};
}
