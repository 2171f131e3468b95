/**
 * Shares the time of the event loop between connections with much to read, so that one turn of the loop stays short
 * for all others.
 * @module
 */
import type { Clock } from '../definitions.js';

/**
 * Time that a connection with much to read gets in one turn. A turn accepts one new connection, so clients that connect at
 * the same time wait for as many turns.
 */
const maxTurnMs = 2;

export class ReadTurns {
	private readonly queue = new Set<() => void>();
	/** Undefined while nobody has much to read. */
	private startedAt?: number;

	constructor(
		private readonly clock: Clock,
		/** Calls back once the sockets were read. */
		private readonly defer: (callback: () => void) => void,
	) {}

	/** Whether a connection that has read its share may read on in this turn. */
	hasTime(): boolean {
		if (this.startedAt === undefined) {
			this.begin();
			return true;
		}
		return this.clock.monotonic() - this.startedAt < maxTurnMs;
	}

	/** Calls `readOn` in a later turn, behind those that wait already. */
	enqueue(readOn: () => void): void {
		this.queue.add(readOn);
		if (this.startedAt === undefined) {
			this.begin();
		}
	}

	remove(readOn: () => void): void {
		this.queue.delete(readOn);
	}

	private begin(): void {
		this.startedAt = this.clock.monotonic();
		this.defer(() => this.next());
	}

	private next(): void {
		if (this.queue.size === 0) {
			this.startedAt = undefined;
			return;
		}
		this.begin();
		const [readOn] = this.queue;
		if (readOn) {
			this.queue.delete(readOn);
			readOn();
		}
	}
}
