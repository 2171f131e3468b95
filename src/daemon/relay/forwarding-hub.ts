/**
 * Connects the components by which VMs that lost their links to engines send requests through other VMs.
 * @module
 */
import type * as http from 'node:http';
import type { Clock, Log, Random } from '../../core/definitions.js';
import type { Engine } from '../../core/engines/engine.js';
import type { EngineDirectory } from '../../core/engines/engine-directory.js';
import type { RegisteredVm } from '../../core/fleet/aggregator-selection.js';
import { ForwardingAdmission } from '../../core/forwarding/forwarding-admission.js';
import { HelperSelection } from '../../core/forwarding/helper-selection.js';
import { LinkMonitor } from '../../core/forwarding/link-monitor.js';
import { RequestForwarding } from '../../core/forwarding/request-forwarding.js';
import type { CallerConnections } from '../../infra/caller-connections.js';
import type { UndiciEngineTransport } from '../../infra/relay/engine-transport.js';
import { ForwardingServer } from '../../infra/relay/forwarding-server.js';
import * as platform from '../../platform/index.js';

export interface ForwardingHubOptions {
	clock: Clock;
	log: Log;
	random: Random;
	/** Failure domain of this VM. */
	domain: string;
	engines: EngineDirectory;
	transport: UndiciEngineTransport;
	/** Other registered VMs. */
	getOtherVms: () => readonly RegisteredVm[];
	/** Reads the registered VMs again, unless that happened a moment ago. */
	refreshVms: () => Promise<void>;
	isStopping: () => boolean;
	loopDelayMs: () => number;
	/** Called for each request to forward, with the reason why it is not forwarded. */
	onOrder: (refusal: string | undefined) => void;
	/** Called when an engine breaks off the answer to a request of another VM. */
	onEngineBroken: (engine: Engine) => void;
	sleep: (ms: number) => Promise<void>;
}

export class ForwardingHub {
	readonly links: LinkMonitor;
	readonly forwarding: RequestForwarding;
	private readonly helpers: HelperSelection;
	private readonly server: ForwardingServer;

	constructor(opts: ForwardingHubOptions) {
		const { clock, log, random, domain, engines, transport, getOtherVms } = opts;
		this.links = new LinkMonitor({
			clock,
			log,
			random,
			getServices: () => engines.getServices(),
			getEngines: (service) => engines.getEligible(service),
			canConnect: (address) => transport.canConnect(address),
			onChecked: (service) => this.forwarding.updateService(service),
			sleep: opts.sleep,
		});
		this.helpers = new HelperSelection({
			clock,
			random,
			domain,
			getOthers: getOtherVms,
			onAddressUnused: (address) => transport.closeIdleConnections(address),
		});
		this.forwarding = new RequestForwarding({
			clock,
			links: this.links,
			helpers: this.helpers,
			getEngines: (service) => engines.getByService(service),
			onLinkLost: ({ registration }) => transport.closeIdleConnections(registration.address),
		});
		const { links } = this;
		const admission = new ForwardingAdmission({
			isRegistered: (ip) => getOtherVms().some(({ address }) => address.host === ip),
			isStopping: opts.isStopping,
			getEngine: (id) => engines.get(id),
			enginesRevision: () => engines.revision,
			hasLink: (engine) => (engine ? links.isUsable(engine) : links.cutOffServices.length === 0),
			loopDelayMs: opts.loopDelayMs,
			sinceBoot: () => clock.sinceBoot(),
		});
		this.server = new ForwardingServer({
			clock,
			log,
			admission,
			links,
			getEngine: (id) => engines.get(id),
			transport,
			stripConnectionHeaders: platform.stripConnectionHeaders,
			requestIdOf: platform.requestIdOf,
			refreshVms: opts.refreshVms,
			onOrder: opts.onOrder,
			onEngineBroken: opts.onEngineBroken,
		});
	}

	/** Requests of other VMs that have not ended. */
	get openRequests(): number {
		return this.server.openRequests;
	}

	/** @returns false for a request that asks for no forwarding */
	handle(
		req: http.IncomingMessage,
		res: http.ServerResponse,
		connections: CallerConnections,
	): boolean {
		return this.server.handle(req, res, connections);
	}

	/** Runs what is due; called several times a second. */
	update(): void {
		this.links.update();
		this.forwarding.update();
	}

	/** Removes outdated state; called every second. */
	sweep(): void {
		this.helpers.sweep();
	}
}
