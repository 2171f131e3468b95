/**
 * Figures of the relay that operators watch.
 * @module
 */
import type { RelayOutcome } from './types.js';

/** Receives figures; what they mean is declared with the adapter that serves them. */
export interface RelayMetrics {
	/** A request ended. Times in milliseconds; `firstMs` until its first byte, if any came. */
	ended(route: string, outcome: RelayOutcome, tookMs: number, firstMs?: number): void;
	denied(status: number): void;
	retried(service: string): void;
	engineClosed(): void;
	/** A request was placed at an engine that has no room for it in its memory. */
	placedWithoutRoom(service: string): void;
	/** An engine that names a limit takes no request of the service now. */
	permitDenied(service: string): void;
}
