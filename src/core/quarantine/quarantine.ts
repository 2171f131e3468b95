/**
 * Keeps requests that crash engines from the engines, whichever VM they come to and under whatever id.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { Engine } from '../engines/engine.js';
import type { EngineRef } from '../fleet/types.js';
import type { CallerRequest } from '../relay/definitions.js';
import type { ContentHash, HeadHash } from './content-hash.js';
import { extractHeadHash, formatContentHash, hashContent, hashHead } from './content-hash.js';
import { findCrashCauses } from './crash-causes.js';
import { CrashLedger, crashRetentionMs } from './crash-ledger.js';

/** A request whose content two engines broke off is not sent on by the VM itself: if its caller asks again, it is looked at anew. */
const breaksToStop = 2;

export interface QuarantineOptions {
	clock: Clock;
	log: Log;
	/** Peers should hear of it soon. */
	onNews: () => void;
	/** Whether it is certain that nothing listens at an engine's address. */
	isPortClosed: (address: string) => Promise<boolean>;
}

/** Why a request is kept from engines. */
export interface QuarantineRefusal {
	content: ContentHash;
	/** When its content is looked at anew at the latest, in seconds. */
	retryAfterS: number;
}

export class Quarantine {
	readonly ledger: CrashLedger;
	/** By what VMs saw. */
	private causes: ReadonlySet<ContentHash> = new Set();
	/** By what the store holds, until then in monotonic milliseconds. */
	private readonly recorded = new Map<ContentHash, number>();
	/** Of all contents that broke at engines or are kept from them. */
	private heads: ReadonlySet<HeadHash> = new Set();
	private hasOwnNews = false;
	/** Engines that are being asked whether they listen. */
	private readonly asked = new Set<EngineRef>();

	constructor(private readonly opts: QuarantineOptions) {
		this.ledger = new CrashLedger({
			clock: opts.clock,
			onChanged: () => this.workOut(),
			onLocalChange: () => {
				this.hasOwnNews = true;
				opts.onNews();
			},
		});
	}

	/** Whether no content broke at any engine, nor is any kept from them. */
	get isEmpty(): boolean {
		return this.heads.size === 0;
	}

	/** Contents that are kept from engines now. */
	get contents(): ReadonlySet<ContentHash> {
		return new Set([...this.causes, ...this.recorded.keys()]);
	}

	/** Whether the content of a request may be one that broke before; cheap, so that other bodies are not read. */
	hasMatchingHead(req: CallerRequest, customer: string | undefined): boolean {
		return this.heads.size > 0 && this.heads.has(hashHead(req, customer));
	}

	/** Why a request is kept from engines; undefined when it is not. */
	getRefusal(req: CallerRequest, customer: string | undefined): QuarantineRefusal | undefined {
		if (!this.hasMatchingHead(req, customer)) {
			return undefined;
		}
		const content = hashContent(req, customer);
		return this.isQuarantined(content)
			? { content, retryAfterS: crashRetentionMs / 1000 }
			: undefined;
	}

	isQuarantined(content: ContentHash): boolean {
		return this.causes.has(content) || this.recorded.has(content);
	}

	/** Whether the VM may send it to a further engine by itself. */
	isRetryAllowed(content: ContentHash): boolean {
		return !this.isQuarantined(content) && this.ledger.countFailedEngines(content) < breaksToStop;
	}

	/** The content was served to its end, so it crashes nothing. */
	recordSuccess(content: ContentHash): void {
		this.recorded.delete(content);
		this.ledger.recordSuccess(content);
	}

	/**
	 * An engine broke off the content. One connection then tells whether it ended: its registration takes seconds to lapse, in
	 * which the content would come again.
	 */
	recordFailure(content: ContentHash, engine: Engine): void {
		this.ledger.recordFailure(content, engine.ref);
		if (!this.ledger.hasCrashed(engine.ref) && !this.asked.has(engine.ref)) {
			this.asked.add(engine.ref);
			void this.ask(engine);
		}
	}

	recordEngineCrash(engine: EngineRef): void {
		this.ledger.recordEngineCrash(engine);
	}

	private async ask({ ref, entry }: Engine): Promise<void> {
		const isDeserted = await this.opts.isPortClosed(entry.address);
		this.asked.delete(ref);
		if (isDeserted) {
			this.ledger.recordEngineCrash(ref);
		}
	}

	/** The store names contents that VMs keep from engines. */
	applyStored(contents: readonly ContentHash[]): void {
		const until = this.opts.clock.monotonic() + crashRetentionMs;
		for (const content of contents) {
			if (!this.isQuarantined(content)) {
				this.opts.log.warn('quarantine.entered', {
					content: formatContentHash(content),
					source: 'store',
				});
			}
			this.recorded.set(content, until);
		}
		this.workOut();
	}

	/** Whether this VM itself saw an engine end under a request since the last call. */
	consumeLocalChange(): boolean {
		const has = this.hasOwnNews;
		this.hasOwnNews = false;
		return has;
	}

	/** Forgets what is old; called each second. */
	sweep(): void {
		const now = this.opts.clock.monotonic();
		for (const [content, until] of this.recorded) {
			if (now >= until) {
				this.recorded.delete(content);
			}
		}
		this.ledger.sweep();
	}

	private workOut(): void {
		const before = this.causes;
		const { evidence } = this.ledger;
		this.causes = findCrashCauses(evidence);
		this.ledger.setRepeatedContents(this.causes);
		const known = [...this.ledger.listContents(), ...this.recorded.keys()];
		this.heads = new Set(known.map(extractHeadHash));
		for (const content of this.causes) {
			if (!before.has(content)) {
				const engines = evidence.get(content)?.size;
				const fields = { content: formatContentHash(content), engines, source: 'news' };
				this.opts.log.warn('quarantine.entered', fields);
			}
		}
		for (const content of before) {
			if (!this.causes.has(content)) {
				this.opts.log.warn('quarantine.left', { content: formatContentHash(content) });
			}
		}
	}
}
