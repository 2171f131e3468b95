/**
 * Gives orders to endpoints under a lease with a fencing token. The lease is taken for one order
 * only. An endpoint that checks tokens refuses a holder that was paused and overtaken; for one that
 * does not, the holder stops well before its lease ends, and the next waits out the lease.
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
import { KvError, weightAnswers } from '../definitions.js';
import * as errors from '../errors/index.js';

/** Life of an order's lease, in milliseconds. */
export const orderLeaseMs = 5000;
/** An order is not sent later than this after its lease was asked for, in milliseconds. */
const sendBeforeMs = 2000;
/** Longest time for the endpoint's answer, in milliseconds. */
const answerMs = 1500;
/** Beyond the lease, for clocks that run apart, in milliseconds. */
const marginMs = 1000;
/** Orders that read the weight store; one at a time over the fleet keeps to its rate. */
const loadOrders = new Set<EndpointOrder['kind']>(['load-model', 'load-adapter', 'set-version']);
const weightsKey = 'slategauge/orders/weights';

export interface OrderSenderOptions {
	kv: KvStore;
	clock: Clock;
	random: Random;
	log: Log;
	endpoints: Pick<EndpointClient, 'order'>;
	/** Without one, load orders are given unasked. */
	weights?: WeightStore;
	vm: string;
	sleep: (ms: number) => Promise<void>;
}

/** An order as an operator asks for it. */
export interface OrderRequest {
	endpoint: string;
	url: string;
	checksFencing: boolean;
	kind: EndpointOrder['kind'];
	argument: string;
}

/** What stands under an order's key. */
interface Holder {
	operation: string;
	vm: string;
}

interface Held {
	key: string;
	leaseId: string;
	/** Revision of the holder's record: grows with each holder. */
	token: number;
}

export class OrderSender {
	constructor(private readonly opts: OrderSenderOptions) {}

	/** Resolves with the fencing token when the endpoint has taken the order. */
	async send(request: OrderRequest): Promise<number> {
		const askedAt = this.opts.clock.sinceBoot();
		const held: Held[] = [];
		try {
			if (loadOrders.has(request.kind)) {
				held.push(await this.acquire(weightsKey));
				await this.checkWeights(request.argument);
			}
			const own = await this.acquire(`slategauge/orders/endpoint/${request.endpoint}`);
			held.push(own);
			return request.checksFencing
				? await this.sendUnderLease(request, own, askedAt)
				: await this.sendUnchecked(request, own, askedAt);
		} catch (err) {
			throw err instanceof KvError ? new errors.UserError(errors.data.PlatformUnavailable) : err;
		} finally {
			await this.release(held);
		}
	}

	/** Asked under the fleet's one lease for loads, so that the store's rate is kept. */
	private async checkWeights(name: string): Promise<void> {
		const answer = await this.opts.weights?.find(name);
		if (answer === weightAnswers.absent) {
			throw new errors.UserError(errors.data.NoSuchWeights, [name]);
		}
		if (answer === weightAnswers.busy) {
			throw new errors.UserError(errors.data.WeightStoreBusy);
		}
	}

	/** The endpoint cannot tell holders apart: one that was cut off may still be sending. */
	private async sendUnchecked(request: OrderRequest, own: Held, askedAt: number): Promise<number> {
		const doneKey = `slategauge/orders/done/${request.endpoint}`;
		const before = await this.opts.kv.get(doneKey);
		let freshSince = askedAt;
		if (before && before.value !== 'done') {
			await this.waitOut(own);
			freshSince = this.opts.clock.sinceBoot();
			await this.renew(own);
		}
		const open = await this.opts.kv.swap(doneKey, before?.rev ?? 0, own.leaseId);
		if (!open.swapped) {
			throw new errors.UserError(errors.data.OrderInProgress, [request.endpoint, 'another VM']);
		}
		const token = await this.sendUnderLease(request, own, freshSince);
		await this.opts.kv.swap(doneKey, open.rev, 'done');
		return token;
	}

	private async waitOut(own: Held): Promise<void> {
		const until = this.opts.clock.sinceBoot() + orderLeaseMs + marginMs;
		while (this.opts.clock.sinceBoot() < until) {
			await this.renew(own);
			await this.opts.sleep(sendBeforeMs / 2);
		}
	}

	private async renew(own: Held): Promise<void> {
		if (!(await this.opts.kv.renewLease(own.leaseId))) {
			throw new errors.UserError(errors.data.OrderLeaseLost);
		}
	}

	private async sendUnderLease(
		request: OrderRequest,
		own: Held,
		freshSince: number,
	): Promise<number> {
		const { kind, argument } = request;
		if (this.opts.clock.sinceBoot() - freshSince > sendBeforeMs) {
			throw new errors.UserError(errors.data.OrderLeaseLost);
		}
		const order = { kind, argument, fencingToken: own.token };
		const status = await this.opts.endpoints.order(request.url, order, answerMs);
		if (status !== 200) {
			throw new errors.UserError(errors.data.OrderRefused, [request.endpoint, String(status)]);
		}
		this.opts.log.info('order.given', { endpoint: request.endpoint, kind, token: own.token });
		return own.token;
	}

	private async acquire(key: string): Promise<Held> {
		const { kv, random, vm } = this.opts;
		const leaseId = await kv.grantLease(orderLeaseMs);
		const record: Holder = { operation: random.hex(12), vm };
		try {
			const swap = await kv.swap(key, 0, JSON.stringify(record), leaseId);
			if (swap.swapped) {
				return { key, leaseId, token: swap.rev };
			}
		} catch (err) {
			if (!(err instanceof KvError)) {
				throw err;
			}
		}
		return this.settle(key, leaseId, record);
	}

	/** Another holds the key, or the reply was lost. */
	private async settle(key: string, leaseId: string, record: Holder): Promise<Held> {
		const entry = await this.opts.kv.get(key);
		const holder = entry ? (JSON.parse(entry.value) as Holder) : undefined;
		if (entry && holder?.operation === record.operation) {
			return { key, leaseId, token: entry.rev };
		}
		await this.opts.kv.endLease(leaseId);
		throw new errors.UserError(errors.data.OrderInProgress, [key, holder?.vm ?? 'another VM']);
	}

	/** A lease that cannot be ended lapses by itself. */
	private async release(held: readonly Held[]): Promise<void> {
		for (const { leaseId } of held) {
			await this.opts.kv.endLease(leaseId).catch(() => {});
		}
	}
}
