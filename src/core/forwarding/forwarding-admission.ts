/**
 * Decides at the VM that is asked to forward a request whether it does.
 * @module
 */

import type { Engine } from '../engines/engine.js';
import { urgencyLevels } from '../relay/definitions.js';
import type { ForwardOrder, ForwardRefusal } from './types.js';
import { forwardRefusals } from './types.js';

/**
 * Delays of the event loop from which on the least and the most urgent requests are refused, in milliseconds. The VM's own callers
 * notice a delay of a tenth of a second as a pause in their streams.
 */
const minRefusedDelayMs = 40;
const maxRefusedDelayMs = 200;

export interface ForwardingAdmissionOptions {
	/** Whether a VM of the fleet is registered with this IP. */
	isRegistered: (ip: string) => boolean;
	isStopping: () => boolean;
	getEngine: (id: string) => Engine | undefined;
	/** Store revision of this VM's list of engines. */
	enginesRevision: () => number;
	/** Whether this VM can use its own link to an engine; undefined for one that it does not know. */
	hasLink: (engine: Engine | undefined) => boolean;
	loopDelayMs: () => number;
	sinceBoot: () => number;
}

export class ForwardingAdmission {
	constructor(private readonly opts: ForwardingAdmissionOptions) {}

	/** @returns undefined when the request is accepted */
	getRefusal(order: ForwardOrder): ForwardRefusal | undefined {
		if (!this.opts.isRegistered(order.sender)) {
			return forwardRefusals.unknownSender;
		}
		if (this.opts.isStopping()) {
			return forwardRefusals.stopping;
		}
		const engine = this.opts.getEngine(order.engineId);
		if (!this.opts.hasLink(engine)) {
			return forwardRefusals.cutOff;
		}
		if (!this.isEngineAvailable(order)) {
			return forwardRefusals.engineUnavailable;
		}
		return this.isOverloaded(order.urgency) ? forwardRefusals.overloaded : undefined;
	}

	/** Whether the engine accepts requests, by what this VM and the sender know. */
	isEngineAvailable({ engineId, enginesRevision }: ForwardOrder): boolean {
		const engine = this.opts.getEngine(engineId);
		if (!engine) {
			// The sender may know of an engine that started since this VM's list was read.
			return enginesRevision > this.opts.enginesRevision();
		}
		const backOffMs = engine.notices.getBackOffLeftMs(this.opts.sinceBoot());
		return !engine.isDraining && backOffMs === 0;
	}

	private isOverloaded(urgency: number): boolean {
		const share = Math.min(Math.max(urgency, 0) / (urgencyLevels - 1), 1);
		const limitMs = maxRefusedDelayMs - share * (maxRefusedDelayMs - minRefusedDelayMs);
		return this.opts.loopDelayMs() > limitMs;
	}
}
