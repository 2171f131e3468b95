/**
 * Requests permits on behalf of the requests of one VM and remembers denials. Without a reachable issuer, the VM limits itself to a
 * small share of the rate.
 * @module
 */
import type { Clock, Random } from '../definitions.js';
import type { EngineRef } from '../fleet/types.js';
import { urgencyLevels } from '../relay/definitions.js';
import { minLimitPerS } from './permit-issuer.js';
import type { LimitUpdate, PermitRequest, PermitResponse } from './types.js';

/** Resend interval of unanswered permit requests, in milliseconds; datagrams may be lost. */
const resendIntervalMs = 40;
/** Extra time for the response beyond the wait of the request, in milliseconds. */
const responseGraceMs = 120;
/** How long an issuer that left a request unanswered is skipped, in milliseconds. */
const unansweredMs = 1000;
/**
 * Share of the limit that all VMs together may use without an issuer. Together with an issuer that only some of them reach, they
 * stay within the tolerance of the engine.
 */
const fallbackShare = 0.25;
/** Assumed size of the fleet while it is unknown; keeps an isolated new VM from using the whole limit. */
export const assumedVmCount = 64;

/** Whether a request may be sent to an engine; if not, when to request a permit again, in milliseconds. */
export type PermitResult = Pick<PermitResponse, 'isGranted' | 'retryAfterMs'>;

/** Handle of a pending permit request. */
export interface PermitRequestHandle {
	/** Drops the request; its callback is not called any more. */
	cancel(): void;
}

interface PendingRequest {
	request: PermitRequest;
	resendAt: number;
	expiresAt: number;
	done: (result: PermitResult) => void;
}

export interface PermitClientOptions {
	clock: Clock;
	random: Random;
	/** Address that responses are sent to, as IP:PORT. */
	ownAddress: string;
	getLimit: (engine: EngineRef) => LimitUpdate;
	/** Size of the fleet; undefined while unknown. */
	getVmCount: () => number | undefined;
	/** Whether this VM is the issuer. */
	isIssuer: () => boolean;
	/** Requests a permit from the issuer of this VM. */
	requestLocally: (request: PermitRequest, respond: (response: PermitResponse) => void) => void;
	/** Address of the remote issuer; undefined while none is known. */
	getIssuerAddress: () => string | undefined;
	sendRequest: (to: string, request: PermitRequest) => void;
	/** Called when `dueAt` has changed. */
	onDueChanged: () => void;
}

/** All times in monotonic milliseconds. */
export class PermitClient {
	private readonly pending = new Map<number, PendingRequest>();
	/** Earliest time of the next permit request, by engine and urgency. */
	private readonly deniedUntil = new Map<EngineRef, number[]>();
	/** Time of the next request to each engine without an issuer. */
	private readonly fallbackNextAt = new Map<EngineRef, number>();
	/** Issuer that left a request unanswered, and until when it is skipped. */
	private skippedIssuer?: { address: string; until: number };
	private lastId: number;

	constructor(private readonly opts: PermitClientOptions) {
		this.lastId = Math.floor(opts.random.next() * 2 ** 31);
	}

	/** Monotonic milliseconds at which `run` should be called next. */
	get dueAt(): number {
		const times = [...this.pending.values()].map(({ resendAt, expiresAt }) =>
			Math.min(resendAt, expiresAt),
		);
		return Math.min(Number.POSITIVE_INFINITY, ...times);
	}

	/** Delay before the next permit request for an engine, in milliseconds; 0 when it is due or the engine has no limit. */
	getRetryDelayMs(engine: EngineRef, urgency: number): number {
		if (this.opts.getLimit(engine).limitPerS === undefined) {
			return 0;
		}
		return Math.max(0, (this.deniedUntil.get(engine)?.[urgency] ?? 0) - this.now);
	}

	/** @param done called exactly once, possibly before this returns, unless cancelled */
	request(
		engine: EngineRef,
		urgency: number,
		waitMs: number,
		done: (result: PermitResult) => void,
	): PermitRequestHandle {
		const {
			isIssuer,
			requestLocally,
			getIssuerAddress,
			ownAddress,
			getLimit,
			sendRequest,
			onDueChanged,
		} = this.opts;
		const id = ++this.lastId;
		const request = { from: ownAddress, id, limit: getLimit(engine), urgency, waitMs };
		const to = getIssuerAddress();
		const canReachIssuer = to !== undefined && !this.isSkipped(to);
		if (!isIssuer() && !canReachIssuer) {
			const result = this.grantFallback(engine);
			this.recordResult(request, result);
			done(result);
			return { cancel() {} };
		}
		const { now } = this;
		const expiresAt = now + waitMs + responseGraceMs;
		this.pending.set(id, { request, resendAt: now + resendIntervalMs, expiresAt, done });
		if (isIssuer()) {
			requestLocally(request, (response) => this.handleResponse(response));
		} else if (to !== undefined) {
			sendRequest(to, request);
		}
		onDueChanged();
		return { cancel: () => this.pending.delete(id) };
	}

	/** Settles a pending request; ignores late and duplicate responses. */
	handleResponse({ id, isGranted, retryAfterMs }: PermitResponse): void {
		const pending = this.pending.get(id);
		if (pending) {
			this.settle(id, pending, { isGranted, retryAfterMs });
		}
	}

	/** Resends unanswered requests and fails expired ones. */
	run(): void {
		const { now } = this;
		for (const [id, pending] of [...this.pending]) {
			if (now >= pending.expiresAt) {
				this.expire(id, pending);
			} else if (now >= pending.resendAt) {
				pending.resendAt = now + resendIntervalMs;
				this.resend(pending.request);
			}
		}
	}

	/** Allows permit requests again at once, after the limit of an engine was raised. */
	clearDenials(engine: EngineRef): void {
		this.deniedUntil.delete(engine);
	}

	removeEngine(engine: EngineRef): void {
		this.deniedUntil.delete(engine);
		this.fallbackNextAt.delete(engine);
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	private isSkipped(issuer: string): boolean {
		return this.skippedIssuer?.address === issuer && this.now < this.skippedIssuer.until;
	}

	private resend(request: PermitRequest): void {
		const to = this.opts.getIssuerAddress();
		if (to !== undefined && !this.opts.isIssuer()) {
			this.opts.sendRequest(to, request);
		}
	}

	private expire(id: number, pending: PendingRequest): void {
		const address = this.opts.getIssuerAddress();
		if (address !== undefined) {
			this.skippedIssuer = { address, until: this.now + unansweredMs };
		}
		this.settle(id, pending, { isGranted: false, retryAfterMs: resendIntervalMs });
	}

	private settle(id: number, { request, done }: PendingRequest, result: PermitResult): void {
		this.pending.delete(id);
		this.recordResult(request, result);
		done(result);
	}

	/** A denial also holds back requests of the same or lower urgency. */
	private recordResult(request: PermitRequest, { isGranted, retryAfterMs }: PermitResult): void {
		if (isGranted) {
			return;
		}
		const until = this.deniedUntil.get(request.limit.engine) ?? new Array(urgencyLevels).fill(0);
		for (let level = request.urgency; level < urgencyLevels; level++) {
			until[level] = Math.max(until[level] ?? 0, this.now + retryAfterMs);
		}
		this.deniedUntil.set(request.limit.engine, until);
	}

	/** Paces requests to this VM's part of the fallback share. */
	private grantFallback(engine: EngineRef): PermitResult {
		const { now } = this;
		const { limitPerS } = this.opts.getLimit(engine);
		if (limitPerS === undefined) {
			return { isGranted: true, retryAfterMs: 0 };
		}
		const intervalMs =
			(1000 * (this.opts.getVmCount() ?? assumedVmCount)) /
			(Math.max(limitPerS, minLimitPerS) * fallbackShare);
		const nextAt = this.fallbackNextAt.get(engine) ?? now + intervalMs * this.opts.random.next();
		const isGranted = now >= nextAt;
		this.fallbackNextAt.set(
			engine,
			isGranted ? now + intervalMs : Math.min(nextAt, now + intervalMs),
		);
		// Retries early enough to notice a new issuer.
		return { isGranted, retryAfterMs: Math.min(nextAt - now, unansweredMs) };
	}
}
