/**
 * Refuses requests whose content crashes engines, at every VM and under any request id.
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

/** Engines at which a content may fail before the VM stops retrying it on its own. */
const maxFailedEngines = 2;

export interface QuarantineOptions {
	clock: Clock;
	log: Log;
	/** Called when peers should be updated soon. */
	onUpdate: () => void;
	/** Whether it is certain that nothing listens at an engine's address. */
	isPortClosed: (address: string) => Promise<boolean>;
}

/** Details of the refusal of a quarantined request. */
export interface QuarantineRefusal {
	content: ContentHash;
	/** Time until the quarantine ends at the latest, in seconds. */
	retryAfterS: number;
}

export class Quarantine {
	readonly ledger: CrashLedger;
	/** Contents quarantined by crash reports of VMs. */
	private causes: ReadonlySet<ContentHash> = new Set();
	/** Contents quarantined by the store, and until when in monotonic milliseconds. */
	private readonly stored = new Map<ContentHash, number>();
	/** Head hashes of all contents that failed or are quarantined. */
	private heads: ReadonlySet<HeadHash> = new Set();
	private hasLocalChange = false;
	/** Engines whose port is being probed. */
	private readonly probed = new Set<EngineRef>();

	constructor(private readonly opts: QuarantineOptions) {
		this.ledger = new CrashLedger({
			clock: opts.clock,
			onChanged: () => this.recompute(),
			onLocalChange: () => {
				this.hasLocalChange = true;
				opts.onUpdate();
			},
		});
	}

	/** Whether no content failed at any engine or is quarantined. */
	get isEmpty(): boolean {
		return this.heads.size === 0;
	}

	/** Quarantined contents. */
	get contents(): ReadonlySet<ContentHash> {
		return new Set([...this.causes, ...this.stored.keys()]);
	}

	/** Cheap check whether the content of a request may have failed before; does not read the body. */
	hasMatchingHead(req: CallerRequest, customer: string | undefined): boolean {
		return this.heads.size > 0 && this.heads.has(hashHead(req, customer));
	}

	/** Refusal of a quarantined request; undefined for any other. */
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
		return this.causes.has(content) || this.stored.has(content);
	}

	/** Whether the VM may retry the content at another engine on its own. */
	isRetryAllowed(content: ContentHash): boolean {
		return (
			!this.isQuarantined(content) && this.ledger.countFailedEngines(content) < maxFailedEngines
		);
	}

	/** Clears a content that was served completely. */
	recordSuccess(content: ContentHash): void {
		this.stored.delete(content);
		this.ledger.recordSuccess(content);
	}

	/**
	 * Records that a content failed at an engine, and probes the engine's port: its registration takes seconds to expire, during which
	 * the content could crash other engines.
	 */
	recordFailure(content: ContentHash, engine: Engine): void {
		this.ledger.recordFailure(content, engine.ref);
		if (!this.ledger.hasCrashed(engine.ref) && !this.probed.has(engine.ref)) {
			this.probed.add(engine.ref);
			void this.probe(engine);
		}
	}

	recordEngineCrash(engine: EngineRef): void {
		this.ledger.recordEngineCrash(engine);
	}

	private async probe({ ref, registration }: Engine): Promise<void> {
		const isClosed = await this.opts.isPortClosed(registration.address);
		this.probed.delete(ref);
		if (isClosed) {
			this.ledger.recordEngineCrash(ref);
		}
	}

	/** Quarantines the contents that the store holds. */
	applyStored(contents: readonly ContentHash[]): void {
		const until = this.opts.clock.monotonic() + crashRetentionMs;
		for (const content of contents) {
			if (!this.isQuarantined(content)) {
				this.opts.log.warn('quarantine.entered', {
					content: formatContentHash(content),
					source: 'store',
				});
			}
			this.stored.set(content, until);
		}
		this.recompute();
	}

	/** Whether this VM itself observed a crash or a served content since the last call. */
	consumeLocalChange(): boolean {
		const hasChange = this.hasLocalChange;
		this.hasLocalChange = false;
		return hasChange;
	}

	/** Removes old entries; called each second. */
	sweep(): void {
		const now = this.opts.clock.monotonic();
		for (const [content, until] of this.stored) {
			if (now >= until) {
				this.stored.delete(content);
			}
		}
		this.ledger.sweep();
	}

	private recompute(): void {
		const before = this.causes;
		const { evidence } = this.ledger;
		this.causes = findCrashCauses(evidence);
		this.ledger.setRepeatedContents(this.causes);
		const known = [...this.ledger.listContents(), ...this.stored.keys()];
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
