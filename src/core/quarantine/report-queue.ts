/**
 * Chooses the crash reports of each gossip message: new ones for a while, and those of quarantined traits again and again.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { Trait } from './traits.js';
import type { CrashReport } from './types.js';

/** How long a new report is included in gossip, in milliseconds; covers lost datagrams. */
const gossipMs = 2000;
/** Upper bound of reports per datagram (304 bytes, a fifth of it); the others go into the next ones. */
const maxReportsPerMessage = 16;
/** Interval at which reports of quarantined traits are repeated, in milliseconds, for VMs that start. */
const repeatIntervalMs = 250;

/** A report without its age, which it gets when it is sent. */
export interface QueuedReport extends Omit<CrashReport, 'ageMs'> {
	/** When the request failed, in monotonic milliseconds. */
	at: number;
}

/** A report that is included in gossip for a while. */
interface NewReport {
	report: QueuedReport;
	until: number;
	/** Number of messages that included it. */
	sent: number;
}

export interface ReportQueueOptions {
	clock: Clock;
	/** Number of engines that crashed with the trait. */
	countCrashes: (trait: Trait) => number;
	/** Reports to repeat as long as they are remembered. */
	getRepeated: () => readonly QueuedReport[];
}

export class ReportQueue {
	private newReports: NewReport[] = [];
	private repeatedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly opts: ReportQueueOptions) {}

	add(report: QueuedReport): void {
		this.newReports.push({ report, until: this.now + gossipMs, sent: 0 });
	}

	/** Reports for the next message: first those that were sent least often, of crashes, and of traits at most crashes. */
	take(): CrashReport[] {
		const { now } = this;
		this.newReports = this.newReports.filter(({ until }) => until > now);
		this.newReports.sort((a, b) => a.sent - b.sent || this.rank(b.report) - this.rank(a.report));
		const chosen = this.newReports.slice(0, maxReportsPerMessage);
		for (const item of chosen) {
			item.sent++;
		}
		const repeated = this.takeRepeated().slice(0, maxReportsPerMessage - chosen.length);
		const reports = [...chosen.map(({ report }) => report), ...repeated];
		return reports.map(({ at, ...report }) => ({ ...report, ageMs: now - at }));
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	private rank({ trait }: QueuedReport): number {
		return trait === undefined ? Number.MAX_SAFE_INTEGER : this.opts.countCrashes(trait);
	}

	private takeRepeated(): readonly QueuedReport[] {
		if (this.now - this.repeatedAt < repeatIntervalMs) {
			return [];
		}
		const repeated = this.opts.getRepeated();
		if (repeated.length > 0) {
			this.repeatedAt = this.now;
		}
		return repeated;
	}
}
