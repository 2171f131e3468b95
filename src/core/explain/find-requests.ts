/**
 * Searches logs for requests by time, engine, route, VM, outcome and duration.
 * @module
 */
import type { LogLine } from './log-line.js';

/** Criteria that all have to match; omitted ones match every request. */
export interface RequestFilter {
	/** Earliest end or denial, inclusive, in milliseconds since the Unix epoch. */
	from?: number;
	/** Latest end or denial, exclusive, in milliseconds since the Unix epoch. */
	to?: number;
	/** An engine that received bytes of the request. */
	engine?: string;
	route?: string;
	vm?: string;
	/** Outcome logged by `request.ended`, or a value of `outcomesByEvent`. */
	outcome?: string;
	minDurationMs?: number;
}

/** Outcomes of requests that end without `request.ended`: no route or key allows them, or their content crashed engines. */
const outcomesByEvent: Readonly<Record<string, string>> = {
	'request.denied': 'denied',
	'request.quarantined': 'quarantined',
};

/** Returns the lines that end matching requests, sorted by time. */
export function findRequests(lines: readonly LogLine[], filter: RequestFilter): LogLine[] {
	const endLines = lines.filter((line) => outcomeOf(line) !== undefined);
	const found = endLines.filter((line) => matches(line, filter));
	return found.sort((a, b) => timeOf(a) - timeOf(b));
}

/** Number of lines by outcome. */
export function countOutcomes(endLines: readonly LogLine[]): Map<string, number> {
	const counts = new Map<string, number>();
	for (const line of endLines) {
		const outcome = outcomeOf(line) ?? '';
		counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
	}
	return counts;
}

function matches(line: LogLine, filter: RequestFilter): boolean {
	const time = timeOf(line);
	const engines = (line.get('engines') ?? '').split(',');
	return (
		time >= (filter.from ?? Number.NEGATIVE_INFINITY) &&
		time < (filter.to ?? Number.POSITIVE_INFINITY) &&
		(filter.engine === undefined || engines.includes(filter.engine)) &&
		(filter.route === undefined || line.get('route') === filter.route) &&
		(filter.vm === undefined || line.get('vm') === filter.vm) &&
		(filter.outcome === undefined || outcomeOf(line) === filter.outcome) &&
		(filter.minDurationMs === undefined || Number(line.get('took_ms') ?? 0) >= filter.minDurationMs)
	);
}

/** Returns undefined for lines that do not end a request. */
function outcomeOf(line: LogLine): string | undefined {
	return outcomesByEvent[line.get('event') ?? ''] ?? line.get('outcome');
}

function timeOf(line: LogLine): number {
	return Date.parse(line.get('time') ?? '');
}
