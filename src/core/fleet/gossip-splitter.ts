/**
 * Cuts news that are too long for one datagram into several, each of them complete for a range of engines.
 * @module
 */
import type { CacheUpdate, EngineRange, EngineWork, ReportAck } from './types.js';

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
const answerBytes = 12;
const speedBytes = 18;
/** First number beyond those of engines. */
export const refSpaceEnd = 2 ** 32;

/** Rows beside the lists that are cut; they go with the first part. */
export interface UnsplitRowCounts {
	crashes: number;
	limits: number;
	answers: number;
	speeds: number;
}

export interface DatagramSlice {
	engines: EngineRange;
	work: EngineWork[];
	cacheUpdates: CacheUpdate[];
}

/**
 * @param reads as many go along as fit, those that do not stay
 * @param heard goes with each part
 */
export function splitIntoDatagrams(
	work: readonly EngineWork[],
	reads: CacheUpdate[],
	heard: readonly ReportAck[],
	whole: UnsplitRowCounts,
): DatagramSlice[] {
	const allRoom = payloadBytes - headBytes - heard.length * heardBytes;
	const wholeBytes = bytesOf(whole);
	const sorted = [...work].sort((a, b) => a.engine - b.engine);
	const parts: DatagramSlice[] = [];
	let from = 0;
	do {
		const room = parts.length === 0 ? allRoom - wholeBytes : allRoom;
		const most = Math.max(1, Math.floor(room / workBytes));
		const rows = sorted.splice(0, most);
		const to = sorted[0]?.engine ?? refSpaceEnd;
		const left = Math.floor((room - rows.length * workBytes) / readBytes);
		parts.push({
			engines: { from, to },
			work: rows,
			cacheUpdates: reads.splice(0, Math.max(0, left)),
		});
		from = to;
	} while (sorted.length > 0);
	return parts;
}

function bytesOf({ crashes, limits, answers, speeds }: UnsplitRowCounts): number {
	const bytes = crashes * crashBytes + limits * limitBytes;
	return bytes + answers * answerBytes + speeds * speedBytes;
}

export function isInRange(engine: number, { from, to }: EngineRange): boolean {
	return engine >= from && engine < to;
}
