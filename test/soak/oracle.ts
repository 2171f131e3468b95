/**
 * Checks the promises of the relay from what callers and engines saw. It shares no code with the relay.
 * @module
 */
import { wholeStream } from '../stand-ins/platform-engine.js';
import { findLimitViolations } from './limit-check.js';
import type { CallerRecord, EngineArrival, SoakFinding, SoakRecords } from './types.js';
import { requestKinds, singleRunKinds } from './types.js';

/** Statuses that say that the request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Records of callers and engines are timed by one clock in one busy process, in milliseconds. */
const timingSlackMs = 300;
/** A version that was seen in force is not left again after this time, in milliseconds. */
const downgradeMs = 250;

export const guarantees = {
	atMostOnce: 'a request that may run once ran more often',
	notRun: 'a request that was told as not run has run',
	completeAnswer: 'an answer is not the whole answer to its own request',
	engineDeparture: 'a leaving engine got new work',
	leavingNotice: 'an engine whose answer said that it leaves got new work',
	backOff: 'an engine that had asked for rest got requests',
	rateLimit: 'an engine that names a limit got more',
	gracefulStop: 'a planned stop cut a request',
	configurationDelay: 'a configuration is not in force in time',
	configurationRollback: 'a configuration went back',
	customer: 'a request ran for a customer that its key does not belong to',
	retryBudget: 'the fleet sent more retries than its budget',
	recovery: 'a VM did not serve again after the last fault',
	resourceLeak: 'a process keeps growing',
	unexpectedExit: 'a process ended by itself',
} as const;

export function checkGuarantees(records: SoakRecords): SoakFinding[] {
	const byId = new Map<string, EngineArrival[]>();
	for (const arrival of records.arrivals) {
		byId.set(arrival.id, [...(byId.get(arrival.id) ?? []), arrival]);
	}
	const runsOf = (req: CallerRecord) => (byId.get(req.id) ?? []).filter((run) => !run.rejected);
	const findings: SoakFinding[] = [];
	const find = (promise: string, detail: string) => findings.push({ guarantee: promise, detail });
	for (const req of records.requests) {
		checkRequest(records, req, runsOf(req), find);
	}
	checkVersions(records, runsOf, find);
	checkRetries(records, find);
	checkNotices(records, find);
	for (const detail of findLimitViolations(records)) {
		find(guarantees.rateLimit, detail);
	}
	for (const vm of records.notRecovered) {
		find(guarantees.recovery, vm);
	}
	for (const vm of records.resourceLeaks) {
		find(guarantees.resourceLeak, vm);
	}
	for (const vm of records.unexpectedExits) {
		find(guarantees.unexpectedExit, vm);
	}
	return findings;
}

type Find = (promise: string, detail: string) => void;

function checkRequest(
	records: SoakRecords,
	req: CallerRecord,
	runs: readonly EngineArrival[],
	find: Find,
): void {
	const told = `${req.kind} ${req.id} at ${req.vm}: status ${req.status}, sent ${Math.round(req.sentAt)}`;
	if (singleRunKinds.has(req.kind) && runs.length > 1) {
		find(guarantees.atMostOnce, `${told}, ran ${runs.length} times`);
	}
	if (notRunStatuses.has(req.status) && runs.length > 0) {
		find(guarantees.notRun, `${told}, ran at ${runs[0]?.engine}`);
	}
	if (req.status >= 200 && req.status < 300 && !isRight(req)) {
		find(
			guarantees.completeAnswer,
			`${told}, cut ${req.truncated}: ${JSON.stringify(req.body.slice(0, 200))}`,
		);
	}
	if (runs.some((run) => run.customer !== 'station')) {
		find(guarantees.customer, told);
	}
	for (const run of runs) {
		checkLeaving(records, req, run, told, find);
	}
	checkKey(records, req, runs, told, find);
	if (req.status === 0 && runs.length > 0 && isPlannedStopAlone(records, req)) {
		find(guarantees.gracefulStop, `${told}, ended ${Math.round(req.endedAt)} without an answer`);
	}
}

/** A whole answer is the expected one; a cut one is its beginning. */
function isRight(req: CallerRecord): boolean {
	const streamed = req.kind === requestKinds.nonResumable || req.kind === requestKinds.resumable;
	const expected = streamed ? wholeStream(req.id) : `answer to ${req.id}`;
	return req.truncated ? expected.startsWith(req.body) : req.body === expected;
}

function checkLeaving(
	records: SoakRecords,
	req: CallerRecord,
	run: EngineArrival,
	told: string,
	find: Find,
): void {
	const { drainMs } = records.bounds;
	const left = records.departures.find((item) => item.engine === run.engine);
	const late = left ? run.at - left.at : 0;
	if (left && late > drainMs + timingSlackMs && isUndisturbed(records, req.vm, left.at, run.at)) {
		find(guarantees.engineDeparture, `${told}, reached ${run.engine} ${Math.round(late)} ms late`);
	}
}

function checkKey(
	records: SoakRecords,
	req: CallerRecord,
	runs: readonly EngineArrival[],
	told: string,
	find: Find,
): void {
	const { configurationMs } = records.bounds;
	for (const change of records.keyChanges) {
		const after = req.sentAt - change.at;
		if (change.key !== req.key || after < configurationMs + timingSlackMs) {
			continue;
		}
		const isOver = records.keyChanges.some(
			(other) => other.key === req.key && other.at > change.at,
		);
		const stillServed = change.kind === 'removed' && runs.length > 0;
		const notYet = change.kind === 'added' && !isOver && req.status === 401;
		if ((stillServed || notYet) && isUndisturbed(records, req.vm, change.at, req.endedAt)) {
			find(
				guarantees.configurationDelay,
				`${told}, key ${req.key} ${change.kind} ${Math.round(after)} ms before`,
			);
		}
	}
}

/** Within one life of a process an older configuration is not used after a newer one was seen. */
function checkVersions(
	records: SoakRecords,
	runsOf: (req: CallerRecord) => readonly EngineArrival[],
	find: Find,
): void {
	const versionOf = (key: string, kind: 'added' | 'removed') =>
		records.keyChanges.find((change) => change.key === key && change.kind === kind)?.version;
	const served = records.requests.filter((req) => runsOf(req).length > 0);
	for (const req of served) {
		const endsWith = versionOf(req.key, 'removed');
		const newer = served.find(
			(other) =>
				other.vm === req.vm &&
				other.incarnation === req.incarnation &&
				(versionOf(other.key, 'added') ?? 0) >= (endsWith ?? Number.POSITIVE_INFINITY) &&
				other.endedAt + downgradeMs < req.sentAt,
		);
		if (newer) {
			find(
				guarantees.configurationRollback,
				`${req.id} at ${req.vm} ran with ${req.key} after ${newer.key}`,
			);
		}
	}
}

function checkRetries(records: SoakRecords, find: Find): void {
	const { retryRatio, retryExtra, retryWindowMs } = records.bounds;
	const seen = new Set<string>();
	const repeats = records.arrivals
		.toSorted((a, b) => a.at - b.at)
		.filter((arrival) => seen.has(arrival.id) || !seen.add(arrival.id));
	for (const last of repeats) {
		const from = last.at - retryWindowMs;
		const count = repeats.filter((item) => item.at > from && item.at <= last.at).length;
		const windows = [from, from - retryWindowMs / 2, from - retryWindowMs];
		const requests = windows.map(
			(start) =>
				records.requests.filter((req) => req.sentAt > start && req.sentAt <= start + retryWindowMs)
					.length,
		);
		const allowed = retryRatio * Math.max(...requests) + retryExtra;
		if (count > allowed) {
			find(
				guarantees.retryBudget,
				`${count} in the window to ${Math.round(last.at)}, allowed ${allowed}`,
			);
			return;
		}
	}
}

/** Requests that may reach an engine from a VM while it rests: they were on their way. */
const mostInRest = 2;
/** From an engine's word to the end of what was on its way to it, in milliseconds. */
const onTheWayMs = 500;

/** What an engine said in an answer counts for the VM that got it, until that starts again or is paused. */
function checkNotices(records: SoakRecords, find: Find): void {
	const requests = new Map(records.requests.map((req) => [req.id, req]));
	const arrivals = records.arrivals.toSorted((a, b) => a.at - b.at);
	for (const { id, engine, notice } of arrivals) {
		const told = requests.get(id);
		if (!told || !notice || !(notice.leaving || notice.restMs > 0)) {
			continue;
		}
		const later = arrivals.filter(({ id: other, ...arrival }) => {
			const req = requests.get(other);
			const isSameVm = req?.vm === told.vm && req.incarnation === told.incarnation;
			const isLater = arrival.engine === engine && arrival.at > notice.at;
			return isSameVm && isLater && !wasHarmed(records, told.vm, notice.at, arrival.at);
		});
		const { drainMs } = records.bounds;
		const latest = notice.at + drainMs + timingSlackMs;
		const late = later.find(({ id: other }) => (requests.get(other)?.sentAt ?? 0) > latest);
		if (notice.leaving && late) {
			find(guarantees.leavingNotice, `${late.id} from ${told.vm} reached ${engine}, told by ${id}`);
		}
		const inRest = later.filter(
			({ at }) => at > notice.at + onTheWayMs && at < notice.at + notice.restMs,
		);
		if (inRest.length > mostInRest) {
			find(guarantees.backOff, `${inRest.length} from ${told.vm} reached ${engine}, told by ${id}`);
		}
	}
}

/** The VM itself was stopped, paused or killed in the span. */
function wasHarmed(records: SoakRecords, vm: string, from: number, until: number): boolean {
	return records.injectedFaults.some(
		(item) => item.target === vm && item.from < until && item.until > from,
	);
}

/** No harm to the VM or the store from a while before the span to its end. */
function isUndisturbed(records: SoakRecords, vm: string, from: number, until: number): boolean {
	const { contactMs } = records.bounds;
	return !records.injectedFaults.some(
		(item) =>
			(item.target === vm || item.target === 'store') &&
			item.from < until &&
			item.until + contactMs > from,
	);
}

/** The VM was told to stop, and nothing else happened to it or to any engine meanwhile. */
function isPlannedStopAlone(records: SoakRecords, req: CallerRecord): boolean {
	const { stopMs, contactMs } = records.bounds;
	const from = req.sentAt - contactMs;
	const around = records.injectedFaults.filter(
		(item) => item.from < req.endedAt && item.until > from,
	);
	const stop = around.find((item) => item.target === req.vm && item.planned);
	const inTime = stop !== undefined && req.endedAt < stop.from + stopMs;
	return inTime && around.every((item) => item.planned || item.target === 'store');
}
