/**
 * Crowds of clients that misbehave, by name, and the process that each of them is.
 * @module
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import { lakeshore } from '../../bench/deployments.js';
import { customerApiKey } from '../../bench/fleet.js';
import type { Crowd } from '../stand-ins/crowd.js';
import { host, key } from './relay-world.js';

const program = 'dist/test/stand-ins/crowd.js';
/** Interval between looks at a process beside a crowd. */
const observationMs = 50;
const crowdMs = 6000;

/** What each connection sends. */
type Sent = Pick<Crowd, 'start' | 'repeat' | 'repeats' | 'end' | 'pauseMs'>;

const usualHeaders = [
	`host: ${host}`,
	`authorization: Bearer ${key}`,
	'slategauge-attempt-id: crowd',
	'slategauge-deadline-ms: 5000',
];

function headOf(line: string, headers: readonly string[]): string {
	return `${[`${line} HTTP/1.1`, ...headers].join('\r\n')}\r\n\r\n`;
}

/** A request over and over; the count is more than any connection takes. */
function ahead(text: string): Sent {
	return { start: '', repeat: text, repeats: 1_000_000 };
}

const post = (...headers: string[]) => headOf('POST /once/', [...usualHeaders, ...headers]);
/** Body of an ordinary request to a daemon. */
export const chatBody = JSON.stringify({
	model: lakeshore.model,
	messages: [{ role: 'user', content: 'When does the programme begin?' }],
});
const chunked = 'transfer-encoding: chunked';
const twoMegabytes = 2 * 1024 * 1024;

/** What the clients of each crowd send to a relay. */
export const relayCrowds: Readonly<Record<string, Sent>> = {
	'bodies in chunks of 1 byte': {
		start: post(chunked),
		repeat: '1\r\nx\r\n',
		repeats: 330_000,
	},
	'bodies in chunks of 2 bytes': {
		start: post(chunked),
		repeat: '2\r\nxx\r\n',
		repeats: 165_000,
	},
	'bodies in large chunks that stop short': {
		start: post(chunked),
		repeat: `10000\r\n${'x'.repeat(65_536)}\r\n`,
		repeats: 63,
	},
	'bodies with a length that stop short': {
		start: post('content-length: 4194304'),
		repeat: 'x'.repeat(65_535),
		repeats: 64,
	},
	'heads without usual headers': ahead(headOf('GET /', [])),
	'heads with a host and nothing else': ahead(headOf('GET /', ['host: a'])),
	'heads without usual headers, with a body': ahead(
		`${headOf('POST /', ['host: a', 'content-length: 4'])}body`,
	),
	'the path that says ready': ahead(headOf('GET /readyz', ['host: a'])),
	'ordinary requests': ahead(`${post('content-length: 4')}body`),
	'ordinary requests without a body': ahead(headOf('GET /plain/', usualHeaders)),
	'requests that wait for leave to send': ahead(
		`${post('content-length: 4', 'expect: 100-continue')}body`,
	),
	'requests behind a stream': {
		...ahead(headOf('GET /plain/', usualHeaders)),
		start: headOf('POST /stream/once/', [...usualHeaders, 'content-length: 0']),
	},
	'requests behind a refused one': {
		...ahead(headOf('GET /plain/', usualHeaders)),
		start: headOf('POST /once/', [...usualHeaders, 'content-length: 5000000']),
	},
	'heads that never end': {
		start: 'POST /once/ HTTP/1.1\r\n',
		repeat: 'a: bcd\r\n',
		repeats: 1800,
		pauseMs: 2,
	},
	'trailers that never end': {
		start: `${post(chunked)}0\r\n`,
		repeat: 'a: bcd\r\n',
		repeats: 1_000_000,
	},
	'long extensions of chunks': {
		start: post(chunked),
		repeat: `1;${'e'.repeat(15_000)}\r\nx\r\n`,
		repeats: 10_000,
	},
	nothing: { start: '', repeat: 'x', repeats: 0 },
	'requests for large answers': ahead(`${post('content-length: 4')}big.`),
	'a request that peers send': ahead(headOf('GET /configuration', ['host: a'])),
	'a path that nobody has': ahead(headOf('GET /none', ['host: a'])),
	'an unfinished body at rest': {
		start: headOf('POST /none', ['host: a', chunked]),
		repeat: '1\r\nx\r\n',
		repeats: 330_000,
	},
};

const daemonHeaders = ['host: a', `authorization: Bearer ${customerApiKey('listener-app')}`];
const postChat = (...headers: string[]) =>
	headOf('POST /v1/chat/completions', [...daemonHeaders, ...headers]);

/** What the clients of each crowd send to a daemon of a fleet. */
export const daemonCrowds: Readonly<Record<string, Sent>> = {
	'bodies in chunks of 1 byte': {
		start: postChat(chunked),
		repeat: '1\r\nx\r\n',
		repeats: 330_000,
	},
	'bodies with a length that stop short': {
		start: postChat('content-length: 4194304'),
		repeat: 'x'.repeat(65_535),
		repeats: 64,
	},
	'heads with a host and nothing else': ahead(headOf('GET /', ['host: a'])),
	'the path that says ready': ahead(headOf('GET /readyz', ['host: a'])),
	'requests for the models': ahead(headOf('GET /v1/models', daemonHeaders)),
	'ordinary requests': ahead(`${postChat(`content-length: ${chatBody.length}`)}${chatBody}`),
	'calls of operators': ahead(headOf('GET /status', ['host: a'])),
	'calls of operators with unfinished bodies': {
		start: headOf('POST /applyConfiguration', [
			'host: a',
			'content-type: application/json',
			chunked,
		]),
		repeat: '1\r\nx\r\n',
		repeats: 330_000,
	},
};

/** Bytes of an answer that a crowd leaves unread. */
export const largeAnswerBytes = twoMegabytes;
/** Body to which engines give that answer. */
export const largeAnswerBody = 'big.';

/** Peaks of a process since its start. */
export interface ProcessPeaks {
	memoryMb: number;
	descriptors: number;
}

/** Follows the descriptors of a process; the kernel keeps the peak of its memory. */
export class ProcessObserver {
	private descriptors = 0;
	private readonly timer = setInterval(() => void this.look(), observationMs);

	constructor(private readonly pid: number) {}

	async stop(): Promise<ProcessPeaks> {
		clearInterval(this.timer);
		await this.look();
		const status = await fs.readFile(`/proc/${this.pid}/status`, 'utf8');
		const peakKb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]);
		return { memoryMb: peakKb / 1024, descriptors: this.descriptors };
	}

	private async look(): Promise<void> {
		try {
			const { length } = await fs.readdir(`/proc/${this.pid}/fd`);
			this.descriptors = Math.max(this.descriptors, length);
		} catch {
			// The process has ended, which the scenario finds by itself.
		}
	}
}

/** Runs a crowd until it has left. */
export async function runCrowd(
	address: { host: string; port: number },
	connections: number,
	sent: Sent,
): Promise<void> {
	const crowd: Crowd = { ...address, connections, ...sent, forMs: crowdMs };
	const child = childProcess.spawn(process.execPath, [program, JSON.stringify(crowd)], {
		stdio: ['ignore', 'ignore', 'inherit'],
	});
	await new Promise((done) => child.once('exit', done));
}
