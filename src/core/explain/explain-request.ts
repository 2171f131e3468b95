/**
 * Reconstructs the history of a request from the logs of all VMs: its own lines, events that changed its VM's view of the engines
 * and the store shortly before, and lines of other requests with the content or prompt part that it was refused for.
 * @module
 */
import type { LogLine } from './log-line.js';

/** Context is included from this long before the request; a circuit breaker stays open for a shorter time. */
const lookbackMs = 5000;
/** Events that give context: changes in a VM's view of engines, store, peers and configuration, restarts, and dropped log lines. */
const contextEvents: ReadonlySet<string> = new Set([
	'engine.closed',
	'engines.cut-off',
	'engines.reached',
	'engine.notice',
	'engine.limit',
	'permits.issuer',
	'engine.doubted',
	'engine.kept-leaving',
	'engine.seen',
	'engine.gone',
	'store.lost',
	'store.reached',
	'store.restored',
	'peer.lost',
	'peer.seen',
	'vm.suspended',
	'configuration.applied',
	'daemon.started',
	'daemon.stopping',
	'log.thinned',
	'log.dropped',
]);

/** Events that end a request. */
const endEvents: readonly string[] = ['request.ended', 'request.denied', 'request.quarantined'];
/** Events that record where a request was sent, or why it was not sent. */
const routingEvents: readonly string[] = [
	'request.placed',
	'request.denied',
	'request.quarantined',
];

export interface RequestExplanation {
	/** Lines of the request and its context, sorted by time. */
	lines: LogLine[];
	/** Information that is missing from the logs. */
	gaps: string[];
}

/** @param lines log lines of all VMs, in any order */
export function explainRequest(request: string, lines: readonly LogLine[]): RequestExplanation {
	const own = lines.filter((line) => line.get('request') === request);
	if (own.length === 0) {
		return { lines: [], gaps: [`no line names request ${request}`] };
	}
	const vms = new Set(own.map((line) => line.get('vm')));
	const engines = new Set(own.map((line) => line.get('engine')).filter(Boolean));
	const times = own.map(timeOf);
	const from = Math.min(...times) - lookbackMs;
	const to = Math.max(...times);
	const context = lines.filter((line) => {
		const engine = line.get('engine');
		// A request that was sent to no engine may have been refused because of the state of any of them.
		const isRelevant = engine === undefined || engines.size === 0 || engines.has(engine);
		const isOwn = line.get('request') === request;
		const time = timeOf(line);
		return (
			!isOwn &&
			isRelevant &&
			vms.has(line.get('vm')) &&
			isContextEvent(line) &&
			time >= from &&
			time <= to
		);
	});
	const explained = [...own, ...context, ...findSameTrait(own, lines, to)].sort(
		(a, b) => timeOf(a) - timeOf(b),
	);
	return { lines: explained, gaps: findGaps(own, context) };
}

/**
 * Finds earlier lines of any VM that concern the same content, or the prompt part that the request was refused for, under other
 * request ids, such as its quarantine.
 */
function findSameTrait(own: readonly LogLine[], lines: readonly LogLine[], to: number): LogLine[] {
	const content = own.map((line) => line.get('content')).find(Boolean);
	const part = own.map((line) => line.get('part')).find(Boolean);
	const others = lines.filter(
		(line) => (hasContent(line, content) || hasPart(line, part)) && !own.includes(line),
	);
	return others.filter((line) => line.get('event') !== 'request.quarantined' && timeOf(line) <= to);
}

function hasContent(line: LogLine, content: string | undefined): boolean {
	return content !== undefined && line.get('content') === content;
}

function hasPart(line: LogLine, part: string | undefined): boolean {
	const parts = [...(line.get('part') ?? '').split('+'), ...(line.get('parts') ?? '').split(',')];
	return part !== undefined && parts.includes(part);
}

function isContextEvent(line: LogLine): boolean {
	return contextEvents.has(line.get('event') ?? '');
}

function findGaps(own: readonly LogLine[], context: readonly LogLine[]): string[] {
	const gaps: string[] = [];
	const events = new Set(own.map((line) => line.get('event')));
	if (!endEvents.some((event) => events.has(event))) {
		gaps.push(
			'no line records its end: it is still running, its VM crashed, or the line was dropped',
		);
	}
	if (!routingEvents.some((event) => events.has(event))) {
		gaps.push(
			'no line records where it was sent: it was refused before routing, or the line was dropped',
		);
	}
	if (context.some((line) => line.get('event')?.startsWith('log.'))) {
		gaps.push('its VM dropped or thinned out log lines at that time');
	}
	return gaps;
}

function timeOf(line: LogLine): number {
	return Date.parse(line.get('time') ?? '');
}
