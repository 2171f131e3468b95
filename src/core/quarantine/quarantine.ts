/**
 * Refuses requests with a trait that crashes engines, at every VM and under any request id.
 * @module
 */
import type { Clock, Log } from '../definitions.js';
import type { Engine } from '../engines/engine.js';
import type { EngineRef } from '../fleet/types.js';
import type { CallerRequest } from '../relay/definitions.js';
import type { ContentHash, HeadHash } from './content-hash.js';
import { extractHeadHash, hashHead } from './content-hash.js';
import type { CrashAnalysis, Suspect } from './crash-causes.js';
import { findCrashCauses, trialsMs } from './crash-causes.js';
import { CrashLedger, crashRetentionMs } from './crash-ledger.js';
import type { PromptPart, Trait } from './traits.js';
import { isPromptPart, toLogFields } from './traits.js';

/** Engines at which a content may fail before the VM stops retrying it on its own. */
const maxFailedEngines = 2;
/** Crashes at which prompt parts were before new requests with all of them wait for their clearance. */
const suspectCrashes = 2;
/** Interval at which a request looks whether its engine has crashed, in milliseconds; a probe takes a round trip. */
const probeCheckMs = 5;
/** Time until a quarantine ends at the latest, in seconds. */
export const quarantineS = crashRetentionMs / 1000;

const noAnalysis: CrashAnalysis = { causes: new Set(), suspects: new Map() };

export interface QuarantineOptions {
	clock: Clock;
	log: Log;
	/** Called when peers should be updated soon. */
	onUpdate: () => void;
	/** Called when traits were quarantined. */
	onEntered: () => void;
	/** Whether it is certain that nothing listens at an engine's address. */
	isPortClosed: (address: string) => Promise<boolean>;
}

export class Quarantine {
	readonly ledger: CrashLedger;
	/** What crash reports of VMs say. */
	private analysis = noAnalysis;
	/** When the analysis changes without a new report, in monotonic milliseconds. */
	private reviewAt = Number.POSITIVE_INFINITY;
	/** Traits quarantined by the store, and when they were read, in monotonic milliseconds. */
	private readonly stored = new Map<Trait, number>();
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

	/** Whether no request failed at any engine and nothing is quarantined. */
	get isEmpty(): boolean {
		return this.ledger.isEmpty && this.stored.size === 0;
	}

	/** Quarantined traits. */
	get traits(): ReadonlySet<Trait> {
		this.review();
		return new Set([...this.analysis.causes, ...this.stored.keys()]);
	}

	/** Cheap check whether the content of a request may have failed before; does not read the body. */
	hasMatchingHead(req: CallerRequest, customer: string | undefined): boolean {
		return this.heads.size > 0 && this.heads.has(hashHead(req, customer));
	}

	isQuarantined(trait: Trait): boolean {
		this.review();
		return this.analysis.causes.has(trait) || this.stored.has(trait);
	}

	/** Whether the VM may retry the content at another engine on its own. */
	isRetryAllowed(content: ContentHash): boolean {
		return (
			!this.isQuarantined(content) && this.ledger.countFailedEngines(content) < maxFailedEngines
		);
	}

	/**
	 * How long a request should wait until its prompt parts are cleared or quarantined, in milliseconds.
	 * @param turn from 0 to 1, differs between requests: the order in which they are sent when they may be
	 * @param failedAt the engine that the request may have crashed, if any
	 */
	getClearanceMs(parts: readonly PromptPart[], turn: number, failedAt?: EngineRef): number {
		this.review();
		const ownMs = failedAt === undefined ? 0 : this.getOwnClearanceMs(parts, failedAt);
		return Math.max(ownMs, this.getSuspectMs(parts, turn));
	}

	/**
	 * Clears the traits of a request that an engine served.
	 * @param beganAt when the engine began to answer it, in monotonic milliseconds; crashes after that are not cleared
	 */
	recordSuccess(traits: readonly Trait[], beganAt: number): void {
		for (const trait of traits) {
			if ((this.stored.get(trait) ?? beganAt) < beganAt) {
				this.stored.delete(trait);
			}
		}
		this.ledger.recordSuccess(traits, beganAt);
	}

	/**
	 * Records that a request with these traits failed at an engine.
	 * @param hasBegun whether the engine had begun to answer it, as far as known
	 */
	recordFailure(traits: readonly Trait[], engine: EngineRef, hasBegun = true): void {
		this.ledger.recordFailure(traits, engine, hasBegun);
	}

	recordEngineCrash(engine: EngineRef): void {
		this.ledger.recordEngineCrash(engine);
	}

	/**
	 * Finds out whether an engine that broke off an answer has crashed: its registration takes seconds to expire, during which the
	 * same requests could crash other engines.
	 */
	probeEngine({ ref, registration }: Engine): void {
		if (!this.ledger.hasCrashed(ref) && !this.probed.has(ref)) {
			this.probed.add(ref);
			void this.probe(ref, registration.address);
		}
	}

	/** Quarantines the traits that the store holds. */
	applyStored(traits: readonly Trait[]): void {
		const added = traits.filter((trait) => !this.isQuarantined(trait));
		for (const trait of traits) {
			this.stored.set(trait, this.now);
		}
		this.recompute();
		this.announceEntered(added, 'store');
	}

	/** Ends the quarantine of a trait on behalf of an operator. */
	lift(trait: Trait): void {
		this.stored.delete(trait);
		this.ledger.recordSuccess([trait], this.now);
	}

	/** Whether this VM itself observed a crash or a served trait since the last call. */
	consumeLocalChange(): boolean {
		const hasChange = this.hasLocalChange;
		this.hasLocalChange = false;
		return hasChange;
	}

	/** Removes old entries; called each second. */
	sweep(): void {
		for (const [trait, readAt] of this.stored) {
			if (this.now - readAt >= crashRetentionMs) {
				this.stored.delete(trait);
			}
		}
		this.ledger.sweep();
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	private async probe(ref: EngineRef, address: string): Promise<void> {
		const isClosed = await this.opts.isPortClosed(address);
		this.probed.delete(ref);
		if (isClosed) {
			this.ledger.recordEngineCrash(ref);
		}
	}

	/** The same for a request that may have crashed an engine. */
	private getOwnClearanceMs(parts: readonly PromptPart[], failedAt: EngineRef): number {
		if (parts.length > 0 && this.probed.has(failedAt)) {
			return probeCheckMs;
		}
		const { suspects } = this.analysis;
		const waits = parts.map((part) => (suspects.get(part)?.clearableUntil ?? 0) - this.now);
		return Math.max(0, ...waits);
	}

	/**
	 * How long a request waits that has all parts that were at most crashes. Requests that lack one of them are not the cause, and
	 * clear the others when they are served.
	 */
	private getSuspectMs(parts: readonly PromptPart[], turn: number): number {
		const suspects = [...this.analysis.suspects];
		const mostCrashes = Math.max(suspectCrashes, ...suspects.map(([, { crashes }]) => crashes));
		const top = suspects.filter(([, { crashes }]) => crashes === mostCrashes);
		if (!top.every(([part]) => parts.includes(part))) {
			return 0;
		}
		const waits = top.map(([, { until, isTried }]) => {
			return until + (isTried ? turn * trialsMs : 0) - this.now;
		});
		return Math.max(0, ...waits);
	}

	/** Analyses again when the time of a suspect has passed. */
	private review(): void {
		if (this.now >= this.reviewAt) {
			this.recompute();
		}
	}

	private recompute(): void {
		const before = this.analysis.causes;
		this.analysis = findCrashCauses(this.ledger.evidence, this.now);
		const { causes, suspects } = this.analysis;
		this.reviewAt = this.findReviewTime(suspects.values());
		this.ledger.setRepeatedTraits(causes);
		const known = [...this.ledger.listTraits(), ...this.stored.keys()];
		this.heads = new Set(known.filter((trait) => !isPromptPart(trait)).map(extractHeadHash));
		for (const trait of before) {
			if (!causes.has(trait)) {
				this.opts.log.warn('quarantine.left', toLogFields(trait));
			}
		}
		const added = [...causes].filter((trait) => !before.has(trait));
		this.announceEntered(added, 'news');
	}

	private findReviewTime(suspects: Iterable<Suspect>): number {
		const times = [...suspects].flatMap(({ clearableUntil, until, causeAt }) => {
			return [clearableUntil, until, until + trialsMs, causeAt];
		});
		return Math.min(...times.filter((at) => at > this.now));
	}

	private announceEntered(added: readonly Trait[], source: string): void {
		for (const trait of added) {
			const engines = this.ledger.evidence.get(trait)?.size;
			this.opts.log.warn('quarantine.entered', { ...toLogFields(trait), engines, source });
		}
		if (added.length > 0) {
			this.opts.onEntered();
		}
	}
}
