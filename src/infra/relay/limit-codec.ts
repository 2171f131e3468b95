/**
 * Encodes rate limits of engines and permit messages between VMs as MessagePack.
 * @module
 */
import * as msgpack from '@msgpack/msgpack';
import type { LimitUpdate, PermitRequest, PermitResponse } from '../../core/limits/types.js';
import { urgencyLevels } from '../../core/relay/definitions.js';
import { messageTypes, wireFormatVersion } from './message-types.js';
import type { RowReader } from './row-reader.js';
import { RowError, toThousandths } from './row-reader.js';

const urgencies = Array.from({ length: urgencyLevels }, (_, level) => level);
/** Upper bound for the wait of a permit request. */
const maxWaitMs = 60_000;
/** Encodes the absence of a limit. */
const noLimit = -1;

export function packLimit({ engine, limitPerS, version }: LimitUpdate): number[] {
	return [engine, limitPerS === undefined ? noLimit : toThousandths(limitPerS), version];
}

/** @throws RowError when the row is not a limit update */
export function readLimit(row: RowReader): LimitUpdate {
	const engine = row.number();
	const limitPerS = row.thousandths();
	return { engine, limitPerS: limitPerS < 0 ? undefined : limitPerS, version: row.number() };
}

export function encodePermitRequest({
	from,
	id,
	limit,
	urgency,
	waitMs,
}: PermitRequest): Uint8Array {
	const { permitRequest } = messageTypes;
	return msgpack.encode([
		wireFormatVersion,
		permitRequest,
		from,
		id,
		packLimit(limit),
		urgency,
		Math.round(waitMs),
	]);
}

/** @throws RowError when the fields after the type are not a permit request that can be answered */
export function decodePermitRequest(row: RowReader): PermitRequest {
	const request = {
		from: row.address(),
		id: row.number(),
		limit: row.nested(readLimit),
		urgency: row.number(),
		waitMs: row.number(),
	};
	row.expectEnd();
	const isValidWait = request.waitMs >= 0 && request.waitMs <= maxWaitMs;
	if (!urgencies.includes(request.urgency) || !isValidWait) {
		throw new RowError('a permit request with a valid urgency and wait');
	}
	return request;
}

export function encodePermitResponse(response: PermitResponse): Uint8Array {
	const { id, limit, isGranted, retryAfterMs } = response;
	const { permitResponse } = messageTypes;
	return msgpack.encode([
		wireFormatVersion,
		permitResponse,
		id,
		packLimit(limit),
		isGranted,
		Math.round(retryAfterMs),
	]);
}

/** @throws RowError when the fields after the type are not a permit response */
export function decodePermitResponse(row: RowReader): PermitResponse {
	const response = {
		id: row.number(),
		limit: row.nested(readLimit),
		isGranted: row.boolean(),
		retryAfterMs: row.nonNegative(),
	};
	row.expectEnd();
	return response;
}
