/**
 * Holds requests that come in the first moments of a daemon, while it reads configuration and engines: after a
 * loss of power callers are back before the daemon knows where to send them. Told to come back they would
 * be late; the read takes a tenth of a second.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { CallerRequest, CallerResponse } from './definitions.js';

/** A request is held for so long at the most, in milliseconds: the smallest known VMs read for 300 after their ports open. */
const longestHoldMs = 500;
/** Requests are held for so long after the start, in milliseconds: a store that has not answered then is away. */
const startMs = 1000;

export interface StartupQueueOptions {
	clock: Clock;
	log: Log;
	/** Configuration and engines were read. */
	isLoaded: () => boolean;
}

/** A request and what becomes of it. */
interface Held {
	id: string;
	heldAt: number;
	proceed: () => void;
	timer: NodeJS.Timeout;
}

export class StartupQueue {
	private readonly held = new Set<Held>();
	private readonly startedAt: number;

	constructor(private readonly opts: StartupQueueOptions) {
		this.startedAt = opts.clock.monotonic();
	}

	/**
	 * @param proceed goes on with the request, once, unless its caller leaves meanwhile
	 * @returns false when the request is not held and should go on now
	 */
	enqueue(req: CallerRequest, res: CallerResponse, proceed: () => void): boolean {
		const now = this.opts.clock.monotonic();
		if (this.opts.isLoaded() || now - this.startedAt > startMs) {
			return false;
		}
		const timer = setTimeout(() => this.goOn(item), longestHoldMs);
		const item: Held = { id: req.id, heldAt: now, proceed, timer };
		this.held.add(item);
		res.onDisconnect(() => this.drop(item));
		return true;
	}

	/** Something was read: what waits goes on if it was enough. */
	release(): void {
		if (this.opts.isLoaded()) {
			for (const item of [...this.held]) {
				this.goOn(item);
			}
		}
	}

	private goOn(item: Held): void {
		if (this.drop(item)) {
			const heldMs = Math.round(this.opts.clock.monotonic() - item.heldAt);
			this.opts.log.info('request.held', { request: item.id, held_ms: heldMs });
			item.proceed();
		}
	}

	private drop(item: Held): boolean {
		clearTimeout(item.timer);
		return this.held.delete(item);
	}
}
