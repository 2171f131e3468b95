/**
 * The time line as a page: a lane for each process, a bar for each request's runs, marks for the
 * rest.
 * @module
 */
import * as svg from '../html/html.js';
import type { EventKind, TimelineEvent } from './types.js';
import { eventKinds } from './types.js';

const layout = { left: 90, width: 1200, laneGap: 14, row: 7, top: 30 } as const;
/** Kinds that come too often to be marked. */
const frequentKinds: ReadonlySet<EventKind> = new Set([eventKinds.grant, eventKinds.limitChanged]);
/** Rows of one lane; requests beyond share rows. */
const rowsPerLane = 24;

interface Bar {
	lane: string;
	row: number;
	from: number;
	until: number;
	colour: string;
	title: string;
}

/** A self-contained page of events that are in causal order. */
export function renderTimelinePage(events: readonly TimelineEvent[]): string {
	const begin = events[0]?.time.wall ?? 0;
	const end = Math.max(events.at(-1)?.time.wall ?? 0, begin + 1);
	const lanes = [...new Set(events.map((event) => event.vm))].sort();
	const laneHeight = rowsPerLane * layout.row + layout.laneGap;
	const x = (at: number) => layout.left + (layout.width * (at - begin)) / (end - begin);
	const laneTop = (lane: string) => layout.top + lanes.indexOf(lane) * laneHeight;
	const bars = requestBars(events, end).map((bar) => {
		const width = Math.max(x(bar.until) - x(bar.from), 1).toFixed(1);
		const top = laneTop(bar.lane) + bar.row * layout.row;
		const place = `x="${x(bar.from).toFixed(1)}" y="${top}" width="${width}" height="${layout.row - 1}"`;
		return `<rect ${place} fill="${bar.colour}"><title>${svg.escapeHtml(bar.title)}</title></rect>`;
	});
	const marks = events.filter(isMark).map((event) => {
		const place = `x="${x(event.time.wall).toFixed(1)}" y="${laneTop(event.vm) - 2}"`;
		const text = `${event.kind} ${event.member ?? ''} ${event.reason ?? ''} ${event.value ?? ''}`;
		return `<text ${place}>▾<title>${svg.escapeHtml(text)}</title></text>`;
	});
	const names = lanes.map(
		(lane) => `<text x="4" y="${laneTop(lane) + 12}">${svg.escapeHtml(lane)}</text>`,
	);
	const height = layout.top + lanes.length * laneHeight;
	const seconds = ((end - begin) / 1000).toFixed(1);
	return svg.renderPage(
		'Time line',
		`<p>${events.length} events over ${seconds} s from ${new Date(begin).toISOString()}. Pale: waiting;
full: running, coloured by tier; ▾: members, configuration, pauses. Hover for details.</p>
<svg width="${layout.left + layout.width + 20}" height="${height}">
${names.join('\n')}
${bars.join('\n')}
${marks.join('\n')}
</svg>`,
	);
}

function isMark(event: TimelineEvent): boolean {
	return event.request === undefined && !frequentKinds.has(event.kind);
}

/** Waiting and running spans of each request. */
function requestBars(events: readonly TimelineEvent[], end: number): Bar[] {
	const bars: Bar[] = [];
	const open = new Map<string, Bar>();
	const rows = new Map<string, number>();
	for (const event of events) {
		if (event.request === undefined) {
			continue;
		}
		const at = event.time.wall;
		const before = open.get(event.request);
		if (before && changesState(event)) {
			before.until = at;
			open.delete(event.request);
		}
		const state = stateOf(event);
		if (state) {
			const row = rowOf(rows, event);
			const title = `${event.request} ${event.cls ?? ''} ${state} ${event.endpoint ?? ''}`;
			const colour = state === 'waits' ? '#dddddd' : svg.tierColour(event.tier ?? 1);
			const bar = { lane: event.vm, row, from: at, until: end, colour, title };
			bars.push(bar);
			open.set(event.request, bar);
		}
	}
	return bars;
}

function changesState(event: TimelineEvent): boolean {
	return stateOf(event) !== undefined || event.kind === eventKinds.requestEnded;
}

function stateOf(event: TimelineEvent): 'waits' | 'runs' | undefined {
	switch (event.kind) {
		case eventKinds.requestQueued:
		case eventKinds.requestPreempted:
		case eventKinds.requestResumed:
			return 'waits';
		case eventKinds.requestStarted:
			return 'runs';
		default:
			return undefined;
	}
}

function rowOf(rows: Map<string, number>, event: TimelineEvent): number {
	const id = event.request ?? '';
	const known = rows.get(id);
	if (known !== undefined) {
		return known;
	}
	const row = rows.size % rowsPerLane;
	rows.set(id, row);
	return row;
}
