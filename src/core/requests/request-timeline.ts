/**
 * Records timeline events of one request, labelled with its id, class, tier and customer.
 * @module
 */
import type { EventFields, EventKind, Timeline } from '../timeline/index.js';
import type { Request } from './types.js';

export class RequestTimeline {
	constructor(
		private readonly timeline: Timeline,
		private readonly req: Request,
	) {}

	record(kind: EventKind, fields: EventFields = {}): void {
		const { id, cls, customer } = this.req;
		const labels = { request: id, cls: cls.name, tier: cls.tier, customer };
		this.timeline.record(kind, { ...fields, ...labels });
	}
}
