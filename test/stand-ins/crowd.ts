/**
 * A crowd of clients that misbehave, as a process of its own: each connection sends bytes ahead and reads nothing.
 * Its only argument is a `Crowd` as JSON.
 * @module
 */
import * as net from 'node:net';

export interface Crowd {
	host: string;
	port: number;
	connections: number;
	/** Sent once at the start of each connection. */
	start: string;
	/** Sent over and over behind it. */
	repeat: string;
	/** How often it is sent on one connection. */
	repeats: number;
	/** Sent at the end of each connection, which then stays open. */
	end?: string;
	/** Pause before each repetition. @default none, with many repetitions in one write */
	pauseMs?: number;
	/** Time until the crowd leaves. */
	forMs: number;
}

/** Bytes that are handed to the kernel at once. */
const writeBytes = 256 * 1024;
/** Pause before a connection that was closed is opened again. */
const reopenMs = 50;

class Client {
	private left = 0;
	private socket = new net.Socket();

	constructor(private readonly crowd: Crowd) {}

	open(): void {
		const { host, port, start, repeats } = this.crowd;
		this.left = repeats;
		this.socket = net.connect({ host, port, allowHalfOpen: true, noDelay: true });
		// Nothing is read, so what comes fills the buffers of the kernel.
		this.socket.pause();
		this.socket.on('error', () => {});
		this.socket.on('close', () => setTimeout(() => this.open(), reopenMs));
		this.socket.on('connect', () => this.socket.write(start, 'latin1', () => this.sendMore()));
	}

	private sendMore(): void {
		const { repeat, end, pauseMs } = this.crowd;
		const { socket } = this;
		if (socket.destroyed) {
			return;
		}
		if (this.left === 0) {
			if (end) {
				socket.write(end, 'latin1');
			}
			return;
		}
		const most = pauseMs === undefined ? Math.ceil(writeBytes / repeat.length) : 1;
		const count = Math.min(this.left, most);
		this.left -= count;
		const send = () => socket.write(repeat.repeat(count), 'latin1', () => this.sendMore());
		if (pauseMs === undefined) {
			send();
		} else {
			setTimeout(send, pauseMs);
		}
	}
}

const crowd = JSON.parse(process.argv[2] ?? '{}') as Crowd;
for (let index = 0; index < crowd.connections; index++) {
	new Client(crowd).open();
}
setTimeout(() => process.exit(0), crowd.forMs);
