/**
 * Encodes gossip between VMs as MessagePack.
 * @module
 */
import * as msgpack from '@msgpack/msgpack';
import type { CostSums } from '../../core/engines/cost-model.js';
import type { EnginePaceSums, ServicePaceSums } from '../../core/engines/engine-paces.js';
import type { LineSums } from '../../core/engines/estimators.js';
import type { PaceSum } from '../../core/engines/pace-sums.js';
import type { EngineAnswerCounts } from '../../core/engines/recent-answers.js';
import type {
	EngineWork,
	GossipKind,
	GossipMessage,
	ReportAck,
	StoreReader,
} from '../../core/fleet/types.js';
import { gossipKinds } from '../../core/fleet/types.js';
import type { IssuerAnnouncement } from '../../core/limits/types.js';
import type { CrashReport } from '../../core/quarantine/types.js';
import { packLimit, readLimit } from './limit-codec.js';
import { messageTypes, wireFormatVersion } from './message-types.js';
import { RowError, type RowReader, toThousandths } from './row-reader.js';

/** Numbers per entry of the flat lists. */
const workStride = 3;
const reportAckStride = 2;
const crashStride = 3;
const paceStride = 6;
/** Weights and means of paces are rounded to these units; integers take fewer bytes. */
const weightUnit = 0.1;
const meanUnit = 0.01;
/** Ages of paces are rounded to this unit, in milliseconds, and limited to what fits into a byte. */
const ageUnitMs = 10;
const maxAge = 255;
/** Encodes the absence of a trait in crash reports. */
const noTrait = -1;
/** State of a crash report: cleared, or its age in milliseconds from `minAgeState` on. VMs of earlier versions send 0 for the latter. */
const clearedState = 1;
const minAgeState = 2;

const kindsByType: Readonly<Record<number, GossipKind>> = {
	[messageTypes.report]: gossipKinds.report,
	[messageTypes.group]: gossipKinds.group,
	[messageTypes.fleet]: gossipKinds.fleet,
};

export function encodeGossip(message: GossipMessage): Uint8Array {
	return msgpack.encode([
		wireFormatVersion,
		messageTypes[message.kind],
		message.from,
		message.incarnation,
		message.seq,
		message.configurationVersion,
		message.address,
		message.isLeaving,
		Math.round(message.intervalMs),
		message.vmCount,
		[message.engines.from, message.engines.to],
		message.work.flatMap((item) => [item.engine, item.running, Math.round(item.promptTokens)]),
		message.cacheUpdates.map((item) => [item.segment, item.engine, item.isPrefilled]),
		[toThousandths(message.demand.long), toThousandths(message.demand.short)],
		message.storeReaders.map(packStoreReader),
		message.reportAcks.flatMap((item) => [item.vm, item.seq]),
		message.costs?.map(packCosts),
		message.answers?.map(packAnswers),
		message.crashes.flatMap(packCrash),
		message.limits.map(packLimit),
		message.issuer && [packIssuer(message.issuer)],
		message.paces?.map(({ service, engines }) => [service, engines.flatMap(packEnginePace)]),
	]);
}

/**
 * @param type of the message
 * @param row the fields after the type
 * @throws RowError when the message is not valid gossip
 */
export function decodeGossip(type: number, row: RowReader): GossipMessage {
	const kind = kindsByType[type];
	if (kind === undefined) {
		throw new RowError('a known message type');
	}
	const message: GossipMessage = {
		kind,
		from: row.string(),
		incarnation: row.number(),
		seq: row.nonNegative(),
		configurationVersion: row.nonNegative(),
		address: row.address(),
		isLeaving: row.boolean(),
		intervalMs: row.nonNegative(),
		vmCount: row.nonNegative(),
		engines: row.nested((range) => ({ from: range.number(), to: range.number() })),
		work: readWork(row.numbers(workStride)),
		cacheUpdates: row.rows((item) => ({
			segment: item.number(),
			engine: item.number(),
			isPrefilled: item.boolean(),
		})),
		demand: row.nested((item) => ({ long: item.thousandths(), short: item.thousandths() })),
		storeReaders: row.rows(readStoreReader),
		reportAcks: readReportAcks(row.numbers(reportAckStride)),
		costs: row.optionalRows(readCosts),
		answers: row.optionalRows(readAnswers),
		crashes: readCrashes(row.numbers(crashStride)),
		limits: row.rows(readLimit),
		issuer: row.optionalRows(readIssuer)?.[0],
		paces: row.optionalRows(readServicePaces),
	};
	row.expectEnd();
	return message;
}

function readWork(fields: readonly number[]): EngineWork[] {
	const work: EngineWork[] = [];
	for (let index = 0; index < fields.length; index += workStride) {
		work.push({
			engine: fields[index] ?? 0,
			running: fields[index + 1] ?? 0,
			promptTokens: fields[index + 2] ?? 0,
		});
	}
	return work;
}

function readReportAcks(fields: readonly number[]): ReportAck[] {
	const acks: ReportAck[] = [];
	for (let index = 0; index < fields.length; index += reportAckStride) {
		acks.push({ vm: fields[index] ?? 0, seq: fields[index + 1] ?? 0 });
	}
	return acks;
}

function packCrash({ trait, engine, isCleared, ageMs }: CrashReport): number[] {
	const state = isCleared ? clearedState : minAgeState + Math.round(ageMs);
	return [trait ?? noTrait, engine, state];
}

function readCrashes(fields: readonly number[]): CrashReport[] {
	const reports: CrashReport[] = [];
	for (let index = 0; index < fields.length; index += crashStride) {
		const trait = fields[index] ?? noTrait;
		const state = fields[index + 2] ?? 0;
		reports.push({
			trait: trait === noTrait ? undefined : trait,
			engine: fields[index + 1] ?? 0,
			isCleared: state === clearedState,
			ageMs: Math.max(0, state - minAgeState),
		});
	}
	return reports;
}

function packEnginePace({ engine, ageMs, reading, steps }: EnginePaceSums): number[] {
	const age = Math.min(Math.round(ageMs / ageUnitMs), maxAge);
	return [engine, age, ...packPaceSum(reading), ...packPaceSum(steps)];
}

function packPaceSum({ weight, sum }: PaceSum): number[] {
	return [
		Math.round(weight / weightUnit),
		Math.round(sum / Math.max(weight, weightUnit) / meanUnit),
	];
}

function readServicePaces(row: RowReader): ServicePaceSums {
	const service = row.number();
	const fields = row.numbers(paceStride);
	const engines: EnginePaceSums[] = [];
	for (let index = 0; index < fields.length; index += paceStride) {
		const [engine = 0, age = 0] = fields.slice(index, index + 2);
		const reading = readPaceSum(fields[index + 2], fields[index + 3]);
		const steps = readPaceSum(fields[index + 4], fields[index + 5]);
		engines.push({ engine, ageMs: age * ageUnitMs, reading, steps });
	}
	return { service, engines };
}

function readPaceSum(weight = 0, mean = 0): PaceSum {
	const scaledWeight = weight * weightUnit;
	return { weight: scaledWeight, sum: scaledWeight * mean * meanUnit };
}

function packStoreReader(reader: StoreReader): unknown[] {
	const { address, contactAgeMs, revision, digest, dutyToken } = reader;
	return [address, Math.round(contactAgeMs), revision, digest, dutyToken];
}

function readStoreReader(row: RowReader): StoreReader {
	return {
		address: row.address(),
		contactAgeMs: row.nonNegative(),
		revision: row.nonNegative(),
		digest: row.number(),
		dutyToken: row.nonNegative(),
	};
}

function packIssuer({ address, term, heartbeatSeq, isResigned }: IssuerAnnouncement): unknown[] {
	return [address, term, heartbeatSeq, isResigned];
}

function readIssuer(row: RowReader): IssuerAnnouncement {
	return {
		address: row.address(),
		term: row.nonNegative(),
		heartbeatSeq: row.nonNegative(),
		isResigned: row.boolean(),
	};
}

/** Rounds sums to integers, but weights and y to thousandths. */
function packLine({ weight, x, y, xx, xy }: LineSums): number[] {
	return [toThousandths(weight), toThousandths(y), Math.round(x), Math.round(xx), Math.round(xy)];
}

function readLine(row: RowReader): LineSums {
	const weight = row.thousandths();
	const y = row.thousandths();
	return { weight, y, x: row.number(), xx: row.number(), xy: row.number() };
}

function packCosts(sums: CostSums): unknown[] {
	return [
		sums.service,
		packLine(sums.reading),
		packLine(sums.copying),
		toThousandths(sums.eventIntervalMs),
		sums.eventWeight,
		Math.round(sums.events),
		Math.round(sums.expectedTokens),
	];
}

function readCosts(row: RowReader): CostSums {
	return {
		service: row.number(),
		reading: row.nested(readLine),
		copying: row.nested(readLine),
		eventIntervalMs: row.thousandths(),
		eventWeight: row.number(),
		events: row.number(),
		expectedTokens: row.number(),
	};
}

function packAnswers({ engine, failed, served, failingVms }: EngineAnswerCounts): number[] {
	return [engine, failed, served, failingVms];
}

function readAnswers(row: RowReader): EngineAnswerCounts {
	return {
		engine: row.number(),
		failed: row.number(),
		served: row.number(),
		failingVms: row.number(),
	};
}
