/**
 * What is placed, what it is weighed by, and what comes of it.
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
	segments: readonly PromptSegment[];
	promptTokens: number;
	answerTokens: number;
	/** The first event should come within this time, in milliseconds. */
	targetMs: number;
	/** Shortest of the target pauses of the service's streams, in milliseconds; undefined when none has one. */
	tightestPauseMs?: number;
	/** Between two events the request's own caller wants no longer pause, in milliseconds; undefined when it names none. */
	targetPauseMs?: number;
	model?: ModelCapacity;
	/** No route of the service has a less urgent tier. */
	isLeastUrgentTier: boolean;
	/** Engines that already had this request. */
	tried: ReadonlySet<string>;
	/** Whether an engine can take it now, as far as the requests a second that the engine names are known. */
	admits: (engine: Engine) => boolean;
	/** Whether an engine names how many requests a second it takes. */
	isLimited: (engine: Engine) => boolean;
}

export interface Placement {
	engine: Engine;
	/** Prompt tokens that it will have to read, and how long that should take, in milliseconds. */
	promptTokens: number;
	readingMs: number;
	/** What decided: estimated time until the first event, and cost of reading a token, in milliseconds. */
	waitMs: number;
	readMsPerToken: number;
	/** How many times as long as its service's figures say work takes there; 1 is usual. */
	pace: Pace;
	/** Prompt tokens that it is believed to keep. */
	cachedTokens: number;
	/** Prompt tokens that it should copy from another engine, and that engine; none if there is no gain. */
	copiedTokens: number;
	copyFrom?: Engine;
	/** What the fleet had there when it was chosen. */
	work: EngineWork;
	/** Why this one, for the log. */
	reason: string;
}

export interface Refusal {
	refusal: string;
	retryAfterS: number;
}

/** An engine, as one request was weighed against it. */
export interface Candidate {
	engine: Engine;
	work: EngineWork;
	/** What work costs there. */
	costs: CostEstimates;
	/** Milliseconds until its prompt begins to be read, and for reading it. */
	queueMs: number;
	ownReadingMs: number;
	/** Milliseconds until its first event. */
	waitMs: number;
	/** Wait and what it costs the others, in steps. */
	costSteps: number;
	uncachedTokens: number;
	cachedTokens: number;
	copiedTokens: number;
	/** Of equal costs the higher is taken. */
	tieBreakScore: number;
}

/** Which engines keep how much of the start of a prompt. */
export interface CachedPrefixes {
	byEngine: ReadonlyMap<EngineRef, CachedTokens>;
	/** The engine from which most of it can be copied, and how much. */
	copyFrom?: Engine;
	copyableTokens: number;
}

/** What is the same for all engines that one request is weighed against. */
export interface ScoringContext {
	req: PlacementRequest;
	cachedPrefixes: CachedPrefixes;
	/** Tokens that it shares with others, and the last part of those. */
	sharedTokens: number;
	affinityKey: string;
	/** What it saves the next ones to read that where they look for it, in milliseconds. */
	affinityBonusMs: number;
	/** Monotonic milliseconds. */
	now: number;
}
