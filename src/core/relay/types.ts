/**
 * What a request is relayed with, and how it ends.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { CostModel } from '../engines/cost-model.js';
import type { EngineDirectory } from '../engines/engine-directory.js';
import type { FleetHealth } from '../engines/fleet-health.js';
import type { EnginePlacement } from '../engines/placement.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { FleetLimits } from '../limits/fleet-limits.js';
import type { Quarantine } from '../quarantine/quarantine.js';
import type { Customer, ModelCapacity, Route } from '../routing/types.js';
import type { CallerRequest, EngineTransport } from './definitions.js';
import type { RelayMetrics } from './metrics.js';
import type { RetryBudget } from './retry-budget.js';

/** Counts requests that begin to run at engines. */
export interface UsageRecorder {
	/** @param agoMs how long ago it began */
	recordStarted(customer: string, agoMs: number): void;
}

/** What requests need of the limits that engines name. */
export type RequestLimits = Pick<FleetLimits, 'ledger' | 'permits' | 'getRetrySchedule'>;

/** What all requests of a VM share. */
export interface RelayContext {
	clock: Clock;
	log: Log;
	engines: EngineDirectory;
	placement: EnginePlacement;
	transport: EngineTransport;
	retryBudget: RetryBudget;
	quarantine: Quarantine;
	/** Engines that fail the requests of several VMs. */
	fleetHealth: Pick<FleetHealth, 'admitted' | 'failed' | 'served'>;
	fleet: FleetView;
	limits: RequestLimits;
	costs: CostModel;
	metrics: RelayMetrics;
	/** Counts requests that begin to run, where that is reported. */
	usage?: UsageRecorder;
	/** This VM's work at some engine changed. */
	onWorkChanged: () => void;
}

/** What the configuration says of one request. */
export interface RoutedRequest {
	req: CallerRequest;
	route: Route;
	service: string;
	customer?: Customer;
	/** Present where the service's engines run language models. */
	model?: ModelCapacity;
	/** No route of the service has a less urgent tier. */
	isLeastUrgent: boolean;
	/** Shortest of the target pauses of the service's streams, in milliseconds. */
	minTargetPauseMs?: number;
	/** 0 is the most urgent. */
	urgency: number;
	configurationVersion: number;
}

/** How a request ended, for logs and metrics. */
export const relayOutcomes = {
	complete: 'complete',
	/** The engine's own failure, passed on. */
	engineFailure: 'engine-failure',
	refused: 'refused',
	unknown: 'unknown',
	timedOut: 'timed-out',
	cut: 'cut',
	callerLeft: 'caller-left',
} as const;
export type RelayOutcome = (typeof relayOutcomes)[keyof typeof relayOutcomes];
