/**
 * Puts this VM's news together, in as many datagrams as they take.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { CostModel } from '../engines/cost-model.js';
import type { AnswerNews } from '../engines/fleet-health.js';
import type { IssuerWord, LimitWord } from '../limits/types.js';
import type { CrashRow } from '../quarantine/types.js';
import { cutNews } from './news-parts.js';
import type {
	Demand,
	EngineWork,
	HeardReport,
	NewsKind,
	PartRead,
	PeerNews,
	StoreReader,
} from './types.js';

/** Time between two news of a kind that tell costs, in milliseconds: they settle within seconds. */
const costsMs = 1000;

/** What differs between the kinds of news. */
export interface NewsContent {
	kind: NewsKind;
	work: EngineWork[];
	/** Those that fit are taken out. */
	reads: PartRead[];
	heard: HeardReport[];
	demand: Demand;
	vms: number;
	readers: StoreReader[];
	/** VMs whose costs, and answers of failing engines, are added to those that this VM has seen. */
	sumsOf: readonly string[];
	crashes: CrashRow[];
	limits: LimitWord[];
	issuer?: IssuerWord;
}

/** What is the same in all news of a moment. */
export interface NewsHead {
	configurationVersion: number;
	spacingMs: number;
}

export interface NewsComposerOptions {
	self: string;
	/** Where peers may fetch the configuration, as IP:PORT. */
	address: string;
	/** Tells this process from an earlier one of the same VM. */
	life: number;
	clock: Clock;
	costs: CostModel;
	/** Answers of engines that fail. */
	answers: AnswerNews;
}

export class NewsComposer {
	private readonly costsToldAt = new Map<NewsKind, number>();
	private lastSeq = 0;

	constructor(private readonly opts: NewsComposerOptions) {}

	/** Number of the last news. */
	get seq(): number {
		return this.lastSeq;
	}

	compose(content: NewsContent, head: NewsHead): PeerNews[] {
		const { work, reads, heard, sumsOf, crashes, limits, ...rest } = content;
		const { self, address, life } = this.opts;
		const costs = this.tellsCosts(rest.kind) ? this.opts.costs.export(sumsOf) : undefined;
		const answers = this.opts.answers.export(sumsOf);
		this.lastSeq++;
		return cutNews(work, reads, heard, { crashes, limits, answers }).map((part, at) => ({
			...rest,
			...part,
			...head,
			from: self,
			life,
			seq: this.lastSeq,
			address,
			leaving: false,
			heard,
			costs: at === 0 ? costs : undefined,
			answers: at === 0 ? answers : undefined,
			crashes: at === 0 ? crashes : [],
			limits: at === 0 ? limits : [],
		}));
	}

	private tellsCosts(kind: NewsKind): boolean {
		const now = this.opts.clock.monotonic();
		const isDue = now - (this.costsToldAt.get(kind) ?? -costsMs) >= costsMs;
		if (isDue) {
			this.costsToldAt.set(kind, now);
		}
		return isDue;
	}
}
