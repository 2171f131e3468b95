/**
 * Hands what a connection receives to Node's parser request by request. Node itself parses all that was read at once,
 * up to several thousand requests, and keeps each of them until it is answered.
 * @module
 */
import type * as net from 'node:net';
import type { ReadTurns } from '../../core/connections/read-turns.js';

/** A head or a chunked body that ends within so many bytes is parsed at once. */
const maxSearchBytes = 4 * 1024;
/** Bytes that are parsed at once otherwise, unless they belong to a body of a known length. */
const maxStepBytes = 1024;
/** Parts, such as a head or the rest of a body, that a connection may parse in a turn of the event loop whatever others do. */
const freeSteps = 2;
/** A smaller rest is copied, so that it does not hold the buffer that it was read into. */
const minRestBytes = 32 * 1024;
/** What ends a head or a chunked body, after the line before it. */
const emptyLines = [Buffer.from('\n\r\n'), Buffer.from('\n\n')];

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** What the reader asks about its connection. */
export interface ReadSource {
	/** Whether what is read from here on is dropped. */
	isDropped: () => boolean;
	/** Whether the next bytes may be parsed; if not, `readOn` is called later. */
	mayRead: () => boolean;
	/** Bytes that the body that is being read still lacks; 0 if that is not known. */
	getMissingBytes: () => number;
	/** Called after each part that was parsed. */
	onParsed: (bytes: number) => void;
	/** Called once what has arrived was parsed or held back. */
	onRead: () => void;
}

export class MeteredReader {
	private readonly parse: (bytes: Buffer) => void;
	private isHeld = false;
	private readonly resume = () => {
		if (this.isHeld) {
			this.isHeld = false;
			this.socket.resume();
		}
	};

	/** Takes the place of the parser as the listener of the socket. */
	constructor(
		private readonly socket: net.Socket,
		private readonly source: ReadSource,
		private readonly turns: ReadTurns,
	) {
		this.parse = socket.listeners('data')[0] as (bytes: Buffer) => void;
		socket.on('data', (bytes) => this.read(bytes));
		socket.removeListener('data', this.parse);
		socket.once('close', () => turns.remove(this.resume));
	}

	/** Whether bytes have arrived that were not parsed. */
	get hasUnparsed(): boolean {
		return this.socket.readableLength > 0;
	}

	/** Goes on in a later turn after bytes were held back. */
	readOn(): void {
		this.turns.enqueue(this.resume);
	}

	private read(bytes: Buffer): void {
		const { socket, source } = this;
		if (this.isHeld) {
			// Node resumes a socket whenever the body of a request is read.
			socket.pause();
			socket.unshift(bytes);
			return;
		}
		let at = 0;
		let stepsLeft = freeSteps;
		let hasTime = true;
		while (at < bytes.length && hasTime && !socket.destroyed && !socket.isPaused()) {
			if (source.isDropped()) {
				stepsLeft--;
				at = bytes.length;
			} else if (source.mayRead()) {
				const missing = Math.min(source.getMissingBytes(), bytes.length - at);
				const length = missing > 0 ? missing : measureStep(bytes, at);
				stepsLeft -= missing > 0 ? 0 : 1;
				this.parse(bytes.subarray(at, at + length));
				source.onParsed(length);
				at += length;
			} else {
				this.pause();
			}
			hasTime = stepsLeft > 0 || at === bytes.length || this.turns.hasTime();
		}
		if (socket.destroyed) {
			return;
		}
		if (!hasTime && !socket.isPaused()) {
			this.pause();
			this.turns.enqueue(this.resume);
		}
		this.putBack(bytes, at);
		source.onRead();
	}

	private pause(): void {
		this.isHeld = true;
		this.socket.pause();
	}

	/** Keeps the rest for when the socket is resumed, here or, after backpressure, by Node. */
	private putBack(bytes: Buffer, at: number): void {
		const rest = bytes.subarray(at);
		if (rest.length > 0) {
			this.socket.unshift(rest.length < minRestBytes ? Buffer.from(rest) : rest);
		}
	}
}

/** Returns the length of the next part: up to the end of a head, if that is not far. */
function measureStep(bytes: Buffer, start: number): number {
	const part = bytes.subarray(start, start + maxSearchBytes);
	// The first half of the empty line may have come before.
	if (part[0] === lineFeed) {
		return 1;
	}
	if (part[0] === carriageReturn && part[1] === lineFeed) {
		return 2;
	}
	const end = findEmptyLine(part, 0);
	if (end === undefined) {
		return Math.min(part.length, maxStepBytes);
	}
	// A head and what has arrived of its body are parsed at once, unless another head may be complete.
	const isRest = start + part.length === bytes.length;
	return isRest && findEmptyLine(part, end) === undefined ? part.length : end;
}

/** Returns the position behind the first empty line from `start` on. */
function findEmptyLine(bytes: Buffer, start: number): number | undefined {
	let end: number | undefined;
	for (const emptyLine of emptyLines) {
		const at = bytes.indexOf(emptyLine, start);
		if (at >= 0) {
			end = Math.min(end ?? bytes.length, at + emptyLine.length);
		}
	}
	return end;
}
