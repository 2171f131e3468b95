/**
 * Metrics that the relay records.
 * @module
 */
import type { RelayOutcome } from './types.js';

/** The adapter that serves the metrics declares their names and help texts. */
export interface RelayMetrics {
	/** @param firstMs time to the first byte of the answer; undefined if there was none */
	recordEnded(route: string, outcome: RelayOutcome, tookMs: number, firstMs?: number): void;
	recordDenied(status: number): void;
	recordRetry(service: string): void;
	/** A request was sent through another VM. */
	recordForwarded(service: string): void;
	recordCircuitOpened(): void;
	/** A permit for an engine with a request limit was denied. */
	recordPermitDenied(service: string): void;
}
