/**
 * Metrics that the relay records.
 * @module
 */
import type { RelayOutcome } from './types.js';

/** What became of the replacement of an engine that fell silent or failed while it answered a request. */
export const replacementResults = {
	/** It answered first. */
	used: 'used',
	/** The engine that was silent went on. */
	notNeeded: 'not-needed',
	/** None could be sent: no engine, no budget, no permit. */
	refused: 'refused',
} as const;
export type ReplacementResult = (typeof replacementResults)[keyof typeof replacementResults];

/** The adapter that serves the metrics declares their names and help texts. */
export interface RelayMetrics {
	/** @param firstMs time to the first byte of the answer; undefined if there was none */
	recordEnded(route: string, outcome: RelayOutcome, tookMs: number, firstMs?: number): void;
	recordDenied(status: number): void;
	recordRetry(service: string): void;
	recordReplacement(service: string, result: ReplacementResult): void;
	/** The life of one request failed by a defect; the others go on. */
	recordRequestDefect(): void;
	/** A request was sent through another VM. */
	recordForwarded(service: string): void;
	recordCircuitOpened(): void;
	/** A permit for an engine with a request limit was denied. */
	recordPermitDenied(service: string): void;
}
