/**
 * Reports the counts of each window to the platform once. A report is stored before it is sent, so that a successor sends the same
 * one again or knows that none was sent. The write is conditional on the token, so a superseded holder cannot write.
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
 * Time after a takeover in which the counts of all VMs arrive; until then a window may be incomplete. Gossip tells them of the
 * new holder within a third of a second, and lost counts are sent again half a second later.
 */
const collectionMs = 2000;
/**
 * VMs that have not reported for this many windows are considered dead or isolated and not waited for. Their registrations may
 * outlive them by some 20 s.
 */
const maxSilentWindows = 2;
/** Time after the end of a window in which its last counts arrive. */
const settleMs = 150;
/** Time reserved for sending when waiting for counts; covers short outages of the store and a slow platform. */
const reportReserveMs = 4500;
/** Exponential back-off between failed attempts. */
const minRetryMs = 250;
const maxRetryMs = 1000;
/** Number of windows whose acceptance is remembered. */
const retainedWindows = 8;
/** A window is abandoned after this multiple of the allowed delay. */
const maxDelays = 2;

export interface UsageReporterOptions {
	store: Store;
	api: DutyApi;
	holder: DutyHolder;
	collector: UsageCollector;
	clock: Clock;
	log: Log;
	vm: string;
	/** Store keys of the duty holder and of the reports. */
	keys: { holder: string; reports: string };
	windowMs: number;
	/** Allowed time from the end of a window to its report, in milliseconds. */
	delayMs: number;
	/** Unix milliseconds of the fleet clock. */
	time: () => number;
	/** Names of the registered VMs, including this one. */
	vmNames: () => readonly string[];
	onReported: () => void;
	onReportedLate: () => void;
}

export class UsageReporter {
	private readonly records: UsageRecords;
	/** A write got no answer and may be executed later; raising the token makes it fail. */
	private mustRaiseToken = false;
	/** Windows that the platform accepted or that had no requests. */
	private readonly acceptedWindows = new Set<number>();
	private isBusy = false;
	private heldSince?: number;
	private retryAt = 0;
	private retryMs = minRetryMs;

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
			this.retryMs = isDone ? minRetryMs : Math.min(this.retryMs * 2, maxRetryMs);
			this.retryAt = isDone ? 0 : this.opts.clock.monotonic() + this.retryMs;
		} finally {
			this.isBusy = false;
		}
	}

	/** Handles a restored store; must be called before the holder gives up the duty. */
	handleStoreRestored(): void {
		this.records.handleStoreRestored();
	}

	/** @returns false when the step should be retried after a back-off */
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
		const reports = await this.loadReports();
		if (!reports) {
			return false;
		}
		const unsent = reports.find((report) => this.isPending(report.window));
		if (unsent) {
			return this.send(unsent);
		}
		return window === undefined || !this.isPending(window) || this.report(window);
	}

	/** The oldest window that is complete or has no time left to wait. */
	private nextWindow(): number | undefined {
		const { collector, windowMs, delayMs } = this.opts;
		const now = this.opts.time();
		const { heldForMs } = this;
		// After this long as holder, every live VM must have reported.
		const silentMs =
			windowMs * maxSilentWindows < heldForMs ? windowMs * maxSilentWindows : Infinity;
		const vms = this.opts.vmNames();
		const isComplete = (window: number) => collector.isComplete(window, vms, silentMs);
		for (const window of collector.knownWindows) {
			const ageMs = now - (window + 1) * windowMs;
			const isReady = heldForMs > collectionMs && ageMs > settleMs && isComplete(window);
			const isLate = ageMs > Math.max(settleMs, delayMs - reportReserveMs);
			if (this.isPending(window) && (isReady || isLate)) {
				return window;
			}
		}
		return undefined;
	}

	private get heldForMs(): number {
		const now = this.opts.clock.monotonic();
		return now - (this.heldSince ?? now);
	}

	private isPending(window: number): boolean {
		if (this.acceptedWindows.has(window) || this.records.isUncertain(window)) {
			return false;
		}
		const { windowMs, delayMs } = this.opts;
		const ageMs = this.opts.time() - (window + 1) * windowMs;
		return ageMs < delayMs * maxDelays;
	}

	/** Reports that this or an earlier holder sent or was about to send. */
	private async loadReports(): Promise<readonly UsageReport[] | undefined> {
		try {
			return await this.records.read();
		} catch (err) {
			return this.logStoreError(err);
		}
	}

	private async report(window: number): Promise<boolean> {
		const counts = this.opts.collector.countsOf(window);
		if (counts.length === 0) {
			this.markAccepted(window);
			return true;
		}
		const report = { window, counts };
		return (await this.persist(report)) && this.send(report);
	}

	/** @returns whether the report was stored under this VM's token */
	private async persist(report: UsageReport): Promise<boolean> {
		try {
			return await this.records.add(report);
		} catch (err) {
			this.mustRaiseToken = err instanceof StoreError && err.failure === storeFailures.unknown;
			this.logStoreError(err);
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
			this.markAccepted(window);
			this.recordDelay(window);
		}
		return answer === dutyAnswers.done;
	}

	private markAccepted(window: number): void {
		this.acceptedWindows.add(window);
		const oldest = window - retainedWindows;
		this.opts.collector.dropBefore(oldest);
		for (const other of this.acceptedWindows) {
			if (other < oldest) {
				this.acceptedWindows.delete(other);
			}
		}
	}

	private recordDelay(window: number): void {
		const { windowMs, delayMs } = this.opts;
		const ageMs = this.opts.time() - (window + 1) * windowMs;
		if (ageMs <= delayMs) {
			this.opts.onReported();
			return;
		}
		this.opts.log.warn('usage.late', { window, late_ms: Math.round(ageMs - delayMs) });
		this.opts.onReportedLate();
	}

	private logStoreError(err: unknown): undefined {
		if (!(err instanceof StoreError)) {
			throw err;
		}
		this.opts.log.warn('duty.store-failed', { reason: err.failure, error: err.message });
		return undefined;
	}
}
