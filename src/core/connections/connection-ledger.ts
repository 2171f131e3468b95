/**
 * Decides which connections of one port are read and which are given up when their clients hold too much.
 * A slow or silent client costs itself: whoever has made no progress for the longest time is given up first, and
 * never a request that runs.
 * @module
 */
import type { ConnectionLimits, SocketPool } from './connection-limits.js';

/** Estimated memory of a request in progress besides its body. */
const requestBytes = 8 * 1024;

/** What the ledger asks of a connection. */
export interface ConnectionActions {
	/** Closes a connection without a request. */
	close: () => void;
	/** Refuses the request that is being read, and frees what it holds. */
	refuseUnfinished: () => void;
	/** Reads on, since a request has ended. */
	readOn: () => void;
}

/** One connection, as the ledger knows it. */
export class ConnectionEntry {
	/** Requests whose answer has not ended. */
	openRequests = 0;
	/** Requests whose answer has ended. */
	endedRequests = 0;
	/** Bytes that were read and not handed on, bodies, and answers that were not taken. */
	heldBytes = 0;
	/** Whether a request has been read in part. */
	isUnfinished = false;
	/** Whether it was closed, which may be told again once its socket has closed. */
	isClosed = false;

	constructor(readonly actions: ConnectionActions) {}
}

export class ConnectionLedger {
	private openRequests = 0;
	private heldBytes = 0;
	private connections = 0;
	/** Connections without a request, and those with a part of one; the least recently used first. */
	private readonly idle = new Set<ConnectionEntry>();
	private readonly unfinished = new Set<ConnectionEntry>();
	/** Connections that wait until requests have ended. */
	private readonly waiting = new Set<ConnectionEntry>();

	constructor(
		readonly limits: ConnectionLimits,
		private readonly pool: SocketPool,
	) {}

	/** Bytes that the connections hold, by estimate. */
	get totalBytes(): number {
		return this.heldBytes;
	}

	/** Connections, and running requests, which have one more each. */
	get sockets(): number {
		return this.connections + this.openRequests;
	}

	/** Adds a connection; returns undefined if there is no room for it. */
	open(actions: ConnectionActions): ConnectionEntry | undefined {
		if (!this.makeRoom()) {
			return undefined;
		}
		const entry = new ConnectionEntry(actions);
		this.connections++;
		this.pool.used++;
		this.idle.add(entry);
		return entry;
	}

	/** Removes a connection that has closed. */
	close(entry: ConnectionEntry): void {
		if (entry.isClosed) {
			return;
		}
		entry.isClosed = true;
		this.connections--;
		this.openRequests -= entry.openRequests;
		this.pool.used -= 1 + entry.openRequests;
		this.heldBytes -= entry.heldBytes + entry.openRequests * requestBytes;
		entry.openRequests = 0;
		entry.heldBytes = 0;
		this.idle.delete(entry);
		this.unfinished.delete(entry);
		this.waiting.delete(entry);
		this.wakeNext();
	}

	/** Records a request whose head was read. */
	begin(entry: ConnectionEntry): void {
		entry.openRequests++;
		this.openRequests++;
		this.pool.used++;
		this.heldBytes += requestBytes;
		this.idle.delete(entry);
		this.unfinished.delete(entry);
	}

	/** Records that the answer to a request has ended. */
	end(entry: ConnectionEntry): void {
		if (entry.openRequests === 0) {
			return;
		}
		entry.openRequests--;
		entry.endedRequests++;
		this.openRequests--;
		this.pool.used--;
		this.heldBytes -= requestBytes;
		this.sort(entry);
		if (this.waiting.delete(entry)) {
			entry.actions.readOn();
		}
		this.wakeNext();
	}

	/** Whether the request that has begun may run. */
	canRun(): boolean {
		this.freeMemory();
		return this.heldBytes <= this.limits.heldBytes && (!this.isFull(0) || this.makeRoom(0));
	}

	/**
	 * Whether a connection may read its next request; otherwise it is told when it may. Requests of one connection run at
	 * once only as far as its client has taken answers.
	 */
	mayReadNext(entry: ConnectionEntry): boolean {
		const { openPerConnection, openBeforeAnswers, pipelinedRequests } = this.limits;
		const { openRequests, endedRequests } = entry;
		const window = Math.min(openPerConnection, openBeforeAnswers + endedRequests);
		const isWithin = openRequests < window && this.openRequests < pipelinedRequests;
		if (openRequests === 0 || isWithin) {
			return true;
		}
		this.waiting.add(entry);
		return false;
	}

	/** Records progress of a connection, and gives up others if more is held than there is memory. */
	update(entry: ConnectionEntry, heldBytes: number, isUnfinished: boolean): void {
		if (heldBytes === entry.heldBytes && !isUnfinished && !entry.isUnfinished) {
			return;
		}
		this.heldBytes += heldBytes - entry.heldBytes;
		entry.heldBytes = heldBytes;
		entry.isUnfinished = isUnfinished;
		this.sort(entry);
		this.freeMemory();
	}

	private freeMemory(): void {
		if (this.heldBytes <= this.limits.heldBytes) {
			return;
		}
		for (const entry of this.unfinished) {
			if (this.heldBytes <= this.limits.heldBytes) {
				return;
			}
			this.giveUp(entry);
		}
	}

	/** Gives up connections until there is a socket to spare, if any can be. */
	private makeRoom(needed = 1): boolean {
		if (this.isFull(needed)) {
			const [idle] = this.idle;
			const [unfinished] = this.unfinished;
			if (idle) {
				this.close(idle);
				idle.actions.close();
			} else if (unfinished && unfinished.openRequests === 0) {
				this.giveUp(unfinished);
			}
		}
		return !this.isFull(needed);
	}

	private isFull(needed: number): boolean {
		return this.sockets + needed > this.limits.sockets || !this.pool.has(needed);
	}

	private giveUp(entry: ConnectionEntry): void {
		this.unfinished.delete(entry);
		this.heldBytes -= entry.heldBytes;
		entry.heldBytes = 0;
		entry.isUnfinished = false;
		entry.actions.refuseUnfinished();
	}

	/** Moves a connection to the end of the list it belongs to. */
	private sort(entry: ConnectionEntry): void {
		this.idle.delete(entry);
		this.unfinished.delete(entry);
		if (entry.isUnfinished) {
			this.unfinished.add(entry);
		} else if (entry.openRequests === 0) {
			this.idle.add(entry);
		}
	}

	private wakeNext(): void {
		const [next] = this.waiting;
		if (next && this.openRequests < this.limits.pipelinedRequests) {
			this.waiting.delete(next);
			next.actions.readOn();
		}
	}
}
