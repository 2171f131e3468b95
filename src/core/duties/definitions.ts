/**
 * Port to the platform API that a single VM, the duty holder, calls on behalf of the fleet.
 * @module
 */
import type { UsageReport } from './types.js';

/** Identifies the calling VM. The API may refuse a call whose token is lower than one it has already seen. */
export interface DutyCaller {
	vm: string;
	/** Fencing token; increases with each new duty holder. */
	token: number;
}

/** Desired number of engines of one service in one failure domain. */
export interface EngineOrder {
	service: string;
	domain: string;
	/** Spot (preemptible) engines if true, regular ones otherwise. */
	spot: boolean;
	count: number;
}

/** Outcome of a call. */
export const dutyAnswers = {
	done: 'done',
	/** Not executed: a higher token was seen, or no such engines are available. */
	refused: 'refused',
	/** Not executed: too many calls. */
	busy: 'busy',
	/** No answer: the call may have been executed, or may be executed later. */
	unknown: 'unknown',
} as const;
export type DutyAnswer = (typeof dutyAnswers)[keyof typeof dutyAnswers];

/** Calls never reject; a missing answer resolves to `unknown`. */
export interface DutyApi {
	reportUsage(caller: DutyCaller, report: UsageReport): Promise<DutyAnswer>;
	orderEngines(caller: DutyCaller, order: EngineOrder): Promise<DutyAnswer>;
	close(): Promise<void>;
}
