/**
 * A TCP proxy on loopback that injects network faults: delays, stalls in one or both directions, and resets.
 * @module
 */
import * as net from 'node:net';

/** States of the link through the proxy. */
export const linkStates = {
	healthy: 'healthy',
	/** Bytes are held back in both directions; connections stay open. */
	stalled: 'stalled',
	/** Bytes to the target are held back. */
	stalledToTarget: 'stalled-to-target',
	/** Bytes from the target are held back. */
	stalledFromTarget: 'stalled-from-target',
	/** New connections are reset. */
	refusing: 'refusing',
} as const;
export type LinkState = (typeof linkStates)[keyof typeof linkStates];

interface Connection {
	downstream: net.Socket;
	upstream: net.Socket;
}

export class LoopbackProxy {
	private state: LinkState = linkStates.healthy;
	private delayMs = 0;
	private readonly connections = new Set<Connection>();
	private readonly server = net.createServer({ allowHalfOpen: true }, (downstream) =>
		this.accept(downstream),
	);

	constructor(private readonly target: { host: string; port: number }) {}

	/** @returns the proxy's address as IP:PORT */
	async start(host = '127.0.0.1'): Promise<string> {
		await new Promise<void>((done) => this.server.listen(0, host, done));
		return `${host}:${(this.server.address() as net.AddressInfo).port}`;
	}

	stop(): void {
		this.server.close();
		this.resetConnections();
	}

	/** Delays bytes in both directions. */
	setDelay(ms: number): void {
		this.delayMs = ms;
	}

	/** Bytes that were held back are passed on once the link is healthy again. */
	setState(state: LinkState): void {
		this.state = state;
		for (const { downstream, upstream } of this.connections) {
			this.applyState(downstream, linkStates.stalledToTarget);
			this.applyState(upstream, linkStates.stalledFromTarget);
		}
	}

	/** Resets all open connections. */
	resetConnections(): void {
		for (const { downstream, upstream } of this.connections) {
			downstream.resetAndDestroy();
			upstream.resetAndDestroy();
		}
	}

	private accept(downstream: net.Socket): void {
		if (this.state === linkStates.refusing) {
			downstream.on('error', () => {});
			downstream.resetAndDestroy();
			return;
		}
		const upstream = net.connect({ ...this.target, allowHalfOpen: true });
		const connection = { downstream, upstream };
		this.connections.add(connection);
		this.forward(downstream, upstream, connection);
		this.forward(upstream, downstream, connection);
		this.applyState(downstream, linkStates.stalledToTarget);
		this.applyState(upstream, linkStates.stalledFromTarget);
	}

	private forward(from: net.Socket, to: net.Socket, connection: Connection): void {
		const schedule = this.createScheduler();
		from.setNoDelay(true);
		from.on('data', (chunk) => schedule(() => to.write(chunk)));
		from.on('end', () => forwardEnd(from, () => schedule(() => to.end())));
		// Propagates a reset to the other side.
		from.on('error', () => to.resetAndDestroy());
		from.on('close', () => {
			this.connections.delete(connection);
			schedule(() => to.destroySoon());
		});
	}

	/** @returns a function that runs actions after the current delay, in the order in which they were scheduled */
	private createScheduler(): (action: () => void) => void {
		const queue: { at: number; action: () => void }[] = [];
		const runDueActions = () => {
			while (queue[0] && queue[0].at <= performance.now()) {
				queue.shift()?.action();
			}
			if (queue[0]) {
				// Timers may fire slightly early.
				setTimeout(runDueActions, Math.max(1, queue[0].at - performance.now()));
			}
		};
		return (action) => {
			const at = Math.max(queue.at(-1)?.at ?? 0, performance.now() + this.delayMs);
			queue.push({ at, action });
			if (queue.length === 1) {
				runDueActions();
			}
		};
	}

	private applyState(socket: net.Socket, stalledState: LinkState): void {
		if (this.state === linkStates.stalled || this.state === stalledState) {
			socket.pause();
		} else {
			socket.resume();
		}
	}
}

/**
 * Forwards an orderly end, but not a reset. Node.js reports a reset that arrives together with the last bytes as an
 * end; an empty write tells the two apart, as it fails after a reset.
 */
function forwardEnd(socket: net.Socket, forward: () => void): void {
	if (socket.writableEnded) {
		forward();
		return;
	}
	socket.write('', (err) => {
		if (!err) {
			forward();
		}
	});
}
