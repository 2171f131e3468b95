/**
 * What the relay would tell the cost model of one answer of a simulated engine.
 * @module
 */

import type { CostModel } from '../../src/core/engines/cost-model.js';
import { UndisturbedPauseFilter } from '../../src/core/engines/undisturbed-pause-filter.js';
import type { EngineRef } from '../../src/core/fleet/types.js';
import type { BatchRequest } from '../stand-ins/batch-engine.js';

export interface ObservedRequest {
	service: string;
	/** Stands for the engine in messages. */
	engine?: EngineRef;
	/** The engine had no free slot, as far as is known. @default false */
	isQueued?: boolean;
	/** Prompts wait at the engine, as far as is known, when an event comes. @default never */
	isBesidePrompts?: () => boolean;
	/** Milliseconds. */
	sentAt: number;
	promptTokens: number;
	answerTokens: number;
	/** Prompt tokens that wait at the engine before it, as far as is known. */
	aheadTokens: number;
	/** Tokens that its caller expects of the answer. */
	expectedTokens: number;
	/** Its first event came, so long after it was sent, in milliseconds. */
	onFirst?: (delayMs: number) => void;
	onEnd?: () => void;
}

/** The request as an engine takes it; its events go to the model. */
export function observed(model: CostModel, req: ObservedRequest): BatchRequest {
	const { service, sentAt, promptTokens, aheadTokens, expectedTokens } = req;
	const { engine = 1, isQueued = false, isBesidePrompts = () => false } = req;
	let firstAt: number | undefined;
	let lastAt = 0;
	let events = 0;
	const calm = new UndisturbedPauseFilter();
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
				const calmMs = calm.add(ms, isBesidePrompts());
				model.recordPause(service, { ms, engine, at, undisturbedMs: calmMs });
			}
			lastAt = at;
		},
		onEnd: () => {
			const heldMs = lastAt - (firstAt ?? lastAt);
			model.recordAnswer(service, { events, expectedTokens, slotOccupancyMs: heldMs });
			req.onEnd?.();
		},
	};
}
