/**
 * Counts of started requests between VMs as MessagePack.
 * @module
 */
import * as msgpack from '@msgpack/msgpack';
import type { UsageAck, UsageCounts } from '../../core/duties/types.js';
import { messageTypes, wireFormatVersion } from './message-types.js';
import type { RowReader } from './row-reader.js';

/** Stands for a time that is not known. */
const noTime = 0;

export function encodeUsage(usage: UsageCounts): Uint8Array {
	return msgpack.encode([
		wireFormatVersion,
		messageTypes.usage,
		usage.vm,
		usage.incarnation,
		usage.address,
		Math.round(usage.sentAt),
		usage.window,
		usage.total,
		usage.isFinal,
		usage.counts.map(({ customer, started }) => [customer, started]),
	]);
}

/** @throws RowError when the row behind the type is none of counts */
export function decodeUsage(row: RowReader): UsageCounts {
	const usage: UsageCounts = {
		vm: row.string(),
		incarnation: row.number(),
		address: row.string(),
		sentAt: row.number(),
		window: row.number(),
		total: row.number(),
		isFinal: row.boolean(),
		counts: row.rows((item) => ({ customer: item.string(), started: item.number() })),
	};
	row.expectEnd();
	return usage;
}

export function encodeUsageAck({ incarnation, window, total, time }: UsageAck): Uint8Array {
	const sent = time === undefined ? noTime : Math.round(time);
	return msgpack.encode([
		wireFormatVersion,
		messageTypes.usageAck,
		incarnation,
		window,
		total,
		sent,
	]);
}

/** @throws RowError when the row behind the type is no such word */
export function decodeUsageAck(row: RowReader): UsageAck {
	const taken = { incarnation: row.number(), window: row.number(), total: row.number() };
	const time = row.number();
	row.expectEnd();
	return { ...taken, time: time === noTime ? undefined : time };
}
