/**
 * Finds requests in the logs of all VMs by what became of them.
 * @module
 */
import type { LogLine } from './log-line.js';

/** What is asked for; what is left out is not asked. */
export interface RequestFilter {
	/** Requests that ended or were denied from this time on, in milliseconds since 1970. */
	from?: number;
	/** And before this time. */
	to?: number;
	/** An engine that bytes of the request were sent to. */
	engine?: string;
	route?: string;
	vm?: string;
	/** How it ended, as `request.ended` tells it; else one of `otherOutcomes`. */
	outcome?: string;
	/** Those that took at least so long, in milliseconds. */
	minDurationMs?: number;
}

/** Ends that `request.ended` does not tell: no route or key allows it, or its content crashed engines. */
const otherOutcomes: Readonly<Record<string, string>> = {
	'request.denied': 'denied',
	'request.quarantined': 'quarantined',
};

/** @returns the lines that tell the ends of matching requests, by time */
export function findRequests(lines: readonly LogLine[], filter: RequestFilter): LogLine[] {
	const ends = lines.filter((line) => outcomeOf(line) !== undefined);
	const found = ends.filter((line) => matches(line, filter));
	return found.sort((a, b) => timeOf(a) - timeOf(b));
}

/** How many of the lines tell each outcome. */
export function countOutcomes(ends: readonly LogLine[]): Map<string, number> {
	const counts = new Map<string, number>();
	for (const line of ends) {
		const outcome = outcomeOf(line) ?? '';
		counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
	}
	return counts;
}

function matches(line: LogLine, filter: RequestFilter): boolean {
	const at = timeOf(line);
	const engines = (line.get('engines') ?? '').split(',');
	return (
		at >= (filter.from ?? Number.NEGATIVE_INFINITY) &&
		at < (filter.to ?? Number.POSITIVE_INFINITY) &&
		(filter.engine === undefined || engines.includes(filter.engine)) &&
		(filter.route === undefined || line.get('route') === filter.route) &&
		(filter.vm === undefined || line.get('vm') === filter.vm) &&
		(filter.outcome === undefined || outcomeOf(line) === filter.outcome) &&
		(filter.minDurationMs === undefined || Number(line.get('took_ms') ?? 0) >= filter.minDurationMs)
	);
}

/** Undefined for lines that tell no end. */
function outcomeOf(line: LogLine): string | undefined {
	return otherOutcomes[line.get('event') ?? ''] ?? line.get('outcome');
}

function timeOf(line: LogLine): number {
	return Date.parse(line.get('time') ?? '');
}
