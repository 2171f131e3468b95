/**
 * Dependencies of the relay, routed requests and their outcomes.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { CostModel } from '../engines/cost-model.js';
import type { EngineDirectory } from '../engines/engine-directory.js';
import type { FleetHealth } from '../engines/fleet-health.js';
import type { EnginePlacement } from '../engines/placement.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { LinkMonitor } from '../forwarding/link-monitor.js';
import type { RequestForwarding } from '../forwarding/request-forwarding.js';
import type { FleetLimits } from '../limits/fleet-limits.js';
import type { Quarantine } from '../quarantine/quarantine.js';
import type { Customer, ModelCapacity, Route } from '../routing/types.js';
import type { CallerRequest, EngineTransport } from './definitions.js';
import type { RelayMetrics } from './metrics.js';
import type { RetryBudget } from './retry-budget.js';

/** Counts requests that start to run on engines. */
export interface UsageRecorder {
	/** @param agoMs how long ago the request started */
	recordStart(customer: string, agoMs: number): void;
}

/** Limits of engines, as far as requests need them. */
export type RequestLimits = Pick<FleetLimits, 'ledger' | 'permits' | 'getRetrySchedule'>;

/** Dependencies that all requests of a VM share. */
export interface RelayContext {
	clock: Clock;
	log: Log;
	engines: EngineDirectory;
	placement: EnginePlacement;
	transport: EngineTransport;
	retryBudget: RetryBudget;
	quarantine: Quarantine;
	/** Detects engines that fail the requests of several VMs. */
	fleetHealth: Pick<FleetHealth, 'filterAvailable' | 'recordFailure' | 'recordSuccess'>;
	/** State of this VM's own links to engines. */
	links: Pick<LinkMonitor, 'recordUnreachable' | 'getRunningCheck' | 'isCutOff'>;
	/** Ways to engines through other VMs. */
	forwarding: Pick<RequestForwarding, 'chooseHelper' | 'retryAfterS'>;
	fleet: FleetView;
	limits: RequestLimits;
	costs: CostModel;
	metrics: RelayMetrics;
	/** Absent where usage is not reported. */
	usage?: UsageRecorder;
	/** Called when this VM's work on an engine changes. */
	onWorkChanged: () => void;
}

/** A caller's request with what the configuration determines for it. */
export interface RoutedRequest {
	req: CallerRequest;
	route: Route;
	service: string;
	customer?: Customer;
	/** Present where the service's engines run language models. */
	model?: ModelCapacity;
	/** Whether no route of the service has a less urgent tier. */
	isLeastUrgent: boolean;
	/** Shortest target pause of the service's streams. */
	minTargetPauseMs?: number;
	/** 0 is the most urgent. */
	urgency: number;
	configurationVersion: number;
}

/** How a request ended, for logs and metrics. */
export const relayOutcomes = {
	complete: 'complete',
	/** The engine's own error, forwarded to the caller. */
	engineFailure: 'engine-failure',
	refused: 'refused',
	unknown: 'unknown',
	timedOut: 'timed-out',
	cut: 'cut',
	callerLeft: 'caller-left',
} as const;
export type RelayOutcome = (typeof relayOutcomes)[keyof typeof relayOutcomes];
