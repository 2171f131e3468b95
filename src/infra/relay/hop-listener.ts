/**
 * Tells the answer of an engine from that of the VM that was asked to forward the request to it.
 * @module
 */
import type {
	AnswerHead,
	AnswerListener,
	CallListener,
	RawHeaders,
} from '../../core/relay/definitions.js';
import type { AnswerDecoder } from './engine-running-call.js';
import type { ForwardResult } from './forwarding-headers.js';
import { decodeResult, forwardResults, stripForwardHeaders } from './forwarding-headers.js';

export class HopListener implements AnswerListener {
	/** Undefined until the head of the answer has arrived. */
	private result?: ForwardResult;
	/** Text of the other VM. */
	private reason = '';

	constructor(
		private readonly listener: CallListener,
		private readonly decode: AnswerDecoder,
	) {}

	decodeAnswer(status: number, rawHeaders: RawHeaders): AnswerHead {
		this.result = decodeResult(rawHeaders);
		return this.decode(status, stripForwardHeaders(rawHeaders));
	}

	shouldSend(): boolean {
		return this.listener.shouldSend();
	}

	onWithdrawn(): void {
		this.listener.onWithdrawn();
	}

	onSent(): void {
		this.listener.onSent();
	}

	onHead(head: AnswerHead): void {
		if (this.result === forwardResults.answer) {
			this.listener.onHead(head);
		}
	}

	onData(chunk: Buffer): void {
		if (this.result === forwardResults.answer) {
			this.listener.onData(chunk);
		} else {
			this.reason += chunk.toString();
		}
	}

	onEnd(): void {
		if (this.result === forwardResults.answer) {
			this.listener.onEnd();
		} else {
			this.reportResult('the other VM ended without an answer');
		}
	}

	/** An answer that breaks off is its engine's; a VM that ended within it is noticed by the next request to it. */
	onError(reason: string): void {
		if (this.result === forwardResults.answer) {
			this.listener.onError(reason, false);
		} else {
			this.reportResult(reason);
		}
	}

	private reportResult(lostReason: string): void {
		const { result, listener } = this;
		if (result === undefined) {
			listener.onHelperLost(lostReason);
		} else if (typeof result === 'object') {
			listener.onNotForwarded(result.refusal);
		} else {
			listener.onError(this.reason.trim(), false);
		}
	}
}
