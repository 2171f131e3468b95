/**
 * Sends orders to endpoints, each under its own lease with a fencing token. For endpoints that don't
 * check tokens, a holder sends well before its lease ends, and the next holder waits for the lease
 * of an unfinished order to expire.
 * @module
 */
import type {
	Clock,
	EndpointClient,
	EndpointOrder,
	KvStore,
	Log,
	Random,
	WeightStore,
} from '../definitions.js';
import { KvError, weightLookupResults } from '../definitions.js';
import * as errors from '../errors/index.js';

/** Duration of an order's lease. */
export const orderLeaseMs = 5000;
/** Maximum time between the request or renewal of a lease and the sending of the order. */
const maxSendDelayMs = 2000;
/** Timeout of the endpoint's answer. */
const answerTimeoutMs = 1500;
/** Wait beyond the lease duration, for clocks that differ in speed. */
const clockMarginMs = 1000;
/** Orders that load from the weight store; the fleet sends one at a time to keep its rate limit. */
const weightLoadingKinds = new Set<EndpointOrder['kind']>([
	'load-model',
	'load-adapter',
	'set-version',
]);
const weightsLeaseKey = 'slategauge/orders/weights';

export interface OrderSenderOptions {
	kv: KvStore;
	clock: Clock;
	random: Random;
	log: Log;
	endpoints: Pick<EndpointClient, 'order'>;
	/** If absent, orders are sent without a check that the weights exist. */
	weights?: WeightStore;
	vm: string;
	sleep: (ms: number) => Promise<void>;
}

/** An order as requested by an operator. */
export interface OrderRequest {
	endpoint: string;
	url: string;
	checksFencing: boolean;
	kind: EndpointOrder['kind'];
	argument: string;
}

/** Stored value of an order's lease key. */
interface LeaseRecord {
	operation: string;
	vm: string;
}

interface HeldLease {
	key: string;
	leaseId: string;
	/** Fencing token: the revision of the record, which increases with each holder. */
	token: number;
}

export class OrderSender {
	constructor(private readonly opts: OrderSenderOptions) {}

	/** Resolves with the fencing token once the endpoint has accepted the order. */
	async send(request: OrderRequest): Promise<number> {
		const requestedAt = this.opts.clock.sinceBoot();
		const leases: HeldLease[] = [];
		try {
			if (weightLoadingKinds.has(request.kind)) {
				leases.push(await this.acquire(weightsLeaseKey));
				await this.checkWeights(request.argument);
			}
			const lease = await this.acquire(`slategauge/orders/endpoint/${request.endpoint}`);
			leases.push(lease);
			return request.checksFencing
				? await this.sendUnderLease(request, lease, requestedAt)
				: await this.sendUnchecked(request, lease, requestedAt);
		} catch (err) {
			throw err instanceof KvError ? new errors.UserError(errors.data.PlatformUnavailable) : err;
		} finally {
			await this.release(leases);
		}
	}

	/** Refuses weights that are missing; runs under the fleet-wide lease, so queries don't overlap. */
	private async checkWeights(name: string): Promise<void> {
		const answer = await this.opts.weights?.lookup(name);
		if (answer === weightLookupResults.absent) {
			throw new errors.UserError(errors.data.NoSuchWeights, [name]);
		}
		if (answer === weightLookupResults.busy) {
			throw new errors.UserError(errors.data.WeightStoreBusy);
		}
	}

	/** Without a token check by the endpoint, an earlier holder's order may still be in flight. */
	private async sendUnchecked(
		request: OrderRequest,
		lease: HeldLease,
		requestedAt: number,
	): Promise<number> {
		const doneKey = `slategauge/orders/done/${request.endpoint}`;
		const marker = await this.opts.kv.get(doneKey);
		let leaseStartedAt = requestedAt;
		if (marker && marker.value !== 'done') {
			await this.waitForLeaseExpiry(lease);
			leaseStartedAt = this.opts.clock.sinceBoot();
			await this.renew(lease);
		}
		const started = await this.opts.kv.compareAndSwap(doneKey, marker?.rev ?? 0, lease.leaseId);
		if (!started.swapped) {
			throw new errors.UserError(errors.data.OrderInProgress, [request.endpoint, 'another VM']);
		}
		const token = await this.sendUnderLease(request, lease, leaseStartedAt);
		await this.opts.kv.compareAndSwap(doneKey, started.rev, 'done');
		return token;
	}

	private async waitForLeaseExpiry(lease: HeldLease): Promise<void> {
		const expiresAt = this.opts.clock.sinceBoot() + orderLeaseMs + clockMarginMs;
		while (this.opts.clock.sinceBoot() < expiresAt) {
			await this.renew(lease);
			await this.opts.sleep(maxSendDelayMs / 2);
		}
	}

	private async renew(lease: HeldLease): Promise<void> {
		if (!(await this.opts.kv.renewLease(lease.leaseId))) {
			throw new errors.UserError(errors.data.OrderLeaseLost);
		}
	}

	private async sendUnderLease(
		request: OrderRequest,
		lease: HeldLease,
		leaseStartedAt: number,
	): Promise<number> {
		const { kind, argument } = request;
		if (this.opts.clock.sinceBoot() - leaseStartedAt > maxSendDelayMs) {
			throw new errors.UserError(errors.data.OrderLeaseLost);
		}
		const order = { kind, argument, fencingToken: lease.token };
		const status = await this.opts.endpoints.order(request.url, order, answerTimeoutMs);
		if (status !== 200) {
			throw new errors.UserError(errors.data.OrderRefused, [request.endpoint, String(status)]);
		}
		this.opts.log.info('order.given', { endpoint: request.endpoint, kind, token: lease.token });
		return lease.token;
	}

	private async acquire(key: string): Promise<HeldLease> {
		const { kv, random, vm } = this.opts;
		const leaseId = await kv.grantLease(orderLeaseMs);
		const record: LeaseRecord = { operation: random.hex(12), vm };
		try {
			const swap = await kv.compareAndSwap(key, 0, JSON.stringify(record), leaseId);
			if (swap.swapped) {
				return { key, leaseId, token: swap.rev };
			}
		} catch (err) {
			if (!(err instanceof KvError)) {
				throw err;
			}
		}
		return this.resolveHolder(key, leaseId, record);
	}

	/** Determines the holder of the key after a failed swap or a lost reply. */
	private async resolveHolder(
		key: string,
		leaseId: string,
		record: LeaseRecord,
	): Promise<HeldLease> {
		const entry = await this.opts.kv.get(key);
		const holder = entry ? (JSON.parse(entry.value) as LeaseRecord) : undefined;
		if (entry && holder?.operation === record.operation) {
			return { key, leaseId, token: entry.rev };
		}
		await this.opts.kv.revokeLease(leaseId);
		throw new errors.UserError(errors.data.OrderInProgress, [key, holder?.vm ?? 'another VM']);
	}

	/** Ends the leases; one that can't be ended expires by itself. */
	private async release(leases: readonly HeldLease[]): Promise<void> {
		for (const { leaseId } of leases) {
			await this.opts.kv.revokeLease(leaseId).catch(() => {});
		}
	}
}
