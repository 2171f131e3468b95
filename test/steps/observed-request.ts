/**
 * Records the answer of a simulated engine in a cost model, as the relay does.
 * @module
 */

import type { CostModel } from '../../src/core/engines/cost-model.js';
import { UndisturbedPauseFilter } from '../../src/core/engines/undisturbed-pause-filter.js';
import type { EngineRef } from '../../src/core/fleet/types.js';
import type { BatchRequest } from '../stand-ins/batch-engine.js';

export interface ObservedRequest {
	service: string;
	engine?: EngineRef;
	/** Whether the engine is known to have no free slot. @default false */
	isQueued?: boolean;
	/** Whether prompts are known to wait at the engine when an event arrives. @default never */
	isBesidePrompts?: () => boolean;
	/** In milliseconds. */
	sentAt: number;
	promptTokens: number;
	answerTokens: number;
	/** Prompt tokens known to be queued ahead at the engine. */
	aheadTokens: number;
	/** Tokens expected of the answer. */
	expectedTokens: number;
	/** Called with the first event, and the milliseconds since the request was sent. */
	onFirst?: (delayMs: number) => void;
	onEnd?: () => void;
}

/** Creates a request for an engine whose events are recorded in the model. */
export function observedRequest(model: CostModel, req: ObservedRequest): BatchRequest {
	const { service, sentAt, promptTokens, aheadTokens, expectedTokens } = req;
	const { engine = 1, isQueued = false, isBesidePrompts = () => false } = req;
	let firstAt: number | undefined;
	let lastAt = 0;
	let events = 0;
	const undisturbed = new UndisturbedPauseFilter();
	return {
		sentAt,
		promptTokens,
		answerTokens: req.answerTokens,
		onEvent: (at) => {
			events++;
			if (firstAt === undefined) {
				firstAt = at;
				const delayMs = at - sentAt;
				const sizes = { promptTokens, aheadTokens, copiedTokens: 0 };
				model.recordFirstEvent(service, { ...sizes, delayMs, engine, at, isQueued });
				req.onFirst?.(delayMs);
			} else {
				const ms = at - lastAt;
				const undisturbedMs = undisturbed.add(ms, isBesidePrompts());
				model.recordPause(service, { ms, engine, at, undisturbedMs });
			}
			lastAt = at;
		},
		onEnd: () => {
			const slotOccupancyMs = lastAt - (firstAt ?? lastAt);
			model.recordAnswer(service, { events, expectedTokens, slotOccupancyMs });
			req.onEnd?.();
		},
	};
}
