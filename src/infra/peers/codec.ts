/**
 * Datagrams between daemons: MessagePack arrays, signed. The layout is in docs/PROTOCOLS.md.
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
	Ticket,
} from '../../core/scheduling/types.js';

/** Bytes of a signature. */
const signatureBytes = 16;
/** Types of message, as they stand on the wire. */
const wireTypes = { ping: 0, ack: 1, pingReq: 2, report: 3, reply: 4 } as const;
const stateCodes = ['alive', 'suspect', 'dead'] as const;
/** Times between tokens go as hundredths of a millisecond. */
const gapScale = 100;
/** Slots that may be kept without bound, as it stands on the wire. */
const keepAll = -1;

type Wire = unknown[];

/** One signed datagram. */
export function encodeBatch(batch: PeerBatch, secret: crypto.KeyObject): Uint8Array {
	const messages = batch.messages.map(encodeMessage);
	const body = msgpack.encode([batch.from, batch.time.wall, batch.time.counter, messages]);
	const signature = sign(body, secret);
	return Buffer.concat([signature, body]);
}

/** The batch, or undefined when the signature or the layout is wrong. */
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
			Wire[],
		];
		return { from, time: { wall, counter }, messages: messages.map(decodeMessage) };
	} catch {
		return undefined;
	}
}

/** Bytes that a message takes in a batch. */
export function messageBytes(message: PeerMessage): number {
	return msgpack.encode(encodeMessage(message)).length;
}

function sign(body: Uint8Array, secret: crypto.KeyObject): Buffer {
	return crypto.createHmac('sha256', secret).update(body).digest().subarray(0, signatureBytes);
}

function encodeMessage(message: PeerMessage): Wire {
	if (message.type === 'membership') {
		return encodeMembership(message.body);
	}
	return message.type === 'report' ? encodeReport(message.body) : encodeReply(message.body);
}

function decodeMessage(wire: Wire): PeerMessage {
	const [type] = wire;
	if (type === wireTypes.report) {
		return { type: 'report', body: decodeReport(wire) };
	}
	if (type === wireTypes.reply) {
		return { type: 'reply', body: decodeReply(wire) };
	}
	return { type: 'membership', body: decodeMembership(wire) };
}

function encodeMembership(message: MembershipMessage): Wire {
	const updates = message.updates.map(encodeMember);
	const from = encodeMember(message.from);
	if (message.kind === 'ping-req') {
		return [wireTypes.pingReq, message.seq, from, updates, message.target];
	}
	const type = message.kind === 'ping' ? wireTypes.ping : wireTypes.ack;
	return [type, message.seq, from, updates];
}

function decodeMembership(wire: Wire): MembershipMessage {
	const [type, seq, fromWire, updatesWire, target] = wire as [number, number, Wire, Wire[], string];
	const from = decodeMember(fromWire);
	const updates = updatesWire.map(decodeMember);
	if (type === wireTypes.pingReq) {
		return { kind: 'ping-req', seq, from, updates, target };
	}
	if (type !== wireTypes.ping && type !== wireTypes.ack) {
		throw new Error(`unknown message type ${type}`);
	}
	return { kind: type === wireTypes.ping ? 'ping' : 'ack', seq, from, updates };
}

function encodeMember(member: Member): Wire {
	const { id, address, port, domain, state, incarnation, version } = member;
	return [id, address, port, domain, stateCodes.indexOf(state), incarnation, version];
}

function decodeMember(wire: Wire): Member {
	const [id, address, port, domain, code, incarnation, version] = wire as [
		string,
		string,
		number,
		string,
		number,
		number,
		number,
	];
	const state = stateCodes[code];
	if (state === undefined) {
		throw new Error(`unknown member state ${code}`);
	}
	return { id, address, port, domain, state, incarnation, version };
}

function encodeReport(report: HolderReport): Wire {
	const { completions, failures, gapMs, targetMs } = report.observed;
	return [
		wireTypes.report,
		report.endpoint,
		report.seq,
		report.epoch,
		report.granted,
		report.running.map(encodeRunning),
		report.idle,
		report.want.map(encodeTicket),
		report.backlog,
		[completions, failures, Math.round(gapMs * gapScale), targetMs],
		report.limit,
	];
}

function decodeReport(wire: Wire): HolderReport {
	const [, endpoint, seq, epoch, granted, running, idle, want, backlog, observed, limit] = wire as [
		number,
		string,
		number,
		number,
		number,
		Wire[],
		number,
		Wire[],
		[number, number][],
		[number, number, number, number],
		number,
	];
	const [completions, failures, gap, targetMs] = observed;
	return {
		endpoint,
		seq,
		epoch,
		granted,
		running: running.map(decodeRunning),
		idle,
		want: want.map(decodeTicket),
		backlog,
		observed: { completions, failures, gapMs: gap / gapScale, targetMs },
		limit,
	};
}

function encodeRunning(slot: RunningSlot): Wire {
	const flags = (slot.floor ? 1 : 0) | (slot.preemptable ? 2 : 0);
	return [slot.ticket, slot.tier, slot.cls, slot.customer, flags];
}

function decodeRunning(wire: Wire): RunningSlot {
	const [ticket, tier, cls, customer, flags] = wire as [number, number, number, number, number];
	return { ticket, tier, cls, customer, floor: (flags & 1) !== 0, preemptable: (flags & 2) !== 0 };
}

function encodeTicket(ticket: Ticket): Wire {
	const flags = (ticket.late ? 1 : 0) | (ticket.urgent ? 2 : 0);
	const { tier, cls, customer, slack, waited } = ticket;
	return [ticket.ticket, tier, cls, customer, slack, waited, flags];
}

function decodeTicket(wire: Wire): Ticket {
	const [ticket, tier, cls, customer, slack, waited, flags] = wire as [
		number,
		number,
		number,
		number,
		number,
		number,
		number,
	];
	const late = (flags & 1) !== 0;
	const urgent = (flags & 2) !== 0;
	return { ticket, tier, cls, customer, slack, waited, late, urgent };
}

function encodeReply(reply: OwnerReply): Wire {
	const flags = (reply.contended ? 1 : 0) | (reply.closed ? 2 : 0);
	return [
		wireTypes.reply,
		reply.endpoint,
		reply.epoch,
		reply.seq,
		reply.grants.map(encodeGrant),
		reply.keepIdle === Number.MAX_SAFE_INTEGER ? keepAll : reply.keepIdle,
		reply.preempt,
		reply.limit,
		reply.used,
		Math.round(reply.rate * 100),
		reply.ahead,
		reply.lowest,
		flags,
	];
}

function decodeReply(wire: Wire): OwnerReply {
	const [, endpoint, epoch, seq, grants, keep, preempt, limit, used, rate, ahead, lowest, flags] =
		wire as [
			number,
			string,
			number,
			number,
			Wire[],
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
		seq,
		grants: grants.map(decodeGrant),
		keepIdle: keep === keepAll ? Number.MAX_SAFE_INTEGER : keep,
		preempt,
		limit,
		used,
		rate: rate / 100,
		ahead,
		lowest,
		contended: (flags & 1) !== 0,
		closed: (flags & 2) !== 0,
	};
}

function encodeGrant(grant: Grant): Wire {
	return grant.floor === undefined ? [grant.id, grant.tier] : [grant.id, grant.tier, grant.floor];
}

function decodeGrant(wire: Wire): Grant {
	const [id, tier, floor] = wire as [number, number, number | undefined];
	return { id, tier, floor };
}
