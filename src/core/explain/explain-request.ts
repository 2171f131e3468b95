/**
 * Tells what happened to one request from the logs of all VMs: its own lines in order, what its VM believed about its engines and
 * the store shortly before, and what became of the same content under other ids.
 * @module
 */
import type { LogLine } from './log-line.js';

/** Beliefs are told from so long before the request, in milliseconds: a closed engine stays closed for 4 s at most. */
const beforeMs = 5000;
/** Events that change what a VM believes. */
const beliefEvents: ReadonlySet<string> = new Set([
	'engine.closed',
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

/** Events that end a request, and those that tell where it was sent or that it was sent nowhere. */
const endEvents: readonly string[] = ['request.ended', 'request.denied', 'request.quarantined'];
const placeEvents: readonly string[] = ['request.placed', 'request.denied', 'request.quarantined'];

export interface RequestExplanation {
	/** Lines about the request and what was believed, by time. */
	lines: LogLine[];
	/** What the logs do not tell. */
	gaps: string[];
}

/** @param lines of all VMs, in any order */
export function explainRequest(request: string, lines: readonly LogLine[]): RequestExplanation {
	const own = lines.filter((line) => line.get('request') === request);
	if (own.length === 0) {
		return { lines: [], gaps: [`no line names request ${request}`] };
	}
	const vms = new Set(own.map((line) => line.get('vm')));
	const engines = new Set(own.map((line) => line.get('engine')).filter(Boolean));
	const times = own.map(timeOf);
	const from = Math.min(...times) - beforeMs;
	const to = Math.max(...times);
	const beliefs = lines.filter((line) => {
		const about = line.get('engine');
		// What was sent to no engine may have been refused for what any of them said.
		const concerns = about === undefined || engines.size === 0 || engines.has(about);
		const isOwn = line.get('request') === request;
		const at = timeOf(line);
		return (
			!isOwn && concerns && vms.has(line.get('vm')) && isBelief(line) && at >= from && at <= to
		);
	});
	const told = [...own, ...beliefs, ...aboutContent(own, lines, to)].sort(
		(a, b) => timeOf(a) - timeOf(b),
	);
	return { lines: told, gaps: gapsOf(own, beliefs) };
}

/**
 * Engines that broke off the same content under other ids, and why it is kept from them: on whatever VM, and however long
 * before.
 */
function aboutContent(own: readonly LogLine[], lines: readonly LogLine[], to: number): LogLine[] {
	const content = own.map((line) => line.get('content')).find(Boolean);
	if (content === undefined) {
		return [];
	}
	const others = lines.filter((line) => line.get('content') === content && !own.includes(line));
	return others.filter((line) => line.get('event') !== 'request.quarantined' && timeOf(line) <= to);
}

function isBelief(line: LogLine): boolean {
	return beliefEvents.has(line.get('event') ?? '');
}

function gapsOf(own: readonly LogLine[], beliefs: readonly LogLine[]): string[] {
	const gaps: string[] = [];
	const events = new Set(own.map((line) => line.get('event')));
	if (!endEvents.some((event) => events.has(event))) {
		gaps.push('no line tells its end: it is under way, its VM died, or the line was left out');
	}
	if (!placeEvents.some((event) => events.has(event))) {
		gaps.push('no line tells where it was sent: it was refused before, or the line was left out');
	}
	if (beliefs.some((line) => line.get('event')?.startsWith('log.'))) {
		gaps.push('its VM left out lines at that time');
	}
	return gaps;
}

function timeOf(line: LogLine): number {
	return Date.parse(line.get('time') ?? '');
}
