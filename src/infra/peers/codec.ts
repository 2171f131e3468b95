/**
 * Encodes datagrams between daemons as signed MessagePack arrays; the layout is described in docs/PROTOCOLS.md.
 * @module
 */
import * as crypto from 'node:crypto';
import * as msgpack from '@msgpack/msgpack';
import type { Member, MembershipMessage } from '../../core/membership/types.js';
import type { PeerBatch, PeerMessage } from '../../core/peers.js';
import type {
	Grant,
	HolderReport,
	OwnerReply,
	RunningSlot,
	SlotRequest,
} from '../../core/scheduling/types.js';

/** Length of the truncated HMAC-SHA-256 signature that precedes the body. */
const signatureBytes = 16;
/** Message type codes on the wire. */
const messageTypeCodes = { ping: 0, ack: 1, pingReq: 2, report: 3, reply: 4 } as const;
/** Member states; the index is the code on the wire. */
const memberStates = ['alive', 'suspect', 'dead'] as const;
/** Times between tokens are encoded in hundredths of a millisecond. */
const interTokenUnitsPerMs = 100;
/** Wire value for an unbounded `maxIdleSlots`. */
const unboundedIdleSlots = -1;

type WireArray = unknown[];

/** Encodes and signs a batch as one datagram. */
export function encodeBatch(batch: PeerBatch, secret: crypto.KeyObject): Uint8Array {
	const messages = batch.messages.map(encodeMessage);
	const body = msgpack.encode([batch.from, batch.time.wall, batch.time.counter, messages]);
	const signature = sign(body, secret);
	return Buffer.concat([signature, body]);
}

/** Verifies and decodes a datagram; undefined when the signature or the layout is invalid. */
export function decodeBatch(datagram: Uint8Array, secret: crypto.KeyObject): PeerBatch | undefined {
	if (datagram.length <= signatureBytes) {
		return undefined;
	}
	const body = datagram.subarray(signatureBytes);
	const expected = sign(body, secret);
	if (!crypto.timingSafeEqual(datagram.subarray(0, signatureBytes), expected)) {
		return undefined;
	}
	try {
		const [from, wall, counter, messages] = msgpack.decode(body) as [
			string,
			number,
			number,
			WireArray[],
		];
		return { from, time: { wall, counter }, messages: messages.map(decodeMessage) };
	} catch {
		return undefined;
	}
}

/** Encoded size of a message within a batch, in bytes. */
export function encodedMessageBytes(message: PeerMessage): number {
	return msgpack.encode(encodeMessage(message)).length;
}

function sign(body: Uint8Array, secret: crypto.KeyObject): Buffer {
	return crypto.createHmac('sha256', secret).update(body).digest().subarray(0, signatureBytes);
}

function encodeMessage(message: PeerMessage): WireArray {
	if (message.type === 'membership') {
		return encodeMembership(message.body);
	}
	return message.type === 'report' ? encodeReport(message.body) : encodeReply(message.body);
}

function decodeMessage(wire: WireArray): PeerMessage {
	const [type] = wire;
	if (type === messageTypeCodes.report) {
		return { type: 'report', body: decodeReport(wire) };
	}
	if (type === messageTypeCodes.reply) {
		return { type: 'reply', body: decodeReply(wire) };
	}
	return { type: 'membership', body: decodeMembership(wire) };
}

function encodeMembership(message: MembershipMessage): WireArray {
	const updates = message.updates.map(encodeMember);
	const from = encodeMember(message.from);
	if (message.kind === 'ping-req') {
		return [messageTypeCodes.pingReq, message.seq, from, updates, message.target];
	}
	const type = message.kind === 'ping' ? messageTypeCodes.ping : messageTypeCodes.ack;
	return [type, message.seq, from, updates];
}

function decodeMembership(wire: WireArray): MembershipMessage {
	const [type, seq, fromWire, updatesWire, target] = wire as [
		number,
		number,
		WireArray,
		WireArray[],
		string,
	];
	const from = decodeMember(fromWire);
	const updates = updatesWire.map(decodeMember);
	if (type === messageTypeCodes.pingReq) {
		return { kind: 'ping-req', seq, from, updates, target };
	}
	if (type !== messageTypeCodes.ping && type !== messageTypeCodes.ack) {
		throw new Error(`unknown message type ${type}`);
	}
	return { kind: type === messageTypeCodes.ping ? 'ping' : 'ack', seq, from, updates };
}

function encodeMember(member: Member): WireArray {
	const { id, address, port, domain, state, incarnation, version } = member;
	return [id, address, port, domain, memberStates.indexOf(state), incarnation, version];
}

function decodeMember(wire: WireArray): Member {
	const [id, address, port, domain, code, incarnation, version] = wire as [
		string,
		string,
		number,
		string,
		number,
		number,
		number,
	];
	const state = memberStates[code];
	if (state === undefined) {
		throw new Error(`unknown member state ${code}`);
	}
	return { id, address, port, domain, state, incarnation, version };
}

function encodeReport(report: HolderReport): WireArray {
	const { completions, failures, interTokenMs, interTokenTargetMs } = report.observations;
	return [
		messageTypeCodes.report,
		report.endpoint,
		report.seq,
		report.epoch,
		report.lastGrantId,
		report.running.map(encodeRunning),
		report.idleSlots,
		report.slotRequests.map(encodeSlotRequest),
		report.waitingByTier,
		[completions, failures, Math.round(interTokenMs * interTokenUnitsPerMs), interTokenTargetMs],
		report.knownLimit,
	];
}

function decodeReport(wire: WireArray): HolderReport {
	const [
		,
		endpoint,
		seq,
		epoch,
		lastGrantId,
		running,
		idleSlots,
		slotRequests,
		waitingByTier,
		observed,
		knownLimit,
	] = wire as [
		number,
		string,
		number,
		number,
		number,
		WireArray[],
		number,
		WireArray[],
		[number, number][],
		[number, number, number, number],
		number,
	];
	const [completions, failures, interTokenUnits, interTokenTargetMs] = observed;
	return {
		endpoint,
		seq,
		epoch,
		lastGrantId,
		running: running.map(decodeRunning),
		idleSlots,
		slotRequests: slotRequests.map(decodeSlotRequest),
		waitingByTier,
		observations: {
			completions,
			failures,
			interTokenMs: interTokenUnits / interTokenUnitsPerMs,
			interTokenTargetMs,
		},
		knownLimit,
	};
}

function encodeRunning(slot: RunningSlot): WireArray {
	const flags = (slot.isFloor ? 1 : 0) | (slot.isPreemptable ? 2 : 0);
	return [slot.ticket, slot.tier, slot.classHash, slot.customerHash, flags];
}

function decodeRunning(wire: WireArray): RunningSlot {
	const [ticket, tier, classHash, customerHash, flags] = wire as [
		number,
		number,
		number,
		number,
		number,
	];
	return {
		ticket,
		tier,
		classHash,
		customerHash,
		isFloor: (flags & 1) !== 0,
		isPreemptable: (flags & 2) !== 0,
	};
}

function encodeSlotRequest(request: SlotRequest): WireArray {
	const flags = (request.isLate ? 1 : 0) | (request.requestsPreemption ? 2 : 0);
	const { tier, classHash, customerHash, slackMs, waitedMs } = request;
	return [request.ticket, tier, classHash, customerHash, slackMs, waitedMs, flags];
}

function decodeSlotRequest(wire: WireArray): SlotRequest {
	const [ticket, tier, classHash, customerHash, slackMs, waitedMs, flags] = wire as [
		number,
		number,
		number,
		number,
		number,
		number,
		number,
	];
	const isLate = (flags & 1) !== 0;
	const requestsPreemption = (flags & 2) !== 0;
	return {
		ticket,
		tier,
		classHash,
		customerHash,
		slackMs,
		waitedMs,
		isLate,
		requestsPreemption,
	};
}

function encodeReply(reply: OwnerReply): WireArray {
	const flags = (reply.isContended ? 1 : 0) | (reply.isUnavailable ? 2 : 0);
	return [
		messageTypeCodes.reply,
		reply.endpoint,
		reply.epoch,
		reply.reportSeq,
		reply.grants.map(encodeGrant),
		reply.maxIdleSlots === Number.MAX_SAFE_INTEGER ? unboundedIdleSlots : reply.maxIdleSlots,
		reply.preemptTickets,
		reply.limit,
		reply.usedSlots,
		Math.round(reply.completionsPerS * 100),
		reply.waitingByTier,
		reply.lowestPreemptableTier,
		flags,
	];
}

function decodeReply(wire: WireArray): OwnerReply {
	const [
		,
		endpoint,
		epoch,
		reportSeq,
		grants,
		maxIdleSlots,
		preemptTickets,
		limit,
		usedSlots,
		rate,
		waitingByTier,
		lowestPreemptableTier,
		flags,
	] = wire as [
		number,
		string,
		number,
		number,
		WireArray[],
		number,
		number[],
		number,
		number,
		number,
		[number, number][],
		number,
		number,
	];
	return {
		endpoint,
		epoch,
		reportSeq,
		grants: grants.map(decodeGrant),
		maxIdleSlots: maxIdleSlots === unboundedIdleSlots ? Number.MAX_SAFE_INTEGER : maxIdleSlots,
		preemptTickets,
		limit,
		usedSlots,
		completionsPerS: rate / 100,
		waitingByTier,
		lowestPreemptableTier,
		isContended: (flags & 1) !== 0,
		isUnavailable: (flags & 2) !== 0,
	};
}

function encodeGrant(grant: Grant): WireArray {
	return grant.floorClass === undefined
		? [grant.id, grant.tier]
		: [grant.id, grant.tier, grant.floorClass];
}

function decodeGrant(wire: WireArray): Grant {
	const [id, tier, floor] = wire as [number, number, number | undefined];
	return { id, tier, floorClass: floor };
}
