/**
 * What the relay would tell the cost model of one answer of a simulated engine.
 * @module
 */
import type { CostModel } from '../../src/core/engines/cost-model.js';
import type { BatchRequest } from '../stand-ins/batch-engine.js';

export interface ObservedRequest {
	service: string;
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
	let firstAt: number | undefined;
	let lastAt = 0;
	let events = 0;
	return {
		sentAt,
		promptTokens,
		answerTokens: req.answerTokens,
		onEvent: (at) => {
			events++;
			if (firstAt === undefined) {
				firstAt = at;
				const delayMs = at - sentAt;
				model.firstEvent(service, { promptTokens, aheadTokens, copiedTokens: 0, delayMs });
				req.onFirst?.(delayMs);
			} else {
				model.pauseSeen(service, at - lastAt);
			}
			lastAt = at;
		},
		onEnd: () => {
			const heldMs = lastAt - (firstAt ?? lastAt);
			model.answerSeen(service, { events, expectedTokens, heldMs });
			req.onEnd?.();
		},
	};
}
