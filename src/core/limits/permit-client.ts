/**
 * Permits as the requests of one VM see them: which engines are worth asking for now, and the ask itself. Where no issuer answers, the
 * VM goes by a small part of the limit alone.
 * @module
 */
import type { Clock, Random } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';
import { urgencyLevels } from '../relay/definitions.js';
import { minLimitPerS } from './permit-issuer.js';
import type { LimitUpdate, PermitRequest, PermitResponse } from './types.js';

/** An ask that is not answered is sent again after this time, in milliseconds: datagrams are lost now and then. */
const resendMs = 40;
/** It is given up this long after the request's own wait, in milliseconds. */
const graceMs = 120;
/** An issuer that left an ask unanswered is not asked for so long, in milliseconds. */
const unansweredMs = 1000;
/**
 * Part of the limit that all VMs together may use without an issuer: with those of an issuer that some of them do not hear, less than
 * the half that the engine's bound leaves above its limit.
 */
const aloneShare = 0.25;
/** VMs that share a limit while their number is not known: one that has just started, and hears nobody, would else take all of it. */
export const assumedVmCount = 64;

/** Whether a request may go to an engine, and if not, when it is worth asking again, in milliseconds. */
export type PermitResult = Pick<PermitResponse, 'isGranted' | 'retryAfterMs'>;

/** An ask under way. */
export interface PermitRequestHandle {
	/** The request no longer wants it. */
	cancel(): void;
}

interface Pending {
	ask: PermitRequest;
	resendAt: number;
	until: number;
	done: (result: PermitResult) => void;
}

export interface PermitClientOptions {
	clock: Clock;
	random: Random;
	/** Where answers go, as IP:PORT. */
	ownAddress: string;
	getLimit: (engine: EngineRef) => LimitUpdate;
	/** VMs of the fleet; undefined while not known. */
	getVmCount: () => number | undefined;
	/** Whether this VM issues permits itself. */
	isIssuer: () => boolean;
	/** Issues here. */
	requestLocally: (ask: PermitRequest, answer: (answer: PermitResponse) => void) => void;
	/** The VM to ask; undefined while none is heard. */
	getIssuerAddress: () => string | undefined;
	sendRequest: (to: string, ask: PermitRequest) => void;
	/** `dueAt` changed. */
	onDueChanged: () => void;
}

/** All times in monotonic milliseconds. */
export class PermitClient {
	private readonly pending = new Map<number, Pending>();
	/** When asking is worth it again, for each level of urgency. */
	private readonly closedUntil = new Map<EngineRef, number[]>();
	/** Next request to each engine without an issuer. */
	private readonly aloneAt = new Map<EngineRef, number>();
	/** An issuer that left an ask unanswered, and until when it is not asked again. */
	private closedIssuer?: { address: string; until: number };
	private lastId: number;

	constructor(private readonly opts: PermitClientOptions) {
		this.lastId = Math.floor(opts.random.next() * 2 ** 31);
	}

	/** Monotonic milliseconds at which `run` should be called next. */
	get dueAt(): number {
		const times = [...this.pending.values()].map(({ resendAt, until }) =>
			Math.min(resendAt, until),
		);
		return Math.min(Number.POSITIVE_INFINITY, ...times);
	}

	/** For how long asking for an engine is no use, in milliseconds; 0 when it is, or when the engine names no limit. */
	getRetryDelayMs(engine: EngineRef, urgency: number): number {
		if (this.opts.getLimit(engine).limitPerS === undefined) {
			return 0;
		}
		return Math.max(0, (this.closedUntil.get(engine)?.[urgency] ?? 0) - this.now);
	}

	/** @param done called once, at once or later, unless cancelled */
	request(
		engine: EngineRef,
		urgency: number,
		waitMs: number,
		done: (result: PermitResult) => void,
	): PermitRequestHandle {
		const {
			isIssuer,
			requestLocally: issue,
			getIssuerAddress: issuer,
			ownAddress: self,
			getLimit: wordOf,
			sendRequest: send,
			onDueChanged: onChanged,
		} = this.opts;
		const id = ++this.lastId;
		const ask = { from: self, id, limit: wordOf(engine), urgency, waitMs };
		const to = issuer();
		const mayAsk = to !== undefined && !this.isClosed(to);
		if (!isIssuer() && !mayAsk) {
			const result = this.takeAlone(engine);
			this.note(ask, result);
			done(result);
			return { cancel() {} };
		}
		const { now } = this;
		const until = now + waitMs + graceMs;
		this.pending.set(id, { ask, resendAt: now + resendMs, until, done });
		if (isIssuer()) {
			issue(ask, (answer) => this.handleResponse(answer));
		} else if (to !== undefined) {
			send(to, ask);
		}
		onChanged();
		return { cancel: () => this.pending.delete(id) };
	}

	/** The issuer's answer, which may come late, or again. */
	handleResponse({ id, isGranted, retryAfterMs }: PermitResponse): void {
		const pending = this.pending.get(id);
		if (pending) {
			this.settle(id, pending, { isGranted, retryAfterMs });
		}
	}

	/** Sends again what was not answered, and gives up what will not be. */
	run(): void {
		const { now } = this;
		for (const [id, pending] of [...this.pending]) {
			if (now >= pending.until) {
				this.unanswered(id, pending);
			} else if (now >= pending.resendAt) {
				pending.resendAt = now + resendMs;
				this.resend(pending.ask);
			}
		}
	}

	/** The engine takes more than before: asking is worth it again at once. */
	clearDenials(engine: EngineRef): void {
		this.closedUntil.delete(engine);
	}

	removeEngine(engine: EngineRef): void {
		this.closedUntil.delete(engine);
		this.aloneAt.delete(engine);
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	private isClosed(issuer: string): boolean {
		return this.closedIssuer?.address === issuer && this.now < this.closedIssuer.until;
	}

	private resend(ask: PermitRequest): void {
		const to = this.opts.getIssuerAddress();
		if (to !== undefined && !this.opts.isIssuer()) {
			this.opts.sendRequest(to, ask);
		}
	}

	private unanswered(id: number, pending: Pending): void {
		const address = this.opts.getIssuerAddress();
		if (address !== undefined) {
			this.closedIssuer = { address, until: this.now + unansweredMs };
		}
		this.settle(id, pending, { isGranted: false, retryAfterMs: resendMs });
	}

	private settle(id: number, { ask, done }: Pending, result: PermitResult): void {
		this.pending.delete(id);
		this.note(ask, result);
		done(result);
	}

	/** Requests at least as little urgent as one that was denied are not worth asking for sooner. */
	private note(ask: PermitRequest, { isGranted, retryAfterMs }: PermitResult): void {
		if (isGranted) {
			return;
		}
		const closed = this.closedUntil.get(ask.limit.engine) ?? new Array(urgencyLevels).fill(0);
		for (let level = ask.urgency; level < urgencyLevels; level++) {
			closed[level] = Math.max(closed[level] ?? 0, this.now + retryAfterMs);
		}
		this.closedUntil.set(ask.limit.engine, closed);
	}

	private takeAlone(engine: EngineRef): PermitResult {
		const { now } = this;
		const { limitPerS: perS } = this.opts.getLimit(engine);
		if (perS === undefined) {
			return { isGranted: true, retryAfterMs: 0 };
		}
		const intervalMs =
			(1000 * (this.opts.getVmCount() ?? assumedVmCount)) /
			(Math.max(perS, minLimitPerS) * aloneShare);
		const nextAt = this.aloneAt.get(engine) ?? now + intervalMs * this.opts.random.next();
		const isGranted = now >= nextAt;
		this.aloneAt.set(engine, isGranted ? now + intervalMs : Math.min(nextAt, now + intervalMs));
		// An issuer may be heard meanwhile.
		return { isGranted, retryAfterMs: Math.min(nextAt - now, unansweredMs) };
	}
}
