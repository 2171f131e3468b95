/**
 * Implements the control port's API on a daemon.
 * @module
 */
import * as crypto from 'node:crypto';
import type { VersionedConfiguration } from '../core/configuration/index.js';
import type { ChangeRequest } from '../core/configuration/writer.js';
import type { OrderKind } from '../core/definitions.js';
import * as errors from '../core/errors/index.js';
import type { ActiveRequest } from '../core/requests/active-request.js';
import type { StoredAnswer } from '../core/requests/answer-store.js';
import type { TimelineEvent } from '../core/timeline/index.js';
import type { DaemonApi, EndpointRow, RequestRow, StatusReport } from '../infra/control/types.js';
import type { Daemon } from './daemon.js';

export class DaemonControl implements DaemonApi {
	constructor(private readonly daemon: Daemon) {}

	status(): StatusReport {
		const { settings, router, kv, configuration } = this.daemon;
		const cpu = process.cpuUsage();
		const { traffic } = this.daemon.transport;
		const running = [...router.getActiveRequests()].filter((active) => active.currentSlot).length;
		return {
			vm: settings.vm.id,
			failure_domain: settings.vm.failure_domain,
			configuration_version: configuration?.version ?? 0,
			policy: configuration?.document.policy.name ?? 'none',
			ready: this.daemon.getRefusal()?.name ?? 'ready',
			queued: router.queue.size,
			running,
			members: this.members(),
			kv_calls: kv.callCount,
			cpu_ms: (cpu.user + cpu.system) / 1000,
			rss_bytes: process.memoryUsage.rss(),
			peer_bytes_sent: traffic.bytesSent,
			peer_bytes_received: traffic.bytesReceived,
			peer_datagrams_sent: traffic.datagramsSent,
			peer_datagrams_received: traffic.datagramsReceived,
			uptime_ms: process.uptime() * 1000,
		};
	}

	requests(): RequestRow[] {
		return [...this.daemon.router.getActiveRequests()].map((active) => this.toRow(active));
	}

	endpoints(): EndpointRow[] {
		const { fleet, configuration, settings } = this.daemon;
		const endpoints = configuration?.document.endpoints ?? [];
		return endpoints.map((endpoint) => {
			const heldSlots = fleet?.policy.getHeldSlots(endpoint.name);
			return {
				endpoint: endpoint.name,
				vm: settings.vm.id,
				owner: fleet?.ownedLedgers.ownerOf(endpoint.name) ?? '',
				state: heldSlots?.lastReply?.isUnavailable ? 'closed' : endpoint.state,
				limit: heldSlots?.lastReply?.limit ?? 0,
				running: heldSlots?.runningCount ?? 0,
				idle: heldSlots?.idleSlots ?? 0,
			};
		});
	}

	answer(request: string): Promise<StoredAnswer | undefined> {
		return this.daemon.router.answers.wait(request);
	}

	async order(name: string, kind: OrderKind, argument: string): Promise<number> {
		const endpoint = this.daemon.configuration?.findEndpoint(name);
		if (!endpoint) {
			throw new errors.UserError(errors.data.NotFound, [`endpoint ${name}`]);
		}
		const { url, checks_fencing: checksFencing } = endpoint;
		return this.daemon.orders.send({ endpoint: name, url, checksFencing, kind, argument });
	}

	cutPeers(peers: readonly string[]): void {
		if (!this.daemon.settings.drills.enabled) {
			throw new errors.UserError(errors.data.DrillsDisabled);
		}
		this.daemon.blockedPeers.clear();
		for (const peer of peers) {
			this.daemon.blockedPeers.add(peer);
		}
	}

	events(since: number): TimelineEvent[] {
		return this.daemon.timeline.getEventsSince(since);
	}

	configuration(): VersionedConfiguration | undefined {
		return this.daemon.follower.active;
	}

	async applyConfiguration(change: ChangeRequest): Promise<VersionedConfiguration> {
		const versioned = await this.daemon.writer.write(change);
		this.daemon.follower.applyIfNewer(versioned);
		return versioned;
	}

	isOperator(token: string): boolean {
		const isPeer = equalSecrets(token, this.daemon.settings.peers.token);
		return isPeer || this.daemon.configuration?.isOperator(token) === true;
	}

	private members(): StatusReport['members'] {
		const members = this.daemon.fleet?.membership.getAllMembers() ?? [];
		return members.map((member) => ({
			vm: member.id,
			state: member.state,
			control: `${member.address}:${member.port}`,
		}));
	}

	private toRow(active: ActiveRequest): RequestRow {
		const now = this.daemon.clock.monotonic();
		const { req } = active;
		return {
			id: req.id,
			vm: this.daemon.settings.vm.id,
			state: active.currentSlot ? 'running' : 'queued',
			class: req.cls.name,
			tier: req.cls.tier,
			customer: req.customer,
			endpoint: active.currentSlot?.endpoint ?? '',
			late: active.forwardedTokens === 0 && now > req.firstTokenBy,
			age_ms: Math.round(now - req.arrivedAt),
			tokens: active.forwardedTokens,
		};
	}
}

/** Compares in constant time, also for different lengths. */
function equalSecrets(a: string, b: string): boolean {
	const hash = (text: string) => crypto.createHash('sha256').update(text).digest();
	return crypto.timingSafeEqual(hash(a), hash(b));
}
