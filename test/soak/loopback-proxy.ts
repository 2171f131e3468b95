/**
 * A proxy on loopback that passes bytes on and harms them on order: late, not at all, one way only, or
 * with a reset. It knows nothing of what it carries.
 * @module
 */
import * as net from 'node:net';

/** What happens to bytes from now on. */
export const linkStates = {
	healthy: 'well',
	/** Bytes wait; connections stay open. */
	stalled: 'silent',
	/** Only bytes towards the target wait. */
	stalledToTarget: 'silent-to',
	/** Only bytes back from the target wait. */
	stalledFromTarget: 'silent-from',
	/** New connections are reset. */
	refusing: 'refusing',
} as const;
export type LinkState = (typeof linkStates)[keyof typeof linkStates];

interface Connection {
	near: net.Socket;
	far: net.Socket;
}

export class LoopbackProxy {
	private state: LinkState = linkStates.healthy;
	private delayMs = 0;
	private readonly connections = new Set<Connection>();
	private readonly server = net.createServer({ allowHalfOpen: true }, (near) => this.accept(near));

	constructor(private readonly target: { host: string; port: number }) {}

	/** @returns the address to use in place of the target's, as IP:PORT */
	async start(host = '127.0.0.1'): Promise<string> {
		await new Promise<void>((done) => this.server.listen(0, host, done));
		return `${host}:${(this.server.address() as net.AddressInfo).port}`;
	}

	stop(): void {
		this.server.close();
		this.resetConnections();
	}

	/** Bytes in either direction come later by this time, in milliseconds. */
	setDelay(ms: number): void {
		this.delayMs = ms;
	}

	/** Bytes that waited go on when the link is well again. */
	setState(state: LinkState): void {
		this.state = state;
		for (const { near, far } of this.connections) {
			this.apply(near, linkStates.stalledToTarget);
			this.apply(far, linkStates.stalledFromTarget);
		}
	}

	/** Resets all open connections. */
	resetConnections(): void {
		for (const { near, far } of this.connections) {
			near.resetAndDestroy();
			far.resetAndDestroy();
		}
	}

	private accept(near: net.Socket): void {
		if (this.state === linkStates.refusing) {
			near.on('error', () => {});
			near.resetAndDestroy();
			return;
		}
		const far = net.connect({ ...this.target, allowHalfOpen: true });
		const connection = { near, far };
		this.connections.add(connection);
		this.join(near, far, connection);
		this.join(far, near, connection);
		this.apply(near, linkStates.stalledToTarget);
		this.apply(far, linkStates.stalledFromTarget);
	}

	private join(from: net.Socket, to: net.Socket, connection: Connection): void {
		const later = this.inOrder();
		from.setNoDelay(true);
		from.on('data', (chunk) => later(() => to.write(chunk)));
		from.on('end', () => passEnd(from, () => later(() => to.end())));
		// A reset on one side is a reset on the other.
		from.on('error', () => to.resetAndDestroy());
		from.on('close', () => {
			this.connections.delete(connection);
			later(() => to.destroySoon());
		});
	}

	/** @returns a function that does things after the delay of the moment, never before earlier ones */
	private inOrder(): (action: () => void) => void {
		const queue: { at: number; action: () => void }[] = [];
		const pump = () => {
			while (queue[0] && queue[0].at <= performance.now()) {
				queue.shift()?.action();
			}
			if (queue[0]) {
				// Timers may fire a little early, so at least a millisecond passes.
				setTimeout(pump, Math.max(1, queue[0].at - performance.now()));
			}
		};
		return (action) => {
			const at = Math.max(queue.at(-1)?.at ?? 0, performance.now() + this.delayMs);
			queue.push({ at, action });
			if (queue.length === 1) {
				pump();
			}
		};
	}

	private apply(socket: net.Socket, oneWay: LinkState): void {
		if (this.state === linkStates.stalled || this.state === oneWay) {
			socket.pause();
		} else {
			socket.resume();
		}
	}
}

/**
 * Passes an orderly end on. A reset that comes together with the last bytes is read as one: writing nothing asks,
 * and fails after a reset, which is then an error of the socket.
 */
function passEnd(socket: net.Socket, pass: () => void): void {
	if (socket.writableEnded) {
		pass();
		return;
	}
	socket.write('', (err) => {
		if (!err) {
			pass();
		}
	});
}
