/**
 * Exchanges state with other VMs: gossip, usage counts and permits as datagrams, configurations and engine lists over HTTP.
 * A VM that cannot read the store gets these from its peers.
 * @module
 */
import type * as http from 'node:http';
import type { Clock, Log } from '../../core/definitions.js';
import type { UsageAck, UsageCounts } from '../../core/duties/types.js';
import type { RegisteredVm } from '../../core/fleet/aggregator-selection.js';
import { AggregatorSelection } from '../../core/fleet/aggregator-selection.js';
import type { FleetView } from '../../core/fleet/fleet-view.js';
import { GossipExchange } from '../../core/fleet/gossip-exchange.js';
import type { GossipMessage } from '../../core/fleet/types.js';
import type { PermitRequest, PermitResponse } from '../../core/limits/types.js';
import type { HostPort } from '../../core/relay/settings.js';
import { storedRevision } from '../../core/store/revisions.js';
import type { ConnectionMeter } from '../../infra/connections/metered-server.js';
import { PeerDatagramSocket } from '../../infra/relay/peer-datagram-socket.js';
import type { ForwardHandler } from '../../infra/relay/peer-transfers.js';
import { PeerTransfers } from '../../infra/relay/peer-transfers.js';
import { DueTimer } from './due-timer.js';

const configurationPath = '/configuration';
const enginesPath = '/engines';

export interface PeerExchangeOptions {
	clock: Clock;
	log: Log;
	self: RegisteredVm;
	fleet: FleetView;
	/** Other registered VMs. */
	otherVms: () => readonly RegisteredVm[];
	/** Peers to contact before any registered VM is known. */
	seeds: () => readonly HostPort[];
	/** Text of the active configuration; undefined before the first. */
	configurationText: () => string | undefined;
	/** @param source where the text comes from, for the log */
	applyConfigurationIfNewer: (text: string, source: string) => void;
	/** Serializes the engines changed since a revision; undefined while this VM does not read the store itself. */
	exportEngines: (since: number) => string | undefined;
	/**
	 * Applies a peer's copy of the engines.
	 * @returns false when the copy omits a registration that is not known here
	 * @throws Error when the text is no valid copy
	 */
	applyEngines: (text: string) => boolean;
	/** Store revision of this VM's engines. */
	enginesRevision: () => number;
	/** Handles a request that a peer asks this VM to forward; returns false for any other request. */
	handleForward: ForwardHandler;
	/** What clients of the port for peers may hold. */
	meter: ConnectionMeter;
	/** Called with the usage counts of another VM, and with an acknowledgement of this VM's counts. */
	onUsage: (usage: UsageCounts) => void;
	onUsageAck: (ack: UsageAck) => void;
	/** Called with the permit request of another VM, and with the response to a request of this VM. */
	onPermitRequest: (request: PermitRequest) => void;
	onPermitResponse: (response: PermitResponse) => void;
}

export class PeerExchange {
	private readonly datagrams: PeerDatagramSocket;
	private readonly gossip: GossipExchange;
	private readonly transfers: PeerTransfers;
	private readonly timer: DueTimer;

	constructor(private readonly opts: PeerExchangeOptions) {
		const { clock, log, self, fleet, otherVms, seeds } = opts;
		this.datagrams = new PeerDatagramSocket(log, {
			onGossip: (message) => this.receive(message),
			onUsage: (usage) => this.opts.onUsage(usage),
			onUsageAck: (ack) => this.opts.onUsageAck(ack),
			onPermitRequest: (request) => this.opts.onPermitRequest(request),
			onPermitResponse: (response) => this.opts.onPermitResponse(response),
		});
		this.gossip = new GossipExchange({
			clock,
			log,
			fleet,
			selection: new AggregatorSelection(self),
			self: self.address,
			otherVms,
			seeds,
			send: (to, message) => this.datagrams.sendGossip(to, message),
		});
		const { gossip } = this;
		this.timer = new DueTimer(
			clock,
			() => gossip.dueAt,
			() => gossip.sendDue(),
		);
		this.transfers = new PeerTransfers({
			log,
			getDocument: (target) => this.contentOf(target),
			meter: opts.meter,
			handleForward: opts.handleForward,
		});
	}

	/** HTTP server from which peers fetch the configuration and engines. */
	get server(): http.Server {
		return this.transfers.server;
	}

	/** Binds the datagram socket and starts to send gossip; the HTTP server is started by the caller. */
	async start(): Promise<void> {
		await this.datagrams.bind(this.opts.self.address);
		this.gossip.update();
		this.gossip.sendDue();
		this.timer.arm();
	}

	/** Milliseconds since this VM last sent gossip. */
	get sinceLastSendMs(): number {
		return this.gossip.sinceLastSendMs;
	}

	sendUsage(to: HostPort, usage: UsageCounts): void {
		this.datagrams.sendUsage(to, usage);
	}

	sendUsageAck(to: HostPort, ack: UsageAck): void {
		this.datagrams.sendUsageAck(to, ack);
	}

	sendPermitRequest(to: HostPort, request: PermitRequest): void {
		this.datagrams.sendPermitRequest(to, request);
	}

	sendPermitResponse(to: HostPort, response: PermitResponse): void {
		this.datagrams.sendPermitResponse(to, response);
	}

	/** Schedules gossip soon, since something changed that peers should know. */
	markChanged(): void {
		this.gossip.markChanged();
		this.timer.arm();
	}

	/** Re-evaluates the aggregator of this VM; called several times a second. */
	update(): void {
		this.gossip.update();
		this.timer.arm();
	}

	/** Gives up the aggregator role before this VM stops. */
	retire(): void {
		this.gossip.retire();
	}

	/** Fetches the configuration of a peer. A failed fetch is not retried here, since gossip soon triggers another. */
	async fetchConfiguration(address: string): Promise<void> {
		const text = await this.transfers.fetch(address, configurationPath);
		if (text !== undefined) {
			this.opts.applyConfigurationIfNewer(text, `peer ${address}`);
		}
	}

	/** Fetches the engines that changed at a peer, or all of them if the changes do not apply to this VM's copy. */
	async fetchEngines(address: string): Promise<void> {
		const since = this.opts.enginesRevision();
		const changed = await this.transfers.fetch(address, `${enginesPath}?since=${since}`);
		if (changed === undefined || this.applyEngines(address, changed)) {
			return;
		}
		const all = await this.transfers.fetch(address, enginesPath);
		if (all !== undefined) {
			this.applyEngines(address, all);
		}
	}

	/** @returns false when a full copy is needed; not for an invalid copy, which another fetch would not mend */
	private applyEngines(address: string, text: string): boolean {
		try {
			const isApplied = this.opts.applyEngines(text);
			const revision = storedRevision(this.opts.enginesRevision());
			this.opts.log.info('engines.copied', { peer: address, revision, complete: isApplied });
			return isApplied;
		} catch (err) {
			this.opts.log.error('engines.unreadable', { peer: address, error: (err as Error).message });
			return true;
		}
	}

	/** Sends gossip at once, regardless of its schedule. */
	sendNow(): void {
		this.gossip.sendNow();
		this.timer.arm();
	}

	stop(): void {
		this.timer.stop();
		this.datagrams.close();
		this.transfers.close();
	}

	private receive(message: GossipMessage): void {
		this.gossip.receive(message);
		this.timer.arm();
	}

	/** Returns what a peer fetches under a path and query; undefined when this VM does not have it. */
	private contentOf(target: string): string | undefined {
		const [path, query = ''] = target.split('?', 2);
		if (path === configurationPath) {
			return this.opts.configurationText();
		}
		const since = Number(new URLSearchParams(query).get('since') ?? 0);
		return path === enginesPath ? this.opts.exportEngines(since) : undefined;
	}
}
