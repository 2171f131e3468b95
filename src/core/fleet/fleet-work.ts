/**
 * The fleet's work at each engine as this VM knows it, kept up as news come: its own, that of its group, and that of all.
 * @module
 */
import type { NewsSource } from './news-source.js';
import type { EngineRef, EngineWork, HeardReport, PeerNews } from './types.js';
import { newsKinds } from './types.js';
import type { WorkChange } from './work-sums.js';
import { WorkSums } from './work-sums.js';

/** Reports whose acknowledgement may still come. */
const maxSentReports = 100;

export class FleetWork {
	private readonly own = new WorkSums();
	/** Own work and that of the VMs that report here. */
	private readonly group = new WorkSums();
	/**
	 * Work of the whole fleet, kept up as news come: summed up for each question, a placement among 82 engines
	 * and 99 VMs took 0.88 ms, and takes 0.07 so (single decisions in a loop, warm).
	 */
	private readonly totals = new WorkSums();
	/** Own work as it was told in each report that is not acknowledged yet, by its number. */
	private readonly sentReports = new Map<number, Map<EngineRef, EngineWork>>();

	/** Work of the whole fleet at an engine. */
	at(engine: EngineRef): EngineWork {
		return this.totals.of(engine);
	}

	/** Adds to this VM's own work at an engine. */
	change(engine: EngineRef, change: WorkChange): void {
		for (const sums of [this.own, this.group, this.totals]) {
			sums.add(engine, change);
		}
	}

	ownRows(): EngineWork[] {
		return this.own.rows();
	}

	groupRows(): EngineWork[] {
		return this.group.rows();
	}

	totalRows(): EngineWork[] {
		return this.totals.rows();
	}

	/** Own work was told in a report of this number. */
	reported(seq: number, work: readonly EngineWork[]): void {
		this.sentReports.set(seq, new Map(work.map((item) => [item.engine, item])));
		this.forgetReports(seq - maxSentReports);
	}

	/** Reports go to another VM from now on. */
	clearReports(): void {
		this.sentReports.clear();
	}

	/**
	 * Takes in what a VM tells of the engines that its news speak for, in place of what it told before.
	 * @param heard the last report of this VM that the news contain; undefined when they contain none
	 * @returns whether it differs from what the VM told before
	 */
	take(source: NewsSource, news: PeerNews, heard: HeardReport | undefined): boolean {
		const before = source.takeWithin(news);
		const rows = this.withoutReported(news, heard);
		for (const item of before) {
			this.addOf(source, item, -1);
		}
		for (const item of rows) {
			this.addOf(source, item);
			source.work.set(item.engine, item);
		}
		return differ(before, rows);
	}

	/** What a VM told no longer counts. */
	drop(source: NewsSource): void {
		for (const item of source.work.values()) {
			this.addOf(source, item, -1);
		}
		source.work.clear();
	}

	/** The engine is gone. */
	forget(engine: EngineRef): void {
		for (const sums of [this.own, this.group, this.totals]) {
			sums.forget(engine);
		}
		for (const report of this.sentReports.values()) {
			report.delete(engine);
		}
	}

	/**
	 * Sums for members contain what this VM had reported; its work of now is counted here. The report itself is kept: it
	 * is taken off each part of the news, and repeated ones.
	 */
	private withoutReported(news: PeerNews, heard: HeardReport | undefined): EngineWork[] {
		const reported = heard && this.sentReports.get(heard.seq);
		if (!reported) {
			return news.work;
		}
		this.forgetReports(heard.seq - 1);
		return news.work.map((item) => difference(item, reported.get(item.engine)));
	}

	private forgetReports(upTo: number): void {
		for (const seq of this.sentReports.keys()) {
			if (seq > upTo) {
				break;
			}
			this.sentReports.delete(seq);
		}
	}

	private addOf(source: NewsSource, item: EngineWork, sign = 1): void {
		this.totals.add(item.engine, item, sign);
		if (source.kind === newsKinds.report) {
			this.group.add(item.engine, item, sign);
		}
	}
}

/** Whether two lists of work at engines, in any order, are not the same. */
function differ(before: readonly EngineWork[], now: readonly EngineWork[]): boolean {
	if (before.length !== now.length) {
		return true;
	}
	const byEngine = new Map(before.map((item) => [item.engine, item]));
	return now.some(({ engine, running, promptTokens }) => {
		const other = byEngine.get(engine);
		return other?.running !== running || other.promptTokens !== promptTokens;
	});
}

function difference(item: EngineWork, other: EngineWork | undefined): EngineWork {
	return {
		engine: item.engine,
		running: item.running - (other?.running ?? 0),
		promptTokens: item.promptTokens - (other?.promptTokens ?? 0),
	};
}
