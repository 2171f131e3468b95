/**
 * The last usage reports in the store: those that a duty holder sent or was about to send. After the store was restored from an
 * older copy, only the VM that held the duty knows what was sent; any other VM skips the windows that had ended.
 * @module
 */
import type { Log } from '../definitions.js';
import type { Store } from '../store/definitions.js';
import { eraOf } from '../store/revisions.js';
import type { DutyHolder } from './duty-holder.js';
import type { CustomerCount, UsageReport } from './types.js';

/** Covers all windows that another VM may still have to send again. */
const maxReports = 4;

/** Value of the store key. */
interface StoredReports {
	/** Era of the store at the time of the write. */
	era: number;
	/** Windows before this one may have been reported although they are not listed. */
	doubtedBefore: number;
	reports: UsageReport[];
}

export interface UsageRecordsOptions {
	store: Store;
	holder: DutyHolder;
	log: Log;
	/** Store keys of the duty holder and of the reports. */
	keys: { holder: string; reports: string };
	/** Index of the window that has not ended yet. */
	currentWindow: () => number;
}

export class UsageRecords {
	/** Oldest first; undefined until read under the current token. */
	private loaded?: readonly UsageReport[];
	private loadedToken?: number;
	/** Reports that this VM last read or wrote, kept even if the store loses them. */
	private knownReports: readonly UsageReport[] = [];
	private uncertainBefore = 0;
	/** This VM held the duty when the store was restored, so its known reports are complete. */
	private knowsAllReports = false;

	constructor(private readonly opts: UsageRecordsOptions) {}

	get isLoaded(): boolean {
		return this.loaded !== undefined;
	}

	/** Makes the next read fetch the reports from the store. */
	invalidate(): void {
		this.loaded = undefined;
	}

	/** Handles a restored store; must be called before the holder gives up the duty. */
	handleStoreRestored(): void {
		this.invalidate();
		this.knowsAllReports = this.opts.holder.token !== undefined;
	}

	/** Whether the window may have been reported with counts unknown to this VM. */
	isUncertain(window: number): boolean {
		const isKnown = this.loaded?.some((report) => report.window === window) ?? false;
		return window < this.uncertainBefore && !isKnown;
	}

	/**
	 * Returns the last reports, oldest first.
	 * @throws StoreError
	 */
	async read(): Promise<readonly UsageReport[]> {
		const { holder, store, keys } = this.opts;
		const { token } = holder;
		if (this.loaded && this.loadedToken === token) {
			return this.loaded;
		}
		const item = await store.get(keys.reports);
		const stored = item && this.decode(item.value);
		this.updateUncertainty(stored, token);
		this.loaded = this.mergeKnown(stored?.reports ?? []);
		this.loadedToken = token;
		return this.loaded;
	}

	/**
	 * Stores a report before it is sent, under the condition that this VM's token is still current.
	 * @returns false when another VM has acquired the duty or the token was raised
	 * @throws StoreError
	 */
	async add(report: UsageReport): Promise<boolean> {
		const { store, holder, keys } = this.opts;
		const { token } = holder;
		if (token === undefined || token !== this.loadedToken || !this.loaded) {
			return false;
		}
		const reports = [...this.loaded, report].slice(-maxReports);
		const { uncertainBefore: doubtedBefore } = this;
		const stored: StoredReports = { era: eraOf(token), doubtedBefore, reports };
		const revision = await store.transact({
			expected: [{ key: keys.holder, revision: token }],
			write: [{ key: keys.reports, value: JSON.stringify(stored), lease: 0 }],
		});
		if (revision === undefined) {
			this.invalidate();
			return false;
		}
		this.loaded = reports;
		this.knownReports = reports;
		return true;
	}

	private updateUncertainty(stored: StoredReports | undefined, token: number | undefined): void {
		const era = eraOf(token ?? 0);
		// In era 0 the store has never been restored.
		if (era === 0 || stored?.era === era) {
			this.uncertainBefore = Math.max(this.uncertainBefore, stored?.doubtedBefore ?? 0);
		} else if (!this.knowsAllReports) {
			this.uncertainBefore = this.opts.currentWindow();
			this.opts.log.warn('usage.doubted', { before: this.uncertainBefore, era: stored?.era });
		}
		this.knowsAllReports = false;
	}

	/** Known reports take precedence over stored ones, which may be older. */
	private mergeKnown(stored: readonly UsageReport[]): readonly UsageReport[] {
		const known = new Set(this.knownReports.map(({ window }) => window));
		const others = stored.filter(({ window }) => !known.has(window));
		const all = [...others, ...this.knownReports].sort((a, b) => a.window - b.window);
		this.knownReports = all.slice(-maxReports);
		return this.knownReports;
	}

	private isReadable(report: UsageReport | null): boolean {
		const isValid =
			Number.isSafeInteger(report?.window) &&
			Array.isArray(report?.counts) &&
			report.counts.every(isCount);
		if (!isValid) {
			this.opts.log.error('usage.unreadable', { error: `no report: ${JSON.stringify(report)}` });
		}
		return isValid;
	}

	/** An unreadable value counts as no reports. */
	private decode(text: string): StoredReports | undefined {
		try {
			const stored = JSON.parse(text) as StoredReports;
			const doubtedBefore = Number.isSafeInteger(stored.doubtedBefore) ? stored.doubtedBefore : 0;
			const reports = stored.reports.filter((report) => this.isReadable(report));
			return { era: stored.era, doubtedBefore, reports };
		} catch (err) {
			this.opts.log.error('usage.unreadable', { error: (err as Error).message });
			return undefined;
		}
	}
}

function isCount(count: CustomerCount | null): boolean {
	return typeof count?.customer === 'string' && Number.isSafeInteger(count.started);
}
