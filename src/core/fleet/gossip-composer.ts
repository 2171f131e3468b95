/**
 * Builds this VM's gossip messages, split into as many datagrams as needed.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { CostModel } from '../engines/cost-model.js';
import type { ServicePaceSums } from '../engines/engine-paces.js';
import type { AnswerGossip } from '../engines/fleet-health.js';
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

/** Minimum interval between messages of a kind that carry cost estimates, which change slowly. */
const costsIntervalMs = 1000;
/** The same for paces of engines; short, since a slow engine has to be known fleet-wide after three hops. */
const pacesIntervalMs = 250;
/** Maximum number of engine paces in one message. */
const maxPaces = 24;

/** Content that differs between kinds of gossip. */
export interface GossipContent {
	kind: GossipKind;
	work: EngineWork[];
	/** Queue of updates; those that fit are removed. */
	cacheUpdates: CacheUpdate[];
	reportAcks: ReportAck[];
	demand: Demand;
	vmCount: number;
	storeReaders: StoreReader[];
	/** VMs whose costs, paces and engine answers are added to those of this VM. */
	includedVms: readonly string[];
	crashes: CrashReport[];
	limits: LimitUpdate[];
	issuer?: IssuerAnnouncement;
}

/** Content that all kinds of gossip share. */
export interface GossipHeader {
	configurationVersion: number;
	intervalMs: number;
}

export interface GossipComposerOptions {
	self: string;
	/** Where peers fetch the configuration, as IP:PORT. */
	address: string;
	/** Distinguishes this process from earlier ones of the same VM. */
	incarnation: number;
	clock: Clock;
	costs: CostModel;
	/** Answers of failing engines. */
	answers: AnswerGossip;
}

export class GossipComposer {
	private readonly costsSentAt = new Map<GossipKind, number>();
	private readonly pacesSentAt = new Map<GossipKind, number>();
	private lastSeq = 0;

	constructor(private readonly opts: GossipComposerOptions) {}

	/** Sequence number of the last message. */
	get seq(): number {
		return this.lastSeq;
	}

	compose(content: GossipContent, header: GossipHeader): GossipMessage[] {
		const { work, cacheUpdates, reportAcks, includedVms, crashes, limits, ...rest } = content;
		const { self, address, incarnation } = this.opts;
		const { kind } = rest;
		const answers = this.opts.answers.export(includedVms);
		const costs = this.isDue(this.costsSentAt, kind, costsIntervalMs)
			? this.opts.costs.export(includedVms)
			: undefined;
		const paces = this.isDue(this.pacesSentAt, kind, pacesIntervalMs)
			? this.opts.costs.paces.export(includedVms, this.now, maxPaces)
			: undefined;
		const rowCounts = {
			crashes: crashes.length,
			limits: limits.length,
			answers: answers.length,
			paces: countPaceRows(paces),
		};
		this.lastSeq++;
		return splitIntoDatagrams(work, cacheUpdates, reportAcks, rowCounts).map((slice, index) => ({
			...rest,
			...slice,
			...header,
			from: self,
			incarnation,
			seq: this.lastSeq,
			address,
			isLeaving: false,
			reportAcks,
			costs: index === 0 ? costs : undefined,
			answers: index === 0 ? answers : undefined,
			paces: index === 0 ? paces : undefined,
			crashes: index === 0 ? crashes : [],
			limits: index === 0 ? limits : [],
		}));
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	/** Returns whether the interval has passed for a kind of gossip, and restarts it if so. */
	private isDue(sentAt: Map<GossipKind, number>, kind: GossipKind, intervalMs: number): boolean {
		const isDue = this.now - (sentAt.get(kind) ?? -intervalMs) >= intervalMs;
		if (isDue) {
			sentAt.set(kind, this.now);
		}
		return isDue;
	}
}

function countPaceRows(paces: readonly ServicePaceSums[] = []): number {
	return paces.reduce((rows, { engines }) => rows + engines.length, 0);
}
