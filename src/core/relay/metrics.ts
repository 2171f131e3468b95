/**
 * Figures of the relay that operators watch.
 * @module
 */
import type { RelayOutcome } from './types.js';

/** Receives figures; what they mean is declared with the adapter that serves them. */
export interface RelayMetrics {
	/** A request ended. Times in milliseconds; `firstMs` until its first byte, if any came. */
	recordEnded(route: string, outcome: RelayOutcome, tookMs: number, firstMs?: number): void;
	recordDenied(status: number): void;
	recordRetry(service: string): void;
	recordCircuitOpened(): void;
	/** An engine that names a limit takes no request of the service now. */
	recordPermitDenied(service: string): void;
}
