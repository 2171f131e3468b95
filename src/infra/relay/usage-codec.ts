/**
 * Encodes usage counts and their acknowledgements between VMs as MessagePack.
 * @module
 */
import * as msgpack from '@msgpack/msgpack';
import type { UsageAck, UsageCounts } from '../../core/duties/types.js';
import { messageTypes, wireFormatVersion } from './message-types.js';
import type { RowReader } from './row-reader.js';

const unknownTime = 0;

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

/** @throws RowError when the fields after the type are not usage counts */
export function decodeUsage(row: RowReader): UsageCounts {
	const usage: UsageCounts = {
		vm: row.string(),
		incarnation: row.number(),
		address: row.address(),
		sentAt: row.number(),
		window: row.nonNegative(),
		total: row.nonNegative(),
		isFinal: row.boolean(),
		counts: row.rows((item) => ({ customer: item.string(), started: item.nonNegative() })),
	};
	row.expectEnd();
	return usage;
}

export function encodeUsageAck({ incarnation, window, total, time }: UsageAck): Uint8Array {
	const encodedTime = time === undefined ? unknownTime : Math.round(time);
	return msgpack.encode([
		wireFormatVersion,
		messageTypes.usageAck,
		incarnation,
		window,
		total,
		encodedTime,
	]);
}

/** @throws RowError when the fields after the type are not an acknowledgement */
export function decodeUsageAck(row: RowReader): UsageAck {
	const ack = { incarnation: row.number(), window: row.number(), total: row.number() };
	const time = row.number();
	row.expectEnd();
	return { ...ack, time: time === unknownTime ? undefined : time };
}
