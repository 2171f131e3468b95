/**
 * Splits gossip that exceeds one datagram into several, each complete for a range of engines.
 * @module
 */
import type { CacheUpdate, EngineRange, EngineWork, ReportAck } from './types.js';

/** Payload that fits a typical path MTU without fragmentation. */
const maxPayloadBytes = 1400;
/** Reserved for the fields that are not split: header, costs of one service, four store readers and the permit issuer. */
const headerBytes = 400;
/** Maximum encoded size of one entry of each list. */
const workBytes = 12;
const cacheUpdateBytes = 12;
const reportAckBytes = 10;
const crashBytes = 19;
const limitBytes = 16;
const answerBytes = 12;
const paceBytes = 20;
/** Upper bound, exclusive, of all hashes. */
export const refSpaceEnd = 2 ** 32;

/** Numbers of rows that are not split and go into the first datagram. */
export interface UnsplitRowCounts {
	crashes: number;
	limits: number;
	answers: number;
	paces: number;
}

/** The split lists of one datagram. */
export interface DatagramSlice {
	engines: EngineRange;
	work: EngineWork[];
	cacheUpdates: CacheUpdate[];
}

/**
 * Distributes work and cache updates over as many datagrams as the work needs.
 * @param cacheUpdates those that fit are removed, the rest stays queued
 * @param reportAcks repeated in each datagram
 */
export function splitIntoDatagrams(
	work: readonly EngineWork[],
	cacheUpdates: CacheUpdate[],
	reportAcks: readonly ReportAck[],
	unsplit: UnsplitRowCounts,
): DatagramSlice[] {
	const capacityBytes = maxPayloadBytes - headerBytes - reportAcks.length * reportAckBytes;
	const unsplitBytes = bytesOf(unsplit);
	const sorted = [...work].sort((a, b) => a.engine - b.engine);
	const slices: DatagramSlice[] = [];
	let from = 0;
	do {
		const freeBytes = slices.length === 0 ? capacityBytes - unsplitBytes : capacityBytes;
		const maxRows = Math.max(1, Math.floor(freeBytes / workBytes));
		const rows = sorted.splice(0, maxRows);
		const to = sorted[0]?.engine ?? refSpaceEnd;
		const maxUpdates = Math.floor((freeBytes - rows.length * workBytes) / cacheUpdateBytes);
		slices.push({
			engines: { from, to },
			work: rows,
			cacheUpdates: cacheUpdates.splice(0, Math.max(0, maxUpdates)),
		});
		from = to;
	} while (sorted.length > 0);
	return slices;
}

function bytesOf({ crashes, limits, answers, paces }: UnsplitRowCounts): number {
	const bytes = crashes * crashBytes + limits * limitBytes;
	return bytes + answers * answerBytes + paces * paceBytes;
}

export function isInRange(engine: number, { from, to }: EngineRange): boolean {
	return engine >= from && engine < to;
}
