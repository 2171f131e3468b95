/**
 * Connects one request to the quarantine; hashes its content lazily.
 * @module
 */
import type { EngineRef } from '../fleet/types.js';
import * as rendezvous from '../membership/rendezvous.js';
import type { Attempt } from '../relay/attempt.js';
import type { CallerRequest } from '../relay/definitions.js';
import type { ContentHash } from './content-hash.js';
import { hashContent } from './content-hash.js';
import type { Quarantine } from './quarantine.js';
import type { PromptPart, Trait } from './traits.js';
import { toPromptPart } from './traits.js';

/** A request that an engine answered for this long did not crash it, in milliseconds; crashes follow 20 to 110 ms after the start. */
const harmlessMs = 250;
/** Number of values of a hashed name. */
const hashNameRange = 2 ** 16;
/** Upper bound of compared parts of a prompt. */
const maxParts = 32;

/** How an attempt failed. */
export const attemptFailures = {
	/** The connection ended, or the answer cannot be used. */
	broken: 'broken',
	/** The engine did not answer in time, but answered others. */
	late: 'late',
	/** The engine sent nothing to any request. */
	silent: 'silent',
} as const;
export type AttemptFailure = (typeof attemptFailures)[keyof typeof attemptFailures];

export class RequestQuarantine {
	private hash?: ContentHash;
	private partsOfPrompt?: readonly PromptPart[];
	/** The engine that the request may have crashed. */
	private failedAt?: EngineRef;
	/** The attempt that was recorded as harmless. */
	private harmlessAttempt?: Attempt;

	constructor(
		private readonly quarantine: Quarantine,
		private readonly req: CallerRequest,
		private readonly customer: string | undefined,
	) {}

	get content(): ContentHash {
		this.hash ??= hashContent(this.req, this.customer);
		return this.hash;
	}

	/** The parts of the prompt that other requests may share: all but the last. */
	get parts(): readonly PromptPart[] {
		this.partsOfPrompt ??= this.req.promptSegments
			.slice(0, -1)
			.slice(0, maxParts)
			.map(({ id }) => toPromptPart(id));
		return this.partsOfPrompt;
	}

	/** The trait for which the request must not be sent to engines; undefined if there is none. */
	findQuarantined(): Trait | undefined {
		if (this.quarantine.isEmpty) {
			return undefined;
		}
		return this.quarantine.findCause(this.knownTraits);
	}

	/** How long to wait until the request may be sent, or is quarantined, in milliseconds. */
	get clearanceMs(): number {
		return this.quarantine.isEmpty
			? 0
			: this.quarantine.getClearanceMs(this.parts, this.turn, this.failedAt);
	}

	/** Whether the VM may retry the request at another engine on its own. */
	get isRetryAllowed(): boolean {
		return !this.mayHaveFailed || this.quarantine.isRetryAllowed(this.content);
	}

	/**
	 * Records a failed attempt, except at draining engines, which stop as planned. Parts of the prompt are suspected only
	 * where the connection ended, as it does when the engine's process crashes; hosts and links fall silent.
	 */
	recordFailure(attempt: Attempt, failure: AttemptFailure): void {
		const { sinceFirstEventMs, engine } = attempt;
		const isShort = sinceFirstEventMs === undefined || sinceFirstEventMs < harmlessMs;
		if (!isShort || engine.isDraining) {
			return;
		}
		const isBroken = failure === attemptFailures.broken;
		this.failedAt = isBroken ? engine.ref : undefined;
		const traits = isBroken ? [this.content, ...this.parts] : [this.content];
		this.quarantine.recordFailure(traits, engine.ref, failure === attemptFailures.silent);
		// Over a link that is down, any engine looks closed.
		if (!engine.isForwarded) {
			this.quarantine.probeEngine(engine);
		}
	}

	/** Records that the answer of an attempt goes on. */
	recordProgress(attempt: Attempt): void {
		const runningMs = attempt.sinceFirstEventMs ?? 0;
		if (runningMs >= harmlessMs && this.harmlessAttempt !== attempt) {
			this.harmlessAttempt = attempt;
			this.recordSuccess(attempt);
		}
	}

	/** Records that an attempt was served: crashes before it began are not due to what the request asks. */
	recordSuccess(attempt: Attempt): void {
		if (!this.quarantine.isEmpty) {
			this.quarantine.recordSuccess(this.knownTraits, attempt.beganAt);
		}
	}

	/** Place among requests that wait for the same part. */
	private get turn(): number {
		return rendezvous.hashName(this.req.id) / hashNameRange;
	}

	/** The prompt parts, and the content if it may have failed before. */
	private get knownTraits(): readonly Trait[] {
		return this.mayHaveFailed ? [this.content, ...this.parts] : this.parts;
	}

	private get mayHaveFailed(): boolean {
		return this.quarantine.hasMatchingHead(this.req, this.customer);
	}
}
