/**
 * Puts this VM's news together, in as many datagrams as they take.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { CostModel } from '../engines/cost-model.js';
import type { CustomerShares } from '../fairness/customer-shares.js';
import type { ServiceWork } from '../fairness/types.js';
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
/** The same for what customers ask for: a rush is known to a large fleet after three times this at the most. */
const customersMs = 500;

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
	/** VMs whose costs, and whose customers' work, are added to what this VM has seen. */
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
	shares: CustomerShares;
}

export class NewsComposer {
	private readonly costsToldAt = new Map<NewsKind, number>();
	private readonly customersToldAt = new Map<NewsKind, number>();
	private lastSeq = 0;

	constructor(private readonly opts: NewsComposerOptions) {}

	/** Number of the last news. */
	get seq(): number {
		return this.lastSeq;
	}

	compose(content: NewsContent, head: NewsHead): PeerNews[] {
		const { work, reads, heard, sumsOf, crashes, limits, ...rest } = content;
		const { self, address, life, costs, shares } = this.opts;
		const tellsCosts = this.isDue(this.costsToldAt, rest.kind, costsMs);
		const tellsCustomers = this.isDue(this.customersToldAt, rest.kind, customersMs);
		const sums = {
			costs: tellsCosts ? costs.export(sumsOf) : undefined,
			customers: tellsCustomers ? shares.export(sumsOf) : undefined,
		};
		const rows = {
			crashes: crashes.length,
			limits: limits.length,
			customers: rowsOf(sums.customers),
		};
		this.lastSeq++;
		return cutNews(work, reads, heard, rows).map((part, at) => ({
			...rest,
			...part,
			...head,
			from: self,
			life,
			seq: this.lastSeq,
			address,
			leaving: false,
			heard,
			...(at === 0 ? sums : {}),
			crashes: at === 0 ? crashes : [],
			limits: at === 0 ? limits : [],
		}));
	}

	private isDue(toldAt: Map<NewsKind, number>, kind: NewsKind, everyMs: number): boolean {
		const now = this.opts.clock.monotonic();
		const isDue = now - (toldAt.get(kind) ?? -everyMs) >= everyMs;
		if (isDue) {
			toldAt.set(kind, now);
		}
		return isDue;
	}
}

function rowsOf(customers: readonly ServiceWork[] = []): number {
	return customers.reduce((sum, work) => sum + work.customers.length, 0);
}
