/**
 * News and configurations between VMs: datagrams for news, one HTTP call for a configuration that a
 * peer has and this VM has not, such as when the store turns this VM away.
 * @module
 */
import * as http from 'node:http';
import * as undici from 'undici';
import type { Log } from '../../core/definitions.js';
import type { FleetView } from '../../core/fleet/fleet-view.js';
import type { HostPort } from '../../core/relay/settings.js';
import { PeerDatagrams } from '../../infra/relay/peer-datagrams.js';

/** Least time between two datagrams to each peer, in milliseconds. */
const newsMs = 10;
/**
 * Datagrams that one VM sends in a second at the most, and those of a whole fleet. At 600 from each,
 * a day with 72 VMs cost 0.09 cores a VM, most of it for news; larger fleets hear less often.
 */
const vmDatagramsPerSecond = 600;
const fleetDatagramsPerSecond = 8000;
/** A VM may send as many in any fleet, so that news do not grow too old. */
const leastDatagramsPerSecond = 160;
/** All of this VM's work is told at least so often, in milliseconds, or with every fourth news. */
const wholeMs = 250;
const wholeEvery = 4;
/** A peer that has the configuration answers in a few milliseconds. */
const fetchTimeoutMs = 800;
const configurationPath = '/configuration';
const enginesPath = '/engines';

export interface PeerExchangeOptions {
	log: Log;
	listen: HostPort;
	fleet: FleetView;
	/** Addresses for datagrams. */
	others: () => readonly HostPort[];
	/** The configuration in force as text. */
	configuration: () => string | undefined;
	offer: (text: string, source: string) => void;
	/** Engines changed since a revision, as text; undefined while this VM itself does not read the store. */
	engines: (since: number) => string | undefined;
	/** @returns false when the copy needs registrations that it does not hold */
	takeEngines: (text: string) => boolean;
	/** Revision of the store that this VM's engines show. */
	enginesRevision: () => number;
}

export class PeerExchange {
	readonly server: http.Server;
	private readonly datagrams: PeerDatagrams;
	private readonly agent = new undici.Agent();
	private timer?: NodeJS.Timeout;
	private wholeTimer?: NodeJS.Timeout;
	/** Paths that are being fetched. */
	private readonly fetching = new Set<string>();
	private sentAt = 0;

	constructor(private readonly opts: PeerExchangeOptions) {
		this.datagrams = new PeerDatagrams(opts.log, (news) => opts.fleet.receive(news));
		this.server = http.createServer((req, res) => this.serve(req, res));
	}

	async start(): Promise<void> {
		await this.datagrams.bind(this.opts.listen);
		this.tick();
	}

	/** Time between two news under load, in milliseconds; grows with the fleet. */
	get spacingMs(): number {
		const others = this.opts.others().length;
		const share = fleetDatagramsPerSecond / (others + 1);
		const rate = Math.min(Math.max(share, leastDatagramsPerSecond), vmDatagramsPerSecond);
		return Math.max(newsMs, (others * 1000) / rate);
	}

	/** How long no news were sent, in milliseconds. */
	get silentForMs(): number {
		return performance.now() - this.sentAt;
	}

	/** Something changed that peers should know. */
	changed(): void {
		this.timer ??= setTimeout(() => this.send(false), this.untilNext());
	}

	/** Fetches the configuration of a peer; one call at a time, news come again soon. */
	fetchConfiguration(address: string): Promise<void> {
		return this.fetch(address, configurationPath, (text) => {
			this.opts.offer(text, `peer ${address}`);
		});
	}

	/** Fetches what changed among the engines that a peer knows; all of them if that is not enough. */
	async fetchEngines(address: string): Promise<void> {
		let isWhole = true;
		const take = (text: string) => {
			isWhole = this.opts.takeEngines(text);
		};
		await this.fetch(address, `${enginesPath}?since=${this.opts.enginesRevision()}`, take);
		if (!isWhole) {
			await this.fetch(address, enginesPath, take);
		}
	}

	/** Tells all peers at once of something that cannot wait. */
	announce(): void {
		this.send(false, true);
	}

	private async fetch(address: string, path: string, take: (text: string) => void): Promise<void> {
		const [what = path] = path.split('?');
		if (this.fetching.has(what)) {
			return;
		}
		this.fetching.add(what);
		try {
			const res = await this.agent.request({
				origin: `http://${address}`,
				path,
				method: 'GET',
				signal: AbortSignal.timeout(fetchTimeoutMs),
			});
			const text = await res.body.text();
			if (res.statusCode === 200) {
				take(text);
			}
		} catch (err) {
			const error = (err as Error).message;
			this.opts.log.warn('peer.fetch-failed', { peer: address, path, error });
		} finally {
			this.fetching.delete(what);
		}
	}

	stop(): void {
		clearTimeout(this.timer);
		clearTimeout(this.wholeTimer);
		this.datagrams.close();
		void this.agent.destroy();
		this.server.close();
		this.server.closeAllConnections();
	}

	/** Tells all now and then, also when nothing changed: it shows that this VM lives. */
	private tick(): void {
		this.send(true);
		const wait = Math.max(wholeMs, wholeEvery * this.spacingMs);
		this.wholeTimer = setTimeout(() => this.tick(), wait);
	}

	/** @param urgent also when no work has changed */
	private send(whole: boolean, urgent = false): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		this.opts.fleet.newsAgeMs = this.spacingMs;
		if (whole || urgent || this.opts.fleet.hasNews) {
			this.sentAt = performance.now();
			this.datagrams.send(this.opts.others(), this.opts.fleet.takeNews(whole));
		}
	}

	/** Fast after a quiet time; under load changes wait for each other. */
	private untilNext(): number {
		return Math.max(0, this.sentAt + this.spacingMs - performance.now());
	}

	private textOf(target = ''): string | undefined {
		const { pathname, searchParams } = new URL(target, 'http://peer');
		if (pathname === configurationPath) {
			return this.opts.configuration();
		}
		const since = Number(searchParams.get('since') ?? 0);
		return pathname === enginesPath ? this.opts.engines(since) : undefined;
	}

	private serve(req: http.IncomingMessage, res: http.ServerResponse): void {
		const text = this.textOf(req.url);
		res.writeHead(text === undefined ? 404 : 200, { 'content-type': 'application/json' });
		res.end(text ?? '');
	}
}
