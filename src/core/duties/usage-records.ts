/**
 * The last reports of usage as they stand in the store: what was sent to the platform, or was about to be, by any holder of the
 * duty. A store that came back from an older copy lacks the last of them. Then only the VM that held the duty at that moment knows
 * what was sent; any other gives up the windows that were over, since with its own counts it might contradict what the platform has.
 * @module
 */
import type { Log } from '../definitions.js';
import type { Store } from '../store/definitions.js';
import { eraOf } from '../store/revisions.js';
import type { DutyHolder } from './duty-holder.js';
import type { UsageReport } from './types.js';

/** Reports that stay in the store: those whose windows may still be sent again by another VM. */
const keptReports = 4;

/** What stands under the key. */
interface Stored {
	/** Era of the store in which it was written. */
	era: number;
	/** Earlier windows may have been reported without standing here. */
	doubtedBefore: number;
	reports: UsageReport[];
}

export interface UsageRecordsOptions {
	store: Store;
	holder: DutyHolder;
	log: Log;
	/** Keys of the store: of the holder, and of the reports. */
	keys: { holder: string; reports: string };
	/** Number of the window that is not over yet. */
	currentWindow: () => number;
}

export class UsageRecords {
	/** The oldest first; undefined until they were read under the holder's token. */
	private current?: readonly UsageReport[];
	private readUnder?: number;
	/** What this VM read or wrote last, whatever became of the store since. */
	private remembered: readonly UsageReport[] = [];
	private doubtedBefore = 0;
	/** This VM held the duty when the store came back: what it remembers is all there was. */
	private remembersAll = false;

	constructor(private readonly opts: UsageRecordsOptions) {}

	get isLoaded(): boolean {
		return this.current !== undefined;
	}

	/** They are read again before the next use. */
	invalidate(): void {
		this.current = undefined;
	}

	/** The store came back from an older copy; called before the holder gives up the duty for that. */
	handleStoreRestored(): void {
		this.invalidate();
		this.remembersAll = this.opts.holder.token !== undefined;
	}

	/** Whether the window may have been reported without this VM knowing with which counts. */
	isUncertain(window: number): boolean {
		const isKnown = this.current?.some((report) => report.window === window) ?? false;
		return window < this.doubtedBefore && !isKnown;
	}

	/**
	 * The last reports, the oldest first.
	 * @throws StoreError
	 */
	async read(): Promise<readonly UsageReport[]> {
		const { holder, store, keys } = this.opts;
		const { token } = holder;
		if (this.current && this.readUnder === token) {
			return this.current;
		}
		const item = await store.get(keys.reports);
		const stored = item && this.decode(item.value);
		this.noteDoubt(stored, token);
		this.current = this.withRemembered(stored?.reports ?? []);
		this.readUnder = token;
		return this.current;
	}

	/**
	 * Writes a report that is about to be sent, under this VM's token.
	 * @returns false when another VM has taken the duty, or this one a higher token
	 * @throws StoreError
	 */
	async add(report: UsageReport): Promise<boolean> {
		const { store, holder, keys } = this.opts;
		const { token } = holder;
		if (token === undefined || token !== this.readUnder || !this.current) {
			return false;
		}
		const reports = [...this.current, report].slice(-keptReports);
		const { doubtedBefore } = this;
		const stored: Stored = { era: eraOf(token), doubtedBefore, reports };
		const revision = await store.transact({
			expected: [{ key: keys.holder, revision: token }],
			write: [{ key: keys.reports, value: JSON.stringify(stored), lease: 0 }],
		});
		if (revision === undefined) {
			this.invalidate();
			return false;
		}
		this.current = reports;
		this.remembered = reports;
		return true;
	}

	private noteDoubt(stored: Stored | undefined, token: number | undefined): void {
		const era = eraOf(token ?? 0);
		// In era 0 no store ever came back from a copy.
		if (era === 0 || stored?.era === era) {
			this.doubtedBefore = Math.max(this.doubtedBefore, stored?.doubtedBefore ?? 0);
		} else if (!this.remembersAll) {
			this.doubtedBefore = this.opts.currentWindow();
			this.opts.log.warn('usage.doubted', { before: this.doubtedBefore, era: stored?.era });
		}
		this.remembersAll = false;
	}

	/** What this VM knows goes before what the store holds, which may be older. */
	private withRemembered(stored: readonly UsageReport[]): readonly UsageReport[] {
		const known = new Set(this.remembered.map(({ window }) => window));
		const others = stored.filter(({ window }) => !known.has(window));
		const all = [...others, ...this.remembered].sort((a, b) => a.window - b.window);
		this.remembered = all.slice(-keptReports);
		return this.remembered;
	}

	/** Another writer's text holds no report. */
	private decode(text: string): Stored | undefined {
		try {
			const stored = JSON.parse(text) as Stored;
			return Array.isArray(stored.reports) ? stored : undefined;
		} catch (err) {
			this.opts.log.error('usage.unreadable', { error: (err as Error).message });
			return undefined;
		}
	}
}
