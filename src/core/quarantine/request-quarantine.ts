/**
 * Connects one request to the quarantine; hashes its content lazily.
 * @module
 */
import type { Attempt } from '../relay/attempt.js';
import type { CallerRequest } from '../relay/definitions.js';
import type { ContentHash } from './content-hash.js';
import { hashContent } from './content-hash.js';
import type { Quarantine } from './quarantine.js';

/** A request that ran this long did not crash its engine, in milliseconds; crashes follow 30 to 110 ms after the start. */
const harmlessMs = 500;

export class RequestQuarantine {
	private hash?: ContentHash;

	constructor(
		private readonly quarantine: Quarantine,
		private readonly req: CallerRequest,
		private readonly customer: string | undefined,
	) {}

	get content(): ContentHash {
		this.hash ??= hashContent(this.req, this.customer);
		return this.hash;
	}

	/** Ids of the parts of the prompt that other requests may share: all but the last. */
	get sharedParts(): string[] {
		return this.req.promptSegments.slice(0, -1).map(({ id }) => id);
	}

	/** Whether the VM may retry the request at another engine on its own. */
	get isRetryAllowed(): boolean {
		return !this.mayHaveFailed || this.quarantine.isRetryAllowed(this.content);
	}

	/** Records a failed or silent attempt, except at draining engines, which stop as planned. */
	recordFailure(attempt: Attempt): void {
		const { sinceFirstEventMs, engine } = attempt;
		const isShort = sinceFirstEventMs === undefined || sinceFirstEventMs < harmlessMs;
		if (isShort && !engine.isDraining) {
			this.quarantine.recordFailure(this.content, attempt.engine);
		}
	}

	recordSuccess(): void {
		if (this.mayHaveFailed) {
			this.quarantine.recordSuccess(this.content);
		}
	}

	private get mayHaveFailed(): boolean {
		return this.quarantine.hasMatchingHead(this.req, this.customer);
	}
}
