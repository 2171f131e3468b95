/**
 * Renders the timeline as a page: a lane per daemon, bars for waiting and running requests, and marks for other events.
 * @module
 */
import * as html from '../html/html.js';
import type { EventKind, TimelineEvent } from './types.js';
import { eventKinds } from './types.js';

const layout = { left: 90, width: 1200, laneGap: 14, row: 7, top: 30 } as const;
/** Kinds that are too frequent to be marked. */
const frequentKinds: ReadonlySet<EventKind> = new Set([eventKinds.grant, eventKinds.limitChanged]);
/** Further requests share rows. */
const rowsPerLane = 24;

interface Bar {
	lane: string;
	row: number;
	from: number;
	until: number;
	colour: string;
	title: string;
}

/** @param events in causal order */
export function renderTimelinePage(events: readonly TimelineEvent[]): string {
	const start = events[0]?.time.wall ?? 0;
	const end = Math.max(events.at(-1)?.time.wall ?? 0, start + 1);
	const lanes = [...new Set(events.map((event) => event.vm))].sort();
	const laneHeight = rowsPerLane * layout.row + layout.laneGap;
	const x = (at: number) => layout.left + (layout.width * (at - start)) / (end - start);
	const laneTop = (lane: string) => layout.top + lanes.indexOf(lane) * laneHeight;
	const bars = requestBars(events, end).map((bar) => {
		const width = Math.max(x(bar.until) - x(bar.from), 1).toFixed(1);
		const top = laneTop(bar.lane) + bar.row * layout.row;
		const position = `x="${x(bar.from).toFixed(1)}" y="${top}" width="${width}" height="${layout.row - 1}"`;
		return `<rect ${position} fill="${bar.colour}"><title>${html.escapeHtml(bar.title)}</title></rect>`;
	});
	const marks = events.filter(isMarked).map((event) => {
		const position = `x="${x(event.time.wall).toFixed(1)}" y="${laneTop(event.vm) - 2}"`;
		const text = `${event.kind} ${event.member ?? ''} ${event.reason ?? ''} ${event.value ?? ''}`;
		return `<text ${position}>▾<title>${html.escapeHtml(text)}</title></text>`;
	});
	const names = lanes.map(
		(lane) => `<text x="4" y="${laneTop(lane) + 12}">${html.escapeHtml(lane)}</text>`,
	);
	const height = layout.top + lanes.length * laneHeight;
	const seconds = ((end - start) / 1000).toFixed(1);
	return html.renderPage(
		'Timeline',
		`<p>${events.length} events over ${seconds} s from ${new Date(start).toISOString()}. Grey: waiting;
coloured by tier: running; ▾: membership, configuration and other events. Hover for details.</p>
<svg width="${layout.left + layout.width + 20}" height="${height}">
${names.join('\n')}
${bars.join('\n')}
${marks.join('\n')}
</svg>`,
	);
}

function isMarked(event: TimelineEvent): boolean {
	return event.request === undefined && !frequentKinds.has(event.kind);
}

/** Builds a bar for each span in which a request waits or runs. */
function requestBars(events: readonly TimelineEvent[], end: number): Bar[] {
	const bars: Bar[] = [];
	const openBars = new Map<string, Bar>();
	const rows = new Map<string, number>();
	for (const event of events) {
		if (event.request === undefined) {
			continue;
		}
		const at = event.time.wall;
		const before = openBars.get(event.request);
		if (before && changesState(event)) {
			before.until = at;
			openBars.delete(event.request);
		}
		const state = stateOf(event);
		if (state) {
			const row = assignRow(rows, event);
			const title = `${event.request} ${event.cls ?? ''} ${state} ${event.endpoint ?? ''}`;
			const colour = state === 'waits' ? '#dddddd' : html.tierColour(event.tier ?? 1);
			const bar = { lane: event.vm, row, from: at, until: end, colour, title };
			bars.push(bar);
			openBars.set(event.request, bar);
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

function assignRow(rows: Map<string, number>, event: TimelineEvent): number {
	const id = event.request ?? '';
	const assigned = rows.get(id);
	if (assigned !== undefined) {
		return assigned;
	}
	const row = rows.size % rowsPerLane;
	rows.set(id, row);
	return row;
}
