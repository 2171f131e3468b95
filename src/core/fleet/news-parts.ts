/**
 * Cuts news that are too long for one datagram into several, each of them complete for a range of engines.
 * @module
 */
import type { EngineRange, EngineWork, HeardReport, PartRead } from './types.js';
import { memoryBlockTokens } from './work-sums.js';

/** Payload that fits a usual path without fragments, in bytes. */
const payloadBytes = 1400;
/** Names, numbers, costs of a service, four store readers and the issuer of permits beside the lists, in bytes. */
const headBytes = 400;
/** Bytes of one entry of each list as encoded, at the most. */
const readBytes = 12;
/** Reads that wait get up to this share of what is left beside rows: a part that is told late is read twice. */
const readsShare = 1 / 3;
const heardBytes = 10;
const crashBytes = 16;
const limitBytes = 16;
/** First number beyond those of engines. */
export const endOfRefs = 2 ** 32;

export interface NewsPart {
	engines: EngineRange;
	work: EngineWork[];
	reads: PartRead[];
}

/**
 * @param reads as many go along as fit, those that do not stay
 * @param heard goes with each part
 * @param crashes rows that go with the first part
 * @param limits words that go with the first part
 */
export function cutNews(
	work: readonly EngineWork[],
	reads: PartRead[],
	heard: readonly HeardReport[],
	crashes = 0,
	limits = 0,
): NewsPart[] {
	const rows = heard.length * heardBytes + crashes * crashBytes + limits * limitBytes;
	const room = payloadBytes - headBytes - rows;
	const sorted = [...work].sort((a, b) => a.engine - b.engine);
	const parts: NewsPart[] = [];
	let from = 0;
	do {
		const { count, bytes } = countThatFit(sorted, room - bytesForReads(reads, room));
		const rows = sorted.splice(0, count);
		const to = sorted[0]?.engine ?? endOfRefs;
		const left = Math.floor((room - bytes) / readBytes);
		parts.push({ engines: { from, to }, work: rows, reads: reads.splice(0, Math.max(0, left)) });
		from = to;
	} while (sorted.length > 0);
	return parts;
}

function bytesForReads(reads: readonly PartRead[], room: number): number {
	return Math.min(reads.length * readBytes, room * readsShare);
}

/** How many of the first rows fit, one at least, and how many bytes they take. */
function countThatFit(rows: readonly EngineWork[], room: number): { count: number; bytes: number } {
	let bytes = 0;
	for (const [count, row] of rows.entries()) {
		const more = bytesOfWork(row);
		if (count > 0 && bytes + more > room) {
			return { count, bytes };
		}
		bytes += more;
	}
	return { count: rows.length, bytes };
}

function bytesOfWork({ engine, running, promptTokens, memoryTokens }: EngineWork): number {
	const numbers = [engine, running, Math.round(promptTokens), memoryTokens / memoryBlockTokens];
	return numbers.reduce((sum, number) => sum + bytesOfNumber(number), 0);
}

/** As MessagePack encodes a whole number; negative ones are rare and small. */
function bytesOfNumber(number: number): number {
	const ends = [2 ** 7, 2 ** 8, 2 ** 16, 2 ** 32];
	const at = ends.findIndex((end) => Math.abs(number) < end);
	return [1, 2, 3, 5][at] ?? 9;
}

export function isWithin(engine: number, { from, to }: EngineRange): boolean {
	return engine >= from && engine < to;
}
