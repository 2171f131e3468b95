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
import type { CrashAnalysis, CrashEvidence } from './crash-causes.js';
import { findCrashCauses } from './crash-causes.js';
import { CrashLedger, crashRetentionMs } from './crash-ledger.js';
import type { PartGroup } from './part-causes.js';
import { trialsMs } from './part-causes.js';
import type { PromptPart, Trait } from './traits.js';
import { formatTrait, isPromptPart, toLogFields } from './traits.js';

/** Engines at which a content may fail before the VM stops retrying it on its own. */
const maxFailedEngines = 2;
/** Crashes at which prompt parts were before new requests with all of them wait for their clearance. */
const suspectCrashes = 2;
/** Interval at which a request looks whether its engine has crashed, in milliseconds; a probe takes a round trip. */
const probeCheckMs = 5;
/** Time until a quarantine ends at the latest, in seconds. */
export const quarantineS = crashRetentionMs / 1000;

type LogFields = Parameters<Log['warn']>[1];

const noAnalysis: CrashAnalysis = { contents: new Set(), groups: [], suspects: [] };

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

	/** Quarantined traits, without parts of prompts that are quarantined only together. */
	get traits(): ReadonlySet<Trait> {
		this.review();
		return new Set([...listSingleCauses(this.analysis), ...this.stored.keys()]);
	}

	/** Cheap check whether the content of a request may have failed before; does not read the body. */
	hasMatchingHead(req: CallerRequest, customer: string | undefined): boolean {
		return this.heads.size > 0 && this.heads.has(hashHead(req, customer));
	}

	/** @returns the first of these traits of one request for which it is quarantined; undefined if it is not */
	findCause(traits: readonly Trait[]): Trait | undefined {
		this.review();
		const { contents, groups } = this.analysis;
		const single = traits.find((trait) => contents.has(trait) || this.stored.has(trait));
		return single ?? groups.find((group) => hasAll(traits, group))?.parts[0];
	}

	/** Whether a request with this trait is quarantined, whatever else it has. */
	isQuarantined(trait: Trait): boolean {
		return this.findCause([trait]) !== undefined;
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
	 * @param isSilent whether the engine was silent towards all requests
	 */
	recordFailure(traits: readonly Trait[], engine: EngineRef, isSilent = false): void {
		this.ledger.recordFailure(traits, engine, isSilent);
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
		for (const trait of added) {
			this.opts.log.warn('quarantine.entered', { ...toLogFields(trait), source: 'store' });
		}
		if (added.length > 0) {
			this.opts.onEntered();
		}
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
		const own = this.analysis.suspects.filter(
			(group) => group.engines.includes(failedAt) && hasAll(parts, group),
		);
		return Math.max(0, ...own.map(({ until }) => until - this.now));
	}

	/** How long a request waits that has all parts of a group that was at several crashes. */
	private getSuspectMs(parts: readonly PromptPart[], turn: number): number {
		const groups = this.analysis.suspects.filter(
			(group) => group.crashes >= suspectCrashes && hasAll(parts, group),
		);
		return Math.max(0, ...groups.map(({ until }) => until + turn * trialsMs - this.now));
	}

	/** Analyses again when the time of a suspect has passed. */
	private review(): void {
		if (this.now >= this.reviewAt) {
			this.recompute();
		}
	}

	private recompute(): void {
		const { evidence } = this.ledger;
		const before = describeCauses(this.analysis, evidence);
		this.analysis = findCrashCauses(evidence, this.now);
		const { contents, groups, suspects } = this.analysis;
		this.reviewAt = Math.min(...suspects.map(({ until }) => until).filter((at) => at > this.now));
		this.ledger.setRepeatedTraits(new Set([...contents, ...groups.flatMap(({ parts }) => parts)]));
		const known = [...this.ledger.listTraits(), ...this.stored.keys()];
		this.heads = new Set(known.filter((trait) => !isPromptPart(trait)).map(extractHeadHash));
		this.announceChanges(before, describeCauses(this.analysis, evidence));
	}

	private announceChanges(before: CauseFields, after: CauseFields): void {
		for (const [key, fields] of before) {
			if (!after.has(key)) {
				this.opts.log.warn('quarantine.left', fields);
			}
		}
		const added = [...after].filter(([key]) => !before.has(key));
		for (const [, fields] of added) {
			this.opts.log.warn('quarantine.entered', { ...fields, source: 'news' });
		}
		if (added.length > 0) {
			this.opts.onEntered();
		}
	}
}

/** Log fields of causes, by a text that names each. */
type CauseFields = ReadonlyMap<string, LogFields>;

function describeCauses({ contents, groups }: CrashAnalysis, evidence: CrashEvidence): CauseFields {
	const ofGroups = groups.map(({ parts, engines }) => {
		const part = [...parts]
			.sort((a, b) => b - a)
			.map(formatTrait)
			.join('+');
		return [part, { part, engines: engines.length }] as const;
	});
	const ofContents = [...contents].map((content) => {
		const fields = { ...toLogFields(content), engines: evidence.get(content)?.size };
		return [formatTrait(content), fields] as const;
	});
	return new Map<string, LogFields>([...ofContents, ...ofGroups]);
}

function hasAll(traits: readonly Trait[], { parts }: PartGroup): boolean {
	return parts.every((part) => traits.includes(part));
}

/** Contents and parts that are causes by themselves. */
function listSingleCauses({ contents, groups }: CrashAnalysis): ReadonlySet<Trait> {
	const singles = groups.filter(({ parts }) => parts.length === 1);
	return new Set([...contents, ...singles.flatMap(({ parts }) => parts)]);
}
