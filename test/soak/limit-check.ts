/**
 * Checks that VMs which know the limit of an engine don't exceed it together.
 * @module
 */
import type { AnnouncedLimit, CallerRecord, InjectedFault, SoakRecords } from './types.js';

/** Length of the sliding window in which arrivals are counted. */
const windowMs = 4000;
/** Arrivals allowed per window: the limit times this factor, plus extra requests. */
const toleranceFactor = 1.5;
const toleranceRequests = 5;
/** Time after an answer with the limit until its VM counts as informed. */
const noticeDelayMs = 500;
/** Faults that exempt a VM: its process was restarted or frozen. */
const exemptingFaults: ReadonlySet<string> = new Set(['killed', 'paused', 'stopped']);

/** @returns a line for each limit that was exceeded */
export function findLimitViolations(records: SoakRecords): string[] {
	const requests = new Map(records.requests.map((req) => [req.id, req]));
	return records.announcedLimits.flatMap((limit) => {
		const times = arrivalsOfInformedVms(records, requests, limit);
		const allowed = (toleranceFactor * limit.limitPerS * windowMs) / 1000 + toleranceRequests;
		const counts = times.map(
			(from) => times.filter((at) => at >= from && at < from + windowMs).length,
		);
		const maxCount = Math.max(0, ...counts);
		return maxCount > allowed
			? [
					`${maxCount} requests in 4 s reached ${limit.engine}, whose limit is ${limit.limitPerS} per second`,
				]
			: [];
	});
}

/** @returns sorted arrival times of requests from informed VMs, from when the VMs had to coordinate */
function arrivalsOfInformedVms(
	records: SoakRecords,
	requests: ReadonlyMap<string, CallerRecord>,
	{ engine, limitPerS, from, until }: AnnouncedLimit,
): number[] {
	const arrivals = records.arrivals.filter((arrival) => arrival.engine === engine);
	const withNotice = arrivals.filter(({ notice }) => {
		return notice?.limitPerS === limitPerS && notice.at >= from && notice.at < until;
	});
	const firstAt = Math.min(
		...withNotice.map(({ notice }) => notice?.at ?? Number.POSITIVE_INFINITY),
	);
	const start = firstAt + records.bounds.contactMs;
	const incarnationOf = (id: string) => {
		const req = requests.get(id);
		return req && `${req.vm} ${req.incarnation}`;
	};
	const counted = arrivals.filter(({ id, at }) => {
		const incarnation = incarnationOf(id);
		const isInformed = withNotice.some(({ id: other, notice }) => {
			return incarnationOf(other) === incarnation && (notice?.at ?? at) + noticeDelayMs <= at;
		});
		const vm = requests.get(id)?.vm;
		return isInformed && at >= start && at < until && !isExempt(records, vm, at);
	});
	return counted.map(({ at }) => at).sort((a, b) => a - b);
}

function isExempt({ injectedFaults, bounds }: SoakRecords, vm: string | undefined, at: number) {
	const overlaps = ({ from, until }: InjectedFault) => from < at && until + bounds.contactMs > at;
	return injectedFaults.some((item) => {
		return item.target === vm && exemptingFaults.has(item.fault) && overlaps(item);
	});
}
