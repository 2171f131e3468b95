/**
 * What the quarantine has to do with one request. Its content is worked out when first needed.
 * @module
 */
import type { Attempt } from '../relay/attempt.js';
import type { CallerRequest } from '../relay/definitions.js';
import type { ContentHash } from './content-hash.js';
import { hashContent } from './content-hash.js';
import type { Quarantine } from './quarantine.js';

/**
 * A stream that ran so long on an engine did not end it, in milliseconds: engines ended 30 to 110 ms after the request that
 * crashed them began to run.
 */
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

	/** Whether the VM may send it to a further engine by itself. */
	get isRetryAllowed(): boolean {
		return !this.mayBeKnown || this.quarantine.isRetryAllowed(this.content);
	}

	/**
	 * The attempt's engine broke it off, or fell silent under it. An engine that leaves ends as planned, whatever runs there: the
	 * content that ran on three such engines was kept from all engines for ten minutes.
	 */
	recordFailure(attempt: Attempt): void {
		const { runningMs, engine } = attempt;
		const isShort = runningMs === undefined || runningMs < harmlessMs;
		if (isShort && !engine.isLeaving) {
			this.quarantine.recordFailure(this.content, attempt.engine);
		}
	}

	recordSuccess(): void {
		if (this.mayBeKnown) {
			this.quarantine.recordSuccess(this.content);
		}
	}

	private get mayBeKnown(): boolean {
		return this.quarantine.hasMatchingHead(this.req, this.customer);
	}
}
