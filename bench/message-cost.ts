/**
 * Compares the cost of a small message between daemons over tRPC and as a signed datagram. Client
 * and server share this process, so the CPU time covers both ends.
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

const measuredCalls = 3000;
const warmUpCalls = 500;

const reportMessage: PeerMessage = {
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
	const rows = [await measureTrpc(), await measureDatagrams()];
	process.stdout.write(`${formatTable(rows)}\n`);
	await writeResult(out, { bench: 'message-cost', rows });
}

async function measureTrpc(): Promise<Row> {
	const trpcBuilder = trpc.initTRPC.create();
	const router = trpcBuilder.router({
		exchange: trpcBuilder.procedure.input(zod.any()).mutation(({ input }) => input),
	});
	const sockets: net.Socket[] = [];
	const server = http.createServer(standalone.createHTTPHandler({ router }));
	server.on('connection', (socket) => sockets.push(socket));
	await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
	const { port } = server.address() as net.AddressInfo;
	const link = trpcClient.httpLink({ url: `http://127.0.0.1:${port}` });
	const client = trpcClient.createTRPCClient<typeof router>({ links: [link] });
	const countBytes = () =>
		sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
	const row = await measure(
		'trpc over HTTP, kept alive (TCP and IP heads not counted)',
		countBytes,
		() => client.exchange.mutate(reportMessage),
	);
	server.close();
	server.closeAllConnections();
	return row;
}

async function measureDatagrams(): Promise<Row> {
	const clock = new HybridClock(new SystemClock());
	let onReply = () => {};
	const options = { token: peerToken, flushIntervalMs: 0, clock };
	const addressOfA = { id: 'a', address: '127.0.0.1', port: 0 };
	const addressOfB = { id: 'b', address: '127.0.0.1', port: 0 };
	const a = new UdpTransport({ ...options, selfId: 'a', onBatch: () => onReply() });
	const b = new UdpTransport({
		...options,
		selfId: 'b',
		onBatch: () => b.send(addressOfA, reportMessage),
	});
	addressOfA.port = await a.bind('127.0.0.1', 0);
	addressOfB.port = await b.bind('127.0.0.1', 0);
	const countBytes = () => a.traffic.bytesSent + a.traffic.bytesReceived;
	const row = await measure('signed MessagePack datagram (heads counted)', countBytes, async () => {
		const reply = new Promise<void>((done) => {
			onReply = done;
		});
		a.send(addressOfB, reportMessage);
		await reply;
	});
	a.close();
	b.close();
	return row;
}

async function measure(
	way: string,
	countBytes: () => number,
	call: () => Promise<unknown>,
): Promise<Row> {
	for (let round = 0; round < warmUpCalls; round++) {
		await call();
	}
	const cpuBefore = process.cpuUsage();
	const bytesBefore = countBytes();
	for (let round = 0; round < measuredCalls; round++) {
		await call();
	}
	const { user, system } = process.cpuUsage(cpuBefore);
	return {
		way,
		bytes_there_and_back: Math.round((countBytes() - bytesBefore) / measuredCalls),
		cpu_us: Math.round((user + system) / measuredCalls),
	};
}
