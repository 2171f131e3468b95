/**
 * Limits of engines and permits between VMs as MessagePack.
 * @module
 */
import * as net from 'node:net';
import * as msgpack from '@msgpack/msgpack';
import { parseAddress } from '../../core/fleet/aggregator-selection.js';
import type { LimitUpdate, PermitRequest, PermitResponse } from '../../core/limits/types.js';
import { urgencyLevels } from '../../core/relay/definitions.js';
import { messageTypes, wireFormatVersion } from './message-types.js';
import type { RowReader } from './row-reader.js';
import { RowError, toThousandths } from './row-reader.js';

/** Largest port. */
const mostPort = 65_535;
const urgencies = Array.from({ length: urgencyLevels }, (_, level) => level);
/** No request waits longer for a permit, in milliseconds: an eighth of the longest targets is far less. */
const mostWaitMs = 60_000;
/** In place of requests a second: the engine names no limit. */
const noLimit = -1;

export function packLimit({ engine, limitPerS: perS, version }: LimitUpdate): number[] {
	return [engine, perS === undefined ? noLimit : toThousandths(perS), version];
}

/** @throws RowError when the row is no word on a limit */
export function readLimit(row: RowReader): LimitUpdate {
	const engine = row.number();
	const perS = row.thousandths();
	return { engine, limitPerS: perS < 0 ? undefined : perS, version: row.number() };
}

export function encodePermitRequest({
	from,
	id,
	limit: word,
	urgency,
	waitMs,
}: PermitRequest): Uint8Array {
	const { permitRequest: permitAsk } = messageTypes;
	return msgpack.encode([
		wireFormatVersion,
		permitAsk,
		from,
		id,
		packLimit(word),
		urgency,
		Math.round(waitMs),
	]);
}

/** @throws RowError when the row behind the type is no ask, or one that cannot be answered */
export function decodePermitRequest(row: RowReader): PermitRequest {
	const ask = {
		from: row.string(),
		id: row.number(),
		limit: row.nested(readLimit),
		urgency: row.number(),
		waitMs: row.number(),
	};
	row.expectEnd();
	const isWait = ask.waitMs >= 0 && ask.waitMs <= mostWaitMs;
	if (!isAddress(ask.from) || !urgencies.includes(ask.urgency) || !isWait) {
		throw new RowError('an ask of a VM');
	}
	return ask;
}

/** Whether an answer can be sent there: an address that is none would end the process that sends. */
function isAddress(text: string): boolean {
	const { host, port } = parseAddress(text);
	return net.isIPv4(host) && Number.isInteger(port) && port > 0 && port <= mostPort;
}

export function encodePermitResponse(answer: PermitResponse): Uint8Array {
	const { id, limit: word, isGranted, retryAfterMs } = answer;
	const { permitResponse: permitAnswer } = messageTypes;
	return msgpack.encode([
		wireFormatVersion,
		permitAnswer,
		id,
		packLimit(word),
		isGranted,
		Math.round(retryAfterMs),
	]);
}

/** @throws RowError when the row behind the type is no answer */
export function decodePermitResponse(row: RowReader): PermitResponse {
	const answer = {
		id: row.number(),
		limit: row.nested(readLimit),
		isGranted: row.boolean(),
		retryAfterMs: row.number(),
	};
	row.expectEnd();
	return answer;
}
