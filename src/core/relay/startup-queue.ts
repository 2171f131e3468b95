/**
 * Holds requests that arrive while a starting daemon reads configuration and engines, instead of refusing them. After a loss of
 * power callers are back before the daemon has read them, and a retry would come too late for their targets.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { CallerRequest, CallerResponse } from './definitions.js';

/** Maximum time that a request is held; the smallest VMs read for 300 ms after their ports open. */
const maxHoldMs = 500;
/** Time after the start in which requests are held; later the store counts as unreachable. */
const startupMs = 1000;

export interface StartupQueueOptions {
	clock: Clock;
	log: Log;
	/** Whether configuration and engines were read. */
	isLoaded: () => boolean;
}

interface HeldRequest {
	id: string;
	heldAt: number;
	proceed: () => void;
	timer: NodeJS.Timeout;
}

export class StartupQueue {
	private readonly held = new Set<HeldRequest>();
	private readonly startedAt: number;

	constructor(private readonly opts: StartupQueueOptions) {
		this.startedAt = opts.clock.monotonic();
	}

	/**
	 * @param proceed called once to process the request, unless its caller disconnects first
	 * @returns false when the request is not held and should be processed now
	 */
	enqueue(req: CallerRequest, res: CallerResponse, proceed: () => void): boolean {
		const now = this.opts.clock.monotonic();
		if (this.opts.isLoaded() || now - this.startedAt > startupMs) {
			return false;
		}
		const timer = setTimeout(() => this.releaseItem(item), maxHoldMs);
		const item: HeldRequest = { id: req.id, heldAt: now, proceed, timer };
		this.held.add(item);
		res.onDisconnect(() => this.remove(item));
		return true;
	}

	/** Processes all held requests if configuration and engines are loaded; call after each read. */
	release(): void {
		if (this.opts.isLoaded()) {
			for (const item of [...this.held]) {
				this.releaseItem(item);
			}
		}
	}

	private releaseItem(item: HeldRequest): void {
		if (this.remove(item)) {
			const heldMs = Math.round(this.opts.clock.monotonic() - item.heldAt);
			this.opts.log.info('request.held', { request: item.id, held_ms: heldMs });
			item.proceed();
		}
	}

	private remove(item: HeldRequest): boolean {
		clearTimeout(item.timer);
		return this.held.delete(item);
	}
}
