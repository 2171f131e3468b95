/**
 * A caller that writes raw bytes on one connection and decodes all that comes back.
 * @module
 */
import * as net from 'node:net';
import type { Vm } from './relay-world.js';
import { host, key } from './relay-world.js';

const headEnd = '\r\n\r\n';

export interface RawAnswer {
	status: number;
	/** Head as received. */
	head: string;
	body: string;
	/** Whether the answer marks its end, and the end was received. */
	isWhole: boolean;
}

export interface RawRequest {
	method: string;
	target: string;
	id: string;
	/** @default 1.1 */
	version?: string;
	/** @default 5000 */
	deadlineMs?: number;
	/** Further lines of the head. */
	lines?: readonly string[];
	body?: string;
}

/** Encodes a request with the length of its body, unless its lines tell how the body ends. */
export function encodeRequest({
	method,
	target,
	id,
	version,
	deadlineMs = 5000,
	lines = [],
	body,
}: RawRequest): string {
	const isFramed = lines.some((line) => /^(content-length|transfer-encoding):/i.test(line));
	const head = [
		`${method} ${target} HTTP/${version ?? '1.1'}`,
		`host: ${host}`,
		`authorization: Bearer ${key}`,
		`slategauge-attempt-id: ${id}`,
		`slategauge-deadline-ms: ${deadlineMs}`,
		...(body !== undefined && !isFramed ? [`content-length: ${body.length}`] : []),
		...lines,
	];
	return `${head.join('\r\n')}${headEnd}${body ?? ''}`;
}

export class RawCaller {
	readonly socket: net.Socket;
	private readonly chunks: Buffer[] = [];
	/** Whether the other side has closed the connection, or reset it. */
	hasEnded = false;
	wasReset = false;

	constructor(vm: Vm) {
		const { address, ports } = vm;
		this.socket = net.connect({
			host: address,
			port: ports.callers,
			allowHalfOpen: true,
			noDelay: true,
		});
		this.socket.on('data', (chunk) => this.chunks.push(chunk));
		this.socket.on('end', () => {
			this.hasEnded = true;
		});
		this.socket.on('error', () => {
			this.wasReset = true;
		});
		this.socket.on('close', () => {
			this.hasEnded = true;
		});
	}

	get received(): string {
		return Buffer.concat(this.chunks).toString('latin1');
	}

	get receivedBytes(): number {
		return this.chunks.reduce((bytes, { length }) => bytes + length, 0);
	}

	write(text: string): void {
		this.socket.write(text);
	}

	/** Decodes what was received, as answers to requests with these methods; fails on bytes that are none. */
	decode(methods: readonly string[]): RawAnswer[] {
		let rest = this.received;
		const answers: RawAnswer[] = [];
		for (const method of methods) {
			const [answer, left] = decodeAnswer(rest, method, this.hasEnded && !this.wasReset);
			if (!answer) {
				break;
			}
			answers.push(answer);
			rest = left;
		}
		if (answers.length === methods.length && rest !== '') {
			throw new Error(`bytes behind the last answer: ${JSON.stringify(rest.slice(0, 200))}`);
		}
		return answers;
	}

	/** Waits for whole answers to requests with these methods, or for the end of the connection. */
	async untilAnswered(methods: readonly string[], withinMs: number): Promise<RawAnswer[]> {
		const deadline = performance.now() + withinMs;
		for (;;) {
			const answers = this.decode(methods);
			const isDone = answers.length === methods.length && answers.every(({ isWhole }) => isWhole);
			if (isDone || this.hasEnded || performance.now() > deadline) {
				return answers;
			}
			await new Promise((done) => setTimeout(done, 10));
		}
	}

	close(): void {
		this.socket.destroy();
	}
}

/** @returns the first answer, skipping informational ones, and what follows it; undefined if it lacks a whole head */
function decodeAnswer(
	text: string,
	method: string,
	hasEnded: boolean,
): [RawAnswer | undefined, string] {
	const end = text.indexOf(headEnd);
	if (end < 0) {
		return [undefined, text];
	}
	const head = text.slice(0, end);
	const rest = text.slice(end + headEnd.length);
	const status = Number(/^HTTP\/1\.1 (\d{3}) /.exec(head)?.[1]);
	if (!status) {
		throw new Error(`no answer: ${JSON.stringify(head.slice(0, 200))}`);
	}
	if (status < 200) {
		return decodeAnswer(rest, method, hasEnded);
	}
	const length = /\r\ncontent-length: *(\d+)/i.exec(head)?.[1];
	if (method === 'HEAD' || status === 204 || status === 304) {
		return [{ status, head, body: '', isWhole: true }, rest];
	}
	if (/\r\ntransfer-encoding: *chunked/i.test(head)) {
		const [body, left, isWhole] = decodeChunks(rest);
		return [{ status, head, body, isWhole }, left];
	}
	if (length !== undefined) {
		const body = rest.slice(0, Number(length));
		const isWhole = body.length === Number(length);
		return [{ status, head, body, isWhole }, rest.slice(body.length)];
	}
	return [{ status, head, body: rest, isWhole: hasEnded }, ''];
}

/** @returns the body, what follows it, and whether its last chunk was there */
function decodeChunks(text: string): [string, string, boolean] {
	let body = '';
	for (let index = 0; ; ) {
		const sizeEnd = text.indexOf('\r\n', index);
		const size = Number.parseInt(text.slice(index, sizeEnd), 16);
		if (sizeEnd < 0) {
			return [body, '', false];
		}
		if (Number.isNaN(size)) {
			throw new Error(`no chunk: ${JSON.stringify(text.slice(index, index + 100))}`);
		}
		const end = sizeEnd + 2 + size;
		body += text.slice(sizeEnd + 2, end);
		if (text.length < end + 2) {
			return [body, '', false];
		}
		if (size === 0) {
			return [body, text.slice(end + 2), true];
		}
		index = end + 2;
	}
}
