/**
 * Admission of each service: counts what customers ask for, decides who is let in, and tells the others when to come back.
 * @module
 */
import { memoryMs } from '../fairness/decaying-sum.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { PromptPart } from '../relay/definitions.js';
import { Admission } from './admission.js';
import { ReturnTimes } from './return-times.js';
import type { AdmissionAsk, AdmissionRefusal, Awaited, Refusal } from './types.js';
import { refusalCauses } from './types.js';

/** Seconds after which a caller may come back while no engine takes anything: breakers close and engines register as fast. */
const noEngineS = 1;

/** A request that asks to be let in. */
export interface AdmittedRequest
	extends Pick<AdmissionAsk, 'targetMs' | 'leftMs' | 'urgency' | 'leastUrgent'> {
	service: string;
	/** Undefined where customers are not told apart. */
	customer?: string;
	parts: readonly PromptPart[];
}

/** What was found for it among the engines. */
export interface Prospect {
	awaited: Awaited;
	busyShare: number;
	/** How long it would keep an engine busy, in milliseconds. */
	workMs: number;
	/** Engines of the service that take work. */
	engines: number;
}

export class ServiceAdmissions {
	private readonly admissions = new Map<string, Admission>();
	private readonly returnTimes = new Map<string, ReturnTimes>();

	constructor(private readonly fleet: FleetView) {}

	/** When callers of a service come back that were refused. */
	returns(service: string): ReturnTimes {
		return getOrAdd(this.returnTimes, service, () => new ReturnTimes());
	}

	/** @returns undefined when it is let in */
	judge(req: AdmittedRequest, prospect: Prospect, now: number): Refusal | undefined {
		const { awaited, busyShare } = prospect;
		const lot = () => this.fleet.shares.lotOf(req.parts.at(-1)?.id ?? '');
		const ask = { ...req, awaited, busyShare, lot, standingAt: this.asked(req, prospect) };
		const admission = getOrAdd(this.admissions, req.service, () => new Admission());
		const refused = admission.refusal(ask, now);
		if (!refused) {
			return undefined;
		}
		const refusal = `the prompt would wait ${Math.round(awaited.queueMs)} ms for others`;
		const retryAfterS = this.returnS(req, prospect, refused, lot(), now);
		return { refusal, ...refused, retryAfterS, awaited };
	}

	/** Counts the work as asked for by its customer, and tells how that stands. */
	private asked(
		{ service, customer, leastUrgent }: AdmittedRequest,
		{ workMs, engines }: Prospect,
	): AdmissionAsk['standingAt'] {
		if (customer === undefined) {
			return undefined;
		}
		const { shares } = this.fleet;
		shares.asked(service, customer, workMs, !leastUrgent);
		return (letIn) => shares.standingOf(service, customer, { letIn, engines });
	}

	private returnS(
		{ service, urgency, leftMs }: AdmittedRequest,
		{ awaited, workMs, engines }: Prospect,
		{ standing }: AdmissionRefusal,
		lot: number,
		now: number,
	): number {
		// What waits now is done by then; what a customer asked for beyond its share is forgotten by then.
		const forgottenMs = standing ? memoryMs * Math.log(standing.asked / standing.share) : 0;
		const openMs = Math.max(awaited.queueMs, forgottenMs);
		const spacingMs = (workMs * this.fleet.size) / engines;
		const ask = { openMs, spacingMs, urgency, isOverShare: standing !== undefined, leftMs, lot };
		return this.returns(service).nextS(ask, now);
	}
}

/** No engine takes the request now, whatever the load. */
export function noEngineRefusal(): Refusal {
	const refusal = 'no engine of the service can be used';
	return { refusal, cause: refusalCauses.engines, retryAfterS: noEngineS };
}

function getOrAdd<T>(map: Map<string, T>, key: string, make: () => T): T {
	const value = map.get(key) ?? make();
	map.set(key, value);
	return value;
}
