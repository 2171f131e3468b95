/**
 * Types of placement: requests, results, and the scoring of engines.
 * @module
 */
import type { CachedTokens } from '../fleet/prefix-cache-map.js';
import type { EngineRef, EngineWork } from '../fleet/types.js';
import type { PromptSegment } from '../relay/definitions.js';
import type { ModelCapacity } from '../routing/types.js';
import type { Engine } from './engine.js';
import type { Pace } from './engine-pace.js';
import type { CostEstimates } from './work-estimate.js';

export interface PlacementRequest {
	service: string;
	promptSegments: readonly PromptSegment[];
	promptTokens: number;
	answerTokens: number;
	/** Time within which the first event should arrive, in milliseconds. */
	targetMs: number;
	/** Shortest of the target pauses of the service's streams, in milliseconds; undefined when none has one. */
	minTargetPauseMs?: number;
	/** Target for the pause between two events of this request, in milliseconds; undefined when its caller names none. */
	targetPauseMs?: number;
	model?: ModelCapacity;
	/** Whether no route of the service has a less urgent tier. */
	isLeastUrgent: boolean;
	/** Ids of the engines that this request was already sent to. */
	tried: ReadonlySet<string>;
	/** Whether an engine that is briefly silent will do where no other is available. */
	acceptsSilent?: boolean;
	/** Whether the known rate limit of an engine allows the request now. */
	admits: (engine: Engine) => boolean;
	/** Whether an engine announces a rate limit. */
	isLimited: (engine: Engine) => boolean;
}

export interface Placement {
	engine: Engine;
	/** Prompt tokens that the engine will have to read, and the estimated time for it in milliseconds. */
	uncachedTokens: number;
	readingMs: number;
	/** Estimated time to the first event, and to read one token, in milliseconds. */
	waitMs: number;
	readMsPerToken: number;
	/** Pace of the engine relative to its service's estimates; 1 is nominal. */
	pace: Pace;
	/** Prompt tokens expected to be in the prefix cache of the engine. */
	cachedTokens: number;
	/** Prompt tokens to copy from another engine, and that engine; 0 if copying gains nothing. */
	copiedTokens: number;
	copyFrom?: Engine;
	/** The fleet's work at the engine when it was chosen. */
	work: EngineWork;
	/** Reason for the choice, for the log. */
	reason: string;
}

export interface Refusal {
	refusal: string;
	retryAfterS: number;
}

/** An engine with its score for one request. */
export interface Candidate {
	engine: Engine;
	work: EngineWork;
	/** Cost estimates for the engine. */
	costs: CostEstimates;
	/** Milliseconds until the prompt starts to be read. */
	queueMs: number;
	/** Milliseconds to read and copy the prompt. */
	ownReadingMs: number;
	/** Milliseconds to the first event. */
	waitMs: number;
	/** Wait, penalties and bonuses, in rounding steps. */
	costSteps: number;
	uncachedTokens: number;
	cachedTokens: number;
	copiedTokens: number;
	/** The highest wins among candidates of equal cost. */
	tieBreakScore: number;
}

/** Which engines have how much of a prompt in their prefix caches. */
export interface CachedPrefixes {
	byEngine: ReadonlyMap<EngineRef, CachedTokens>;
	/** The engine from which the most tokens can be copied. */
	copyFrom?: Engine;
	copyableTokens: number;
}

/** Inputs of scoring that are common to all engines. */
export interface ScoringContext {
	req: PlacementRequest;
	cachedPrefixes: CachedPrefixes;
	/** Tokens of the segments that other requests may share. */
	sharedTokens: number;
	/** Id of the last shared segment, from which affinity engines are selected. */
	affinityKey: string;
	/** Bonus of the first affinity engine, in milliseconds: later requests find the prefix cached there. */
	affinityBonusMs: number;
	/** Monotonic milliseconds. */
	now: number;
}
