/**
 * Cuts news that are too long for one datagram into several, each of them complete for a range of engines.
 * @module
 */
import type { EngineRange, EngineWork, HeardReport, PartRead } from './types.js';

/** Payload that fits a usual path without fragments, in bytes. */
const payloadBytes = 1400;
/** Names, numbers, costs of a service, four store readers and the issuer of permits beside the lists, in bytes. */
const headBytes = 400;
/** Bytes of one entry of each list as encoded, at the most. */
const workBytes = 12;
const readBytes = 12;
const heardBytes = 10;
const crashBytes = 16;
const limitBytes = 16;
const customerBytes = 15;
/** First number beyond those of engines. */
export const endOfRefs = 2 ** 32;

/** Rows that go with the first part. */
export interface FirstRows {
	crashes: number;
	limits: number;
	customers: number;
}

export interface NewsPart {
	engines: EngineRange;
	work: EngineWork[];
	reads: PartRead[];
}

/**
 * @param reads as many go along as fit, those that do not stay
 * @param heard goes with each part
 * @param first how many rows go with the first part; the others have room for them too
 */
export function cutNews(
	work: readonly EngineWork[],
	reads: PartRead[],
	heard: readonly HeardReport[],
	{ crashes, limits, customers }: FirstRows,
): NewsPart[] {
	const firstBytes = crashes * crashBytes + limits * limitBytes + customers * customerBytes;
	const room = payloadBytes - headBytes - heard.length * heardBytes - firstBytes;
	const most = Math.max(1, Math.floor(room / workBytes));
	const sorted = [...work].sort((a, b) => a.engine - b.engine);
	const parts: NewsPart[] = [];
	let from = 0;
	do {
		const rows = sorted.splice(0, most);
		const to = sorted[0]?.engine ?? endOfRefs;
		const left = Math.floor((room - rows.length * workBytes) / readBytes);
		parts.push({ engines: { from, to }, work: rows, reads: reads.splice(0, Math.max(0, left)) });
		from = to;
	} while (sorted.length > 0);
	return parts;
}

export function isWithin(engine: number, { from, to }: EngineRange): boolean {
	return engine >= from && engine < to;
}
