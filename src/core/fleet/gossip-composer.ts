/**
 * Puts this VM's news together, in as many datagrams as they take.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { CostModel } from '../engines/cost-model.js';
import type { SpeedSums } from '../engines/engine-speeds.js';
import type { AnswerNews } from '../engines/fleet-health.js';
import type { IssuerAnnouncement, LimitUpdate } from '../limits/types.js';
import type { CrashReport } from '../quarantine/types.js';
import { splitIntoDatagrams } from './gossip-splitter.js';
import type {
	CacheUpdate,
	Demand,
	EngineWork,
	GossipKind,
	GossipMessage,
	ReportAck,
	StoreReader,
} from './types.js';

/** Time between two news of a kind that tell costs, in milliseconds: they settle within seconds. */
const costsMs = 1000;
/**
 * The same for speeds of single engines: one that turns slow is known to all within a second or so, over three hops.
 */
const speedsMs = 250;
/** Speeds that go along at once; with 24 engines a message, 90 engines are told of within a second. */
const mostSpeeds = 24;

/** What differs between the kinds of news. */
export interface GossipContent {
	kind: GossipKind;
	work: EngineWork[];
	/** Those that fit are taken out. */
	cacheUpdates: CacheUpdate[];
	reportAcks: ReportAck[];
	demand: Demand;
	vmCount: number;
	storeReaders: StoreReader[];
	/** VMs whose costs, and answers of failing engines, are added to those that this VM has seen. */
	includedVms: readonly string[];
	crashes: CrashReport[];
	limits: LimitUpdate[];
	issuer?: IssuerAnnouncement;
}

/** What is the same in all news of a moment. */
export interface GossipHeader {
	configurationVersion: number;
	intervalMs: number;
}

export interface GossipComposerOptions {
	self: string;
	/** Where peers may fetch the configuration, as IP:PORT. */
	address: string;
	/** Tells this process from an earlier one of the same VM. */
	incarnation: number;
	clock: Clock;
	costs: CostModel;
	/** Answers of engines that fail. */
	answers: AnswerNews;
}

export class GossipComposer {
	private readonly costsToldAt = new Map<GossipKind, number>();
	private readonly speedsToldAt = new Map<GossipKind, number>();
	private lastSeq = 0;

	constructor(private readonly opts: GossipComposerOptions) {}

	/** Number of the last news. */
	get seq(): number {
		return this.lastSeq;
	}

	compose(content: GossipContent, head: GossipHeader): GossipMessage[] {
		const {
			work,
			cacheUpdates: reads,
			reportAcks,
			includedVms: sumsOf,
			crashes,
			limits,
			...rest
		} = content;
		const { self, address, incarnation } = this.opts;
		const { kind } = rest;
		const answers = this.opts.answers.export(sumsOf);
		const costs = this.isDue(this.costsToldAt, kind, costsMs)
			? this.opts.costs.export(sumsOf)
			: undefined;
		const speeds = this.isDue(this.speedsToldAt, kind, speedsMs)
			? this.opts.costs.speeds.export(sumsOf, this.now, mostSpeeds)
			: undefined;
		const rows = {
			crashes: crashes.length,
			limits: limits.length,
			answers: answers.length,
			speeds: speedRows(speeds),
		};
		this.lastSeq++;
		return splitIntoDatagrams(work, reads, reportAcks, rows).map((part, at) => ({
			...rest,
			...part,
			...head,
			from: self,
			incarnation,
			seq: this.lastSeq,
			address,
			isLeaving: false,
			reportAcks,
			costs: at === 0 ? costs : undefined,
			answers: at === 0 ? answers : undefined,
			speeds: at === 0 ? speeds : undefined,
			crashes: at === 0 ? crashes : [],
			limits: at === 0 ? limits : [],
		}));
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	/** Whether what is told each `everyMs` is to go along with news of a kind. */
	private isDue(toldAt: Map<GossipKind, number>, kind: GossipKind, everyMs: number): boolean {
		const isDue = this.now - (toldAt.get(kind) ?? -everyMs) >= everyMs;
		if (isDue) {
			toldAt.set(kind, this.now);
		}
		return isDue;
	}
}

function speedRows(speeds: readonly SpeedSums[] = []): number {
	return speeds.reduce((rows, { engines }) => rows + engines.length, 0);
}
