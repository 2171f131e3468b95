/**
 * Reports the counts of each window to the platform, once: what is about to be sent stands in the store first, so that a
 * VM that takes over sends the same again, or knows that nothing was sent. The write is bound to the holder's own token:
 * one that was overtaken cannot write.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { Store } from '../store/definitions.js';
import { StoreError, storeFailures } from '../store/definitions.js';
import type { DutyApi } from './definitions.js';
import { dutyAnswers } from './definitions.js';
import type { DutyHolder } from './duty-holder.js';
import type { UsageReport } from './types.js';
import type { UsageCollector } from './usage-collector.js';
import { UsageRecords } from './usage-records.js';

/**
 * A VM that takes the duty hears all counts within so long, in milliseconds: the others learn of it by news within a third
 * of a second, and tell again after half a second what was lost. Before, it takes its own counts for all there are.
 */
const hearsAllMs = 2000;
/**
 * VMs tell what they counted at least once a window: one that was silent for so many is dead, or cut off for longer than its
 * counts can be waited for. Its registration outlives it by some twenty seconds.
 */
const silentWindows = 2;
/** Counts are on their way for so long after the end of a window, in milliseconds. */
const settleMs = 150;
/**
 * Left for the report itself when counts are waited for, in milliseconds: longer than most outages of the store that begin
 * meanwhile, and than a few calls to a slow platform.
 */
const reportingMs = 4500;
/** Between two tries of a call that brought nothing, in milliseconds: doubled each time, up to the longest. */
const firstRetryMs = 250;
const mostRetryMs = 1000;
/** The platform's answers are remembered for so many windows. */
const rememberedWindows = 8;
/** A window is given up so many times the delay that is allowed after its end: its counts are of no use any more. */
const givenUpDelays = 2;

export interface UsageReporterOptions {
	store: Store;
	api: DutyApi;
	holder: DutyHolder;
	collector: UsageCollector;
	clock: Clock;
	log: Log;
	vm: string;
	/** Keys of the store: of the holder, and of the reports. */
	keys: { holder: string; reports: string };
	windowMs: number;
	/** A report is due so long after its window, in milliseconds. */
	delayMs: number;
	/** Unix milliseconds that all VMs agree on. */
	time: () => number;
	/** Names of the VMs that are registered, this one included. */
	vms: () => readonly string[];
	onReported: () => void;
	onReportedLate: () => void;
}

export class UsageReporter {
	private readonly records: UsageRecords;
	/** A write got no answer and may be done later; under a higher token it is refused then. */
	private mustRaiseToken = false;
	/** Windows that the platform has taken. */
	private readonly taken = new Set<number>();
	private isBusy = false;
	private heldSince?: number;
	private retryAt = 0;
	private retryMs = firstRetryMs;

	constructor(private readonly opts: UsageReporterOptions) {
		const { store, holder, log, keys, windowMs } = opts;
		const currentWindow = () => Math.floor(opts.time() / windowMs);
		this.records = new UsageRecords({ store, holder, log, keys, currentWindow });
	}

	/** Sends what is due; called several times a second. */
	async update(): Promise<void> {
		if (this.isBusy || this.opts.clock.monotonic() < this.retryAt) {
			return;
		}
		this.isBusy = true;
		try {
			const isDone = await this.step();
			this.retryMs = isDone ? firstRetryMs : Math.min(this.retryMs * 2, mostRetryMs);
			this.retryAt = isDone ? 0 : this.opts.clock.monotonic() + this.retryMs;
		} finally {
			this.isBusy = false;
		}
	}

	/** The store came back from an older copy; called before the holder gives up the duty for that. */
	handleStoreRestored(): void {
		this.records.handleStoreRestored();
	}

	/** @returns false when something should be tried again after a pause */
	private async step(): Promise<boolean> {
		const { holder, clock } = this.opts;
		if (holder.actingToken === undefined) {
			this.records.invalidate();
			this.heldSince = undefined;
			return true;
		}
		this.heldSince ??= clock.monotonic();
		if (this.mustRaiseToken && !(await this.raiseToken())) {
			return false;
		}
		const window = this.nextWindow();
		if (window === undefined && this.records.isLoaded) {
			return true;
		}
		const written = await this.read();
		if (!written) {
			return false;
		}
		const again = written.find((report) => this.isOpen(report.window));
		if (again) {
			return this.send(again);
		}
		return window === undefined || !this.isOpen(window) || this.report(window);
	}

	/** The oldest window whose counts are whole, or that cannot be waited for any longer. */
	private nextWindow(): number | undefined {
		const { collector, windowMs, delayMs } = this.opts;
		const now = this.opts.time();
		const { heldForMs } = this;
		// Since it holds the duty, it would have heard every VM that lives.
		const silentMs = windowMs * silentWindows < heldForMs ? windowMs * silentWindows : Infinity;
		const vms = this.opts.vms();
		const isComplete = (window: number) => collector.isComplete(window, vms, silentMs);
		for (const window of collector.knownWindows) {
			const agoMs = now - (window + 1) * windowMs;
			const isReady = heldForMs > hearsAllMs && agoMs > settleMs && isComplete(window);
			const isLate = agoMs > Math.max(settleMs, delayMs - reportingMs);
			if (this.isOpen(window) && (isReady || isLate)) {
				return window;
			}
		}
		return undefined;
	}

	private get heldForMs(): number {
		const now = this.opts.clock.monotonic();
		return now - (this.heldSince ?? now);
	}

	private isOpen(window: number): boolean {
		if (this.taken.has(window) || this.records.isUncertain(window)) {
			return false;
		}
		const { windowMs, delayMs } = this.opts;
		const agoMs = this.opts.time() - (window + 1) * windowMs;
		return agoMs < delayMs * givenUpDelays;
	}

	/** What was sent, or was about to be, by this VM or the holders before. */
	private async read(): Promise<readonly UsageReport[] | undefined> {
		try {
			return await this.records.read();
		} catch (err) {
			return this.storeFailed(err);
		}
	}

	private async report(window: number): Promise<boolean> {
		const counts = this.opts.collector.countsOf(window);
		if (counts.length === 0) {
			this.finished(window);
			return true;
		}
		const report = { window, counts };
		return (await this.write(report)) && this.send(report);
	}

	/** @returns whether the report stands in the store, written under this VM's token */
	private async write(report: UsageReport): Promise<boolean> {
		try {
			return await this.records.add(report);
		} catch (err) {
			this.mustRaiseToken = err instanceof StoreError && err.failure === storeFailures.unknown;
			this.storeFailed(err);
			return false;
		}
	}

	private async raiseToken(): Promise<boolean> {
		this.records.invalidate();
		this.mustRaiseToken = !(await this.opts.holder.raiseToken());
		return !this.mustRaiseToken;
	}

	private async send(report: UsageReport): Promise<boolean> {
		const { api, holder, vm, log } = this.opts;
		const token = holder.actingToken;
		if (token === undefined) {
			return false;
		}
		const answer = await api.reportUsage({ vm, token }, report);
		await holder.recordCallResult(answer !== dutyAnswers.unknown);
		const { window } = report;
		const requests = report.counts.reduce((sum, { started }) => sum + started, 0);
		const customers = report.counts.length;
		log.info('usage.reported', { window, customers, requests, token, answer });
		if (answer === dutyAnswers.refused) {
			holder.handleRefusal(token);
		}
		if (answer === dutyAnswers.done) {
			this.finished(window);
			this.noteDelay(window);
		}
		return answer === dutyAnswers.done;
	}

	private finished(window: number): void {
		this.taken.add(window);
		const oldest = window - rememberedWindows;
		this.opts.collector.dropBefore(oldest);
		for (const other of this.taken) {
			if (other < oldest) {
				this.taken.delete(other);
			}
		}
	}

	private noteDelay(window: number): void {
		const { windowMs, delayMs } = this.opts;
		const agoMs = this.opts.time() - (window + 1) * windowMs;
		if (agoMs <= delayMs) {
			this.opts.onReported();
			return;
		}
		this.opts.log.warn('usage.late', { window, late_ms: Math.round(agoMs - delayMs) });
		this.opts.onReportedLate();
	}

	private storeFailed(err: unknown): undefined {
		if (!(err instanceof StoreError)) {
			throw err;
		}
		this.opts.log.warn('duty.store-failed', { reason: err.failure, error: err.message });
		return undefined;
	}
}
