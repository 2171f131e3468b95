/**
 * News, configurations and engines between VMs: datagrams for news, one HTTP call for a configuration or engines that a
 * peer has and this VM has not, such as when the store turns this VM away.
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
import { PeerDatagramSocket } from '../../infra/relay/peer-datagram-socket.js';
import { PeerTransfers } from '../../infra/relay/peer-transfers.js';
import { DueTimer } from './due-timer.js';

const configurationPath = '/configuration';
const enginesPath = '/engines';

export interface PeerExchangeOptions {
	clock: Clock;
	log: Log;
	self: RegisteredVm;
	fleet: FleetView;
	/** Other VMs that are registered. */
	otherVms: () => readonly RegisteredVm[];
	/** VMs to ask before any is known. */
	seeds: () => readonly HostPort[];
	/** The configuration in force as text. */
	configurationText: () => string | undefined;
	applyConfigurationIfNewer: (text: string, source: string) => void;
	/** Engines changed since a revision, as text; undefined while this VM itself does not read the store. */
	exportEngines: (since: number) => string | undefined;
	/** @returns false when the copy needs registrations that it does not hold */
	applyEngines: (text: string) => boolean;
	/** Revision of the store that this VM's engines show. */
	enginesRevision: () => number;
	/** A VM tells what it counted, or that it has taken in what this VM counted. */
	onUsage: (usage: UsageCounts) => void;
	onUsageAck: (taken: UsageAck) => void;
	/** A VM asks for a permit, or answers an ask of this VM. */
	onPermitRequest: (ask: PermitRequest) => void;
	onPermitResponse: (answer: PermitResponse) => void;
}

export class PeerExchange {
	private readonly datagrams: PeerDatagramSocket;
	private readonly news: GossipExchange;
	private readonly transfers: PeerTransfers;
	private readonly timer: DueTimer;

	constructor(private readonly opts: PeerExchangeOptions) {
		const { clock, log, self, fleet, otherVms: listed, seeds } = opts;
		this.datagrams = new PeerDatagramSocket(log, {
			onGossip: (news) => this.receive(news),
			onUsage: (usage) => this.opts.onUsage(usage),
			onUsageAck: (taken) => this.opts.onUsageAck(taken),
			onPermitRequest: (ask) => this.opts.onPermitRequest(ask),
			onPermitResponse: (answer) => this.opts.onPermitResponse(answer),
		});
		this.news = new GossipExchange({
			clock,
			log,
			fleet,
			selection: new AggregatorSelection(self),
			self: self.address,
			otherVms: listed,
			seeds,
			send: (to, news) => this.datagrams.sendGossip(to, news),
		});
		const { news } = this;
		this.timer = new DueTimer(
			clock,
			() => news.dueAt,
			() => news.sendDue(),
		);
		this.transfers = new PeerTransfers({ log, getDocument: (target) => this.textOf(target) });
	}

	/** Where peers fetch what this VM has. */
	get server(): http.Server {
		return this.transfers.server;
	}

	async start(): Promise<void> {
		await this.datagrams.bind(this.opts.self.address);
		this.news.update();
		this.news.sendDue();
		this.timer.arm();
	}

	/** How long no news were sent, in milliseconds. */
	get sinceLastSendMs(): number {
		return this.news.sinceLastSendMs;
	}

	sendUsage(to: HostPort, usage: UsageCounts): void {
		this.datagrams.sendUsage(to, usage);
	}

	sendUsageAck(to: HostPort, taken: UsageAck): void {
		this.datagrams.sendUsageAck(to, taken);
	}

	sendPermitRequest(to: HostPort, ask: PermitRequest): void {
		this.datagrams.sendPermitRequest(to, ask);
	}

	sendPermitResponse(to: HostPort, answer: PermitResponse): void {
		this.datagrams.sendPermitResponse(to, answer);
	}

	/** Something changed that peers should know. */
	markChanged(): void {
		this.news.markChanged();
		this.timer.arm();
	}

	/** Looks anew who gathers this VM's news; called several times a second. */
	update(): void {
		this.news.update();
		this.timer.arm();
	}

	/** This VM stops: others gather news from now on. */
	retire(): void {
		this.news.retire();
	}

	/** Fetches the configuration of a peer; one call at a time, news come again soon. */
	async fetchConfiguration(address: string): Promise<void> {
		const text = await this.transfers.fetch(address, configurationPath);
		if (text !== undefined) {
			this.opts.applyConfigurationIfNewer(text, `peer ${address}`);
		}
	}

	/** Fetches what changed among the engines that a peer knows; all of them if that is not enough. */
	async fetchEngines(address: string): Promise<void> {
		const since = this.opts.enginesRevision();
		const changed = await this.transfers.fetch(address, `${enginesPath}?since=${since}`);
		if (changed === undefined || this.takeEngines(address, changed)) {
			return;
		}
		const all = await this.transfers.fetch(address, enginesPath);
		if (all !== undefined) {
			this.takeEngines(address, all);
		}
	}

	/** @returns whether it was enough; what cannot be read is logged, since asking again brings the same */
	private takeEngines(address: string, text: string): boolean {
		try {
			return this.opts.applyEngines(text);
		} catch (err) {
			this.opts.log.error('engines.unreadable', { peer: address, error: (err as Error).message });
			return true;
		}
	}

	/** Tells peers at once of something that cannot wait. */
	sendNow(): void {
		this.news.sendNow();
		this.timer.arm();
	}

	stop(): void {
		this.timer.stop();
		this.datagrams.close();
		this.transfers.close();
	}

	private receive(news: GossipMessage): void {
		this.news.receive(news);
		this.timer.arm();
	}

	private textOf(target: string): string | undefined {
		const { pathname, searchParams } = new URL(target, 'http://peer');
		if (pathname === configurationPath) {
			return this.opts.configurationText();
		}
		const since = Number(searchParams.get('since') ?? 0);
		return pathname === enginesPath ? this.opts.exportEngines(since) : undefined;
	}
}
