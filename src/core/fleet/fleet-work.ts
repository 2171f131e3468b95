/**
 * Sums of the work at each engine: of this VM, of its group and of the whole fleet, updated with each message.
 * @module
 */
import type { GossipSource } from './gossip-source.js';
import type { EngineRef, EngineWork, GossipMessage, ReportAck } from './types.js';
import { gossipKinds } from './types.js';
import type { WorkChange } from './work-sums.js';
import { WorkSums } from './work-sums.js';

/** Reports that are kept until they are acknowledged. */
const maxPendingReports = 100;

export class FleetWork {
	private readonly own = new WorkSums();
	/** Work of this VM and its members. */
	private readonly group = new WorkSums();
	/** Work of the whole fleet, updated incrementally since placement reads it for every candidate engine. */
	private readonly totals = new WorkSums();
	/** Own work as of each unacknowledged report, by sequence number. */
	private readonly pendingReports = new Map<number, Map<EngineRef, EngineWork>>();

	/** Returns the work of the whole fleet at an engine. */
	getWork(engine: EngineRef): EngineWork {
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

	/** Remembers the work sent in a report until the report is acknowledged. */
	recordReport(seq: number, work: readonly EngineWork[]): void {
		this.pendingReports.set(seq, new Map(work.map((item) => [item.engine, item])));
		this.dropReports(seq - maxPendingReports);
	}

	/** Discards pending reports when the aggregator changes. */
	clearReports(): void {
		this.pendingReports.clear();
	}

	/**
	 * Replaces a source's work at the engines that a message covers.
	 * @param ack of this VM's last report that the sums include; undefined when they include none
	 * @returns whether the source's work changed
	 */
	merge(source: GossipSource, message: GossipMessage, ack: ReportAck | undefined): boolean {
		const reported = this.acknowledgedReport(ack);
		let isChanged = false;
		for (const received of message.work) {
			const item = reported ? subtract(received, reported.get(received.engine)) : received;
			isChanged = this.replace(source, item) || isChanged;
		}
		return this.removeUnlisted(source, message) || isChanged;
	}

	/** @returns whether the work at the engine changed */
	private replace(source: GossipSource, item: EngineWork): boolean {
		const previous = source.work.get(item.engine);
		if (previous?.running === item.running && previous.promptTokens === item.promptTokens) {
			return false;
		}
		if (previous) {
			this.addFrom(source, previous, -1);
		}
		this.addFrom(source, item);
		source.work.set(item.engine, item);
		return true;
	}

	/**
	 * Removes a source's work at engines that a message covers but does not list.
	 * @returns whether there was any
	 */
	private removeUnlisted(source: GossipSource, message: GossipMessage): boolean {
		const known = source.workInRange(message.engines);
		if (known.length === message.work.length) {
			return false;
		}
		const listed = new Set(message.work.map(({ engine }) => engine));
		for (const item of known.filter(({ engine }) => !listed.has(engine))) {
			this.addFrom(source, item, -1);
			source.work.delete(item.engine);
		}
		return true;
	}

	/** Removes all work of a source. */
	removeSource(source: GossipSource): void {
		for (const item of source.work.values()) {
			this.addFrom(source, item, -1);
		}
		source.work.clear();
	}

	removeEngine(engine: EngineRef): void {
		for (const sums of [this.own, this.group, this.totals]) {
			sums.removeEngine(engine);
		}
		for (const report of this.pendingReports.values()) {
			report.delete(engine);
		}
	}

	/**
	 * Returns the acknowledged report, to be subtracted from an aggregator's sums, since this VM adds its current work itself.
	 * The report stays pending because later datagrams of the round acknowledge it again.
	 */
	private acknowledgedReport(ack: ReportAck | undefined): Map<EngineRef, EngineWork> | undefined {
		const reported = ack && this.pendingReports.get(ack.seq);
		if (reported) {
			this.dropReports(ack.seq - 1);
		}
		return reported;
	}

	private dropReports(lastSeq: number): void {
		for (const seq of this.pendingReports.keys()) {
			if (seq > lastSeq) {
				break;
			}
			this.pendingReports.delete(seq);
		}
	}

	private addFrom(source: GossipSource, item: EngineWork, sign = 1): void {
		this.totals.add(item.engine, item, sign);
		if (source.kind === gossipKinds.report) {
			this.group.add(item.engine, item, sign);
		}
	}
}

function subtract(item: EngineWork, other: EngineWork | undefined): EngineWork {
	return {
		engine: item.engine,
		running: item.running - (other?.running ?? 0),
		promptTokens: item.promptTokens - (other?.promptTokens ?? 0),
	};
}
