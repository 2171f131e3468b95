/**
 * News between VMs as MessagePack.
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

/** Numbers that tell of the work at one engine. */
const workFields = 3;
/** Numbers that tell of the last report of one VM. */
const heardFields = 2;
/** Numbers that tell of one content at one engine. */
const crashFields = 3;
/** Numbers that tell of the speed of one engine. */
const speedFields = 5;
/** Weights and means of speeds are told in tenths and hundredths: their own noise is larger. */
const weightUnit = 0.1;
const meanUnit = 0.01;
/** In place of a content: the row tells only that the engine ended. */
const noContent = -1;

/** Kinds of news by the type of their message. */
const kinds: Readonly<Record<number, GossipKind>> = {
	[messageTypes.report]: gossipKinds.report,
	[messageTypes.group]: gossipKinds.group,
	[messageTypes.fleet]: gossipKinds.fleet,
};

export function encodeGossip(news: GossipMessage): Uint8Array {
	return msgpack.encode([
		wireFormatVersion,
		messageTypes[news.kind],
		news.from,
		news.incarnation,
		news.seq,
		news.configurationVersion,
		news.address,
		news.isLeaving,
		Math.round(news.intervalMs),
		news.vmCount,
		[news.engines.from, news.engines.to],
		news.work.flatMap((item) => [item.engine, item.running, Math.round(item.promptTokens)]),
		news.cacheUpdates.map((item) => [item.segment, item.engine, item.isPrefilled]),
		[toThousandths(news.demand.long), toThousandths(news.demand.short)],
		news.storeReaders.map(packReader),
		news.reportAcks.flatMap((item) => [item.vm, item.seq]),
		news.costs?.map(packCosts),
		news.answers?.map(packAnswers),
		news.crashes.flatMap(packCrash),
		news.limits.map(packLimit),
		news.issuer && [packIssuer(news.issuer)],
		news.speeds?.map(({ service, engines }) => [service, engines.flatMap(packSpeed)]),
	]);
}

/**
 * @param type of the message
 * @param row behind its type
 * @throws RowError when the row is no news
 */
export function decodeGossip(type: number, row: RowReader): GossipMessage {
	const kind = kinds[type];
	if (kind === undefined) {
		throw new RowError('a kind of news');
	}
	const news: GossipMessage = {
		kind,
		from: row.string(),
		incarnation: row.number(),
		seq: row.number(),
		configurationVersion: row.number(),
		address: row.string(),
		isLeaving: row.boolean(),
		intervalMs: row.number(),
		vmCount: row.number(),
		engines: row.nested((range) => ({ from: range.number(), to: range.number() })),
		work: readWork(row.numbers(workFields)),
		cacheUpdates: row.rows((item) => ({
			segment: item.number(),
			engine: item.number(),
			isPrefilled: item.boolean(),
		})),
		demand: row.nested((item) => ({ long: item.thousandths(), short: item.thousandths() })),
		storeReaders: row.rows(readReader),
		reportAcks: readHeard(row.numbers(heardFields)),
		costs: row.optionalRows(readCosts),
		answers: row.optionalRows(readAnswers),
		crashes: readCrashes(row.numbers(crashFields)),
		limits: row.rows(readLimit),
		issuer: row.optionalRows(readIssuer)?.[0],
		speeds: row.optionalRows(readSpeeds),
	};
	row.expectEnd();
	return news;
}

function readWork(fields: readonly number[]): EngineWork[] {
	const work: EngineWork[] = [];
	for (let at = 0; at < fields.length; at += workFields) {
		work.push({
			engine: fields[at] ?? 0,
			running: fields[at + 1] ?? 0,
			promptTokens: fields[at + 2] ?? 0,
		});
	}
	return work;
}

function readHeard(fields: readonly number[]): ReportAck[] {
	const heard: ReportAck[] = [];
	for (let at = 0; at < fields.length; at += heardFields) {
		heard.push({ vm: fields[at] ?? 0, seq: fields[at + 1] ?? 0 });
	}
	return heard;
}

function packCrash({ content, engine, isCleared }: CrashReport): number[] {
	return [content ?? noContent, engine, isCleared ? 1 : 0];
}

function readCrashes(fields: readonly number[]): CrashReport[] {
	const rows: CrashReport[] = [];
	for (let at = 0; at < fields.length; at += crashFields) {
		const content = fields[at] ?? noContent;
		rows.push({
			content: content === noContent ? undefined : content,
			engine: fields[at + 1] ?? 0,
			isCleared: fields[at + 2] === 1,
		});
	}
	return rows;
}

function packSpeed({ engine, reading, steps }: EnginePaceSums): number[] {
	return [engine, ...packPace(reading), ...packPace(steps)];
}

function packPace({ weight, sum }: PaceSum): number[] {
	return [
		Math.round(weight / weightUnit),
		Math.round(sum / Math.max(weight, weightUnit) / meanUnit),
	];
}

function readSpeeds(row: RowReader): ServicePaceSums {
	const service = row.number();
	const fields = row.numbers(speedFields);
	const engines: EnginePaceSums[] = [];
	for (let at = 0; at < fields.length; at += speedFields) {
		const reading = readPace(fields[at + 1], fields[at + 2]);
		const steps = readPace(fields[at + 3], fields[at + 4]);
		engines.push({ engine: fields[at] ?? 0, reading, steps });
	}
	return { service, engines };
}

function readPace(weight = 0, mean = 0): PaceSum {
	const known = weight * weightUnit;
	return { weight: known, sum: known * mean * meanUnit };
}

function packReader(reader: StoreReader): unknown[] {
	const { address, contactAgeMs, revision, digest, dutyToken } = reader;
	return [address, Math.round(contactAgeMs), revision, digest, dutyToken];
}

function readReader(row: RowReader): StoreReader {
	return {
		address: row.string(),
		contactAgeMs: row.number(),
		revision: row.number(),
		digest: row.number(),
		dutyToken: row.number(),
	};
}

function packIssuer({
	address,
	term,
	heartbeatSeq: beat,
	isResigned,
}: IssuerAnnouncement): unknown[] {
	return [address, term, beat, isResigned];
}

function readIssuer(row: RowReader): IssuerAnnouncement {
	return {
		address: row.string(),
		term: row.number(),
		heartbeatSeq: row.number(),
		isResigned: row.boolean(),
	};
}

/** Sums as whole numbers: the weights are fractions, the rest is large. */
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
