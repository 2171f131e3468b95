/**
 * News between VMs as MessagePack.
 * @module
 */
import * as msgpack from '@msgpack/msgpack';
import type { CostSums } from '../../core/engines/cost-model.js';
import type { LineSums } from '../../core/engines/estimators.js';
import type {
	EngineWork,
	HeardReport,
	NewsKind,
	PeerNews,
	StoreReader,
} from '../../core/fleet/types.js';
import { newsKinds } from '../../core/fleet/types.js';
import { memoryBlockTokens } from '../../core/fleet/work-sums.js';
import type { IssuerWord } from '../../core/limits/types.js';
import type { CrashRow } from '../../core/quarantine/types.js';
import { packLimit, readLimit } from './limit-codec.js';
import { messageFormat, messageTypes } from './message-types.js';
import { RowError, type RowReader, toThousandths } from './row-reader.js';

/** Numbers that tell of the work at one engine. */
const workFields = 4;
/** Numbers that tell of the last report of one VM. */
const heardFields = 2;
/** Numbers that tell of one content at one engine. */
const crashFields = 3;
/** In place of a content: the row tells only that the engine ended. */
const noContent = -1;

/** Kinds of news by the type of their message. */
const kinds: Readonly<Record<number, NewsKind>> = {
	[messageTypes.report]: newsKinds.report,
	[messageTypes.group]: newsKinds.group,
	[messageTypes.fleet]: newsKinds.fleet,
};

export function encodeNews(news: PeerNews): Uint8Array {
	return msgpack.encode([
		messageFormat,
		messageTypes[news.kind],
		news.from,
		news.life,
		news.seq,
		news.configurationVersion,
		news.address,
		news.leaving,
		Math.round(news.spacingMs),
		news.vms,
		[news.engines.from, news.engines.to],
		news.work.flatMap(packWork),
		news.reads.map((item) => [item.part, item.engine, item.isDone]),
		[toThousandths(news.demand.long), toThousandths(news.demand.short)],
		news.readers.map(packReader),
		news.heard.flatMap((item) => [item.vm, item.seq]),
		news.costs?.map(packCosts),
		news.crashes.flatMap(packCrash),
		news.limits.map(packLimit),
		news.issuer && [packIssuer(news.issuer)],
	]);
}

/**
 * @param type of the message
 * @param row behind its type
 * @throws RowError when the row is no news
 */
export function decodeNews(type: number, row: RowReader): PeerNews {
	const kind = kinds[type];
	if (kind === undefined) {
		throw new RowError('a kind of news');
	}
	const news: PeerNews = {
		kind,
		from: row.text(),
		life: row.number(),
		seq: row.number(),
		configurationVersion: row.number(),
		address: row.text(),
		leaving: row.flag(),
		spacingMs: row.number(),
		vms: row.number(),
		engines: row.one((range) => ({ from: range.number(), to: range.number() })),
		work: readWork(row.numbers(workFields)),
		reads: row.rows((item) => ({
			part: item.number(),
			engine: item.number(),
			isDone: item.flag(),
		})),
		demand: row.one((item) => ({ long: item.thousandths(), short: item.thousandths() })),
		readers: row.rows(readReader),
		heard: readHeard(row.numbers(heardFields)),
		costs: row.optionalRows(readCosts),
		crashes: readCrashes(row.numbers(crashFields)),
		limits: row.rows(readLimit),
		issuer: row.optionalRows(readIssuer)?.[0],
	};
	row.end();
	return news;
}

function packWork({ engine, running, promptTokens, memoryTokens }: EngineWork): number[] {
	const blocks = Math.round(memoryTokens / memoryBlockTokens);
	return [engine, running, Math.round(promptTokens), blocks];
}

function readWork(fields: readonly number[]): EngineWork[] {
	const work: EngineWork[] = [];
	for (let at = 0; at < fields.length; at += workFields) {
		work.push({
			engine: fields[at] ?? 0,
			running: fields[at + 1] ?? 0,
			promptTokens: fields[at + 2] ?? 0,
			memoryTokens: (fields[at + 3] ?? 0) * memoryBlockTokens,
		});
	}
	return work;
}

function readHeard(fields: readonly number[]): HeardReport[] {
	const heard: HeardReport[] = [];
	for (let at = 0; at < fields.length; at += heardFields) {
		heard.push({ vm: fields[at] ?? 0, seq: fields[at + 1] ?? 0 });
	}
	return heard;
}

function packCrash({ content, engine, isCleared }: CrashRow): number[] {
	return [content ?? noContent, engine, isCleared ? 1 : 0];
}

function readCrashes(fields: readonly number[]): CrashRow[] {
	const rows: CrashRow[] = [];
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

function packReader(reader: StoreReader): unknown[] {
	const { address, contactAgeMs, revision, digest, dutyToken } = reader;
	return [address, Math.round(contactAgeMs), revision, digest, dutyToken];
}

function readReader(row: RowReader): StoreReader {
	return {
		address: row.text(),
		contactAgeMs: row.number(),
		revision: row.number(),
		digest: row.number(),
		dutyToken: row.number(),
	};
}

function packIssuer({ address, term, beat, isResigned }: IssuerWord): unknown[] {
	return [address, term, beat, isResigned];
}

function readIssuer(row: RowReader): IssuerWord {
	return { address: row.text(), term: row.number(), beat: row.number(), isResigned: row.flag() };
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
		toThousandths(sums.eventMs),
		sums.eventWeight,
		Math.round(sums.events),
		Math.round(sums.expectedTokens),
	];
}

function readCosts(row: RowReader): CostSums {
	return {
		service: row.number(),
		reading: row.one(readLine),
		copying: row.one(readLine),
		eventMs: row.thousandths(),
		eventWeight: row.number(),
		events: row.number(),
		expectedTokens: row.number(),
	};
}
