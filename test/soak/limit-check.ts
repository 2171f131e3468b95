/**
 * Checks that engines which name the requests a second that they take get no more from the VMs that they told.
 * @module
 */
import type { AnnouncedLimit, CallerRecord, InjectedFault, SoakRecords } from './types.js';

/** Arrivals are counted in spans of this length, in milliseconds. */
const spanMs = 4000;
/** What may come in a span: so many times what the limit allows, and so many requests more. */
const overShare = 1.5;
const overRequests = 5;
/** A VM counts so long after an answer that told it, in milliseconds. */
const toldMs = 500;
/** What excuses a VM: its process was started again, or frozen. */
const excuses: ReadonlySet<string> = new Set(['killed', 'paused', 'stopped']);

/** @returns what is wrong, a line for each limit that was not kept */
export function findLimitViolations(records: SoakRecords): string[] {
	const requests = new Map(records.requests.map((req) => [req.id, req]));
	return records.announcedLimits.flatMap((limit) => {
		const times = countedArrivals(records, requests, limit);
		const allowed = (overShare * limit.limitPerS * spanMs) / 1000 + overRequests;
		const counts = times.map(
			(from) => times.filter((at) => at >= from && at < from + spanMs).length,
		);
		const most = Math.max(0, ...counts);
		return most > allowed
			? [`${most} in 4 s reached ${limit.engine}, which takes ${limit.limitPerS} a second`]
			: [];
	});
}

/** When requests of VMs that had been told reached the engine, once its limit had to be known. */
function countedArrivals(
	records: SoakRecords,
	requests: ReadonlyMap<string, CallerRecord>,
	{ engine, limitPerS: perS, from, until }: AnnouncedLimit,
): number[] {
	const reached = records.arrivals.filter((one) => one.engine === engine);
	const told = reached.filter(({ notice }) => {
		return notice?.limitPerS === perS && notice.at >= from && notice.at < until;
	});
	const firstAt = Math.min(...told.map(({ notice }) => notice?.at ?? Number.POSITIVE_INFINITY));
	const start = firstAt + records.bounds.contactMs;
	const lifeOf = (id: string) => {
		const req = requests.get(id);
		return req && `${req.vm} ${req.incarnation}`;
	};
	const counted = reached.filter(({ id, at }) => {
		const life = lifeOf(id);
		const wasTold = told.some(({ id: other, notice }) => {
			return lifeOf(other) === life && (notice?.at ?? at) + toldMs <= at;
		});
		const vm = requests.get(id)?.vm;
		return wasTold && at >= start && at < until && !isExcused(records, vm, at);
	});
	return counted.map(({ at }) => at).sort((a, b) => a - b);
}

function isExcused(
	{ injectedFaults: disturbances, bounds }: SoakRecords,
	vm: string | undefined,
	at: number,
) {
	const overlaps = ({ from, until }: InjectedFault) => from < at && until + bounds.contactMs > at;
	return disturbances.some((item) => {
		return item.target === vm && excuses.has(item.fault) && overlaps(item);
	});
}
