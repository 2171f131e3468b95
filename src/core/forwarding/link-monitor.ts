/**
 * Detects that this VM has lost its own links to the engines of a service. Whether the engines live, only VMs with other links
 * can tell. New connections decide: a cut link refuses or swallows them, while a silent engine still accepts them.
 * @module
 */
import type { Clock, Log, Random } from '../definitions.js';
import type { Engine } from '../engines/engine.js';
import type { EngineRef } from '../fleet/types.js';

/** Links are suspected after this time without bytes from any engine while requests are in flight, in milliseconds. */
const silenceMs = 600;
/** The same for the engines of one service; longer, since a few requests may wait in their queues. */
const serviceSilenceMs = 1500;
/** A connection that takes longer is suspicious, in milliseconds; on a sound link it takes a few. */
const quickConnectMs = 150;
/** Minimum interval between suspicions because of silence that were not confirmed, in milliseconds. */
const silenceSuspicionIntervalMs = 2000;
/** The same for suspicions because of failed connections; short, as a dead engine may be the first to fail. */
const failureSuspicionIntervalMs = 200;
/** Mean interval between checks whether a cut has healed, in milliseconds. */
const recheckIntervalMs = 500;
/** Engines that are probed at once, so that the probes of many VMs do not add up at an engine. */
const maxProbes = 8;
/** With a larger share of failed probes the VM counts as cut off. */
const cutOffShare = 0.5;
/** With a smaller share of failed probes it no longer does; lower, as a few engines may be down at any time. */
const reachedShare = 1 / 3;
/** Further probes of a check count as failed after this time, in milliseconds. */
const probeTimeoutMs = 250;
/** A longer check proves nothing, as the event loop stalled and timed out connections that were established, in milliseconds. */
const maxCheckMs = 400;
/** A VM without requests in flight tries a connection after this time without bytes from any engine, in milliseconds. */
const idleCheckMs = 1000;

/** State of the links to the engines of one service. */
interface ServiceLinks {
	isCutOff: boolean;
	/** Resolves when the check in progress has ended. */
	running?: Promise<void>;
	/** Earliest times of the next check while cut off, and of the next suspicions otherwise, in monotonic milliseconds. */
	nextCheckAt: number;
	nextFailureSuspicionAt: number;
	nextSilenceSuspicionAt: number;
	/** While cut off, the engines whose links were found sound. */
	sound: Set<EngineRef>;
}

export interface LinkMonitorOptions {
	clock: Clock;
	log: Log;
	random: Random;
	/** Names of the services that have engines. */
	getServices: () => Iterable<string>;
	/** Engines of a service that accept work, regardless of health. */
	getEngines: (service: string) => readonly Engine[];
	/** Whether a connection to an address can be opened; gives up after some hundred milliseconds. */
	canConnect: (address: string) => Promise<boolean>;
	/** Called when the links of a service were checked while it was cut off, or changed. */
	onChecked: (service: string) => void;
	sleep: (ms: number) => Promise<void>;
}

export class LinkMonitor {
	private readonly byService = new Map<string, ServiceLinks>();
	/** Last tries of a connection while requests were in flight, and while none were, in monotonic milliseconds. */
	private silenceCheckedAt = Number.NEGATIVE_INFINITY;
	private idleCheckedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly opts: LinkMonitorOptions) {}

	/** Whether most links to the engines of a service are down. */
	isCutOff(service: string): boolean {
		return this.byService.get(service)?.isCutOff ?? false;
	}

	/** Names of the services whose engines this VM cannot reach. */
	get cutOffServices(): string[] {
		return [...this.byService].filter(([, { isCutOff }]) => isCutOff).map(([service]) => service);
	}

	/** Whether the link to an engine can be used. Links that were not checked are as those of the service. */
	isUsable({ ref, registration }: Engine): boolean {
		const links = this.byService.get(registration.service);
		return !links?.isCutOff || links.sound.has(ref);
	}

	/** Resolves when the links of a service have been checked; undefined while no check runs. */
	getRunningCheck(service: string): Promise<void> | undefined {
		return this.byService.get(service)?.running;
	}

	/** Records that a connection to an engine could not be opened. */
	recordUnreachable(engine: Engine): void {
		const { service } = engine.registration;
		const links = this.linksOf(service);
		links.sound.delete(engine.ref);
		if (!links.running && !links.isCutOff && this.now >= links.nextFailureSuspicionAt) {
			links.nextFailureSuspicionAt = this.now + failureSuspicionIntervalMs;
			const others = this.opts.getEngines(service).filter((other) => other !== engine);
			this.suspect(service, links, this.pickRandom(others));
		}
	}

	/** Runs the checks that are due; called several times a second. */
	update(): void {
		this.checkQuiet();
		for (const service of this.opts.getServices()) {
			const links = this.linksOf(service);
			if (links.running) {
				continue;
			}
			if (!links.isCutOff) {
				this.checkSilence(service, links);
			} else if (this.now >= links.nextCheckAt) {
				this.run(links, this.check(service, links));
			}
		}
	}

	private checkSilence(service: string, links: ServiceLinks): void {
		const isDue = this.now >= links.nextSilenceSuspicionAt;
		const silent = isDue ? this.findSilent(service) : undefined;
		if (silent) {
			links.nextSilenceSuspicionAt = this.now + silenceSuspicionIntervalMs;
			this.suspect(service, links, silent);
		}
	}

	/** Tries a connection if no engine has sent anything for a while, as a cut would go unnoticed until then. */
	private checkQuiet(): void {
		const services = [...this.opts.getServices()].filter((service) => !this.isCutOff(service));
		const engines = services.flatMap((service) => this.opts.getEngines(service));
		const inFlight = engines.filter(({ directHealth }) => directHealth.isAwaiting);
		const isAwaiting = inFlight.length > 0;
		const activeAt = Math.max(...engines.map(({ directHealth }) => directHealth.activeAt));
		const isQuiet =
			this.now - activeAt >= (isAwaiting ? silenceMs : idleCheckMs) &&
			this.areSilent(inFlight, silenceMs);
		if (!isQuiet || !this.isQuietCheckDue(isAwaiting, activeAt)) {
			return;
		}
		if (isAwaiting) {
			this.silenceCheckedAt = this.now;
		} else {
			this.idleCheckedAt = this.now;
		}
		const engine = this.pickRandom(engines);
		if (engine) {
			const { service } = engine.registration;
			const links = this.linksOf(service);
			if (!links.running) {
				this.suspect(service, links, engine);
			}
		}
	}

	/** While no requests are in flight, once is enough: pooled connections are closed soon, and a new one shows the cut. */
	private isQuietCheckDue(isAwaiting: boolean, activeAt: number): boolean {
		return isAwaiting
			? this.now - this.silenceCheckedAt >= silenceSuspicionIntervalMs
			: Number.isFinite(activeAt) && Math.max(this.silenceCheckedAt, this.idleCheckedAt) < activeAt;
	}

	private get now(): number {
		return this.opts.clock.monotonic();
	}

	private linksOf(service: string): ServiceLinks {
		let links = this.byService.get(service);
		if (!links) {
			links = {
				isCutOff: false,
				nextCheckAt: 0,
				nextFailureSuspicionAt: 0,
				nextSilenceSuspicionAt: 0,
				sound: new Set(),
			};
			this.byService.set(service, links);
		}
		return links;
	}

	/** Any engine of the service, if all of those with requests in flight have been silent for long. */
	private findSilent(service: string): Engine | undefined {
		const inFlight = this.opts
			.getEngines(service)
			.filter(({ directHealth }) => directHealth.isAwaiting);
		return this.areSilent(inFlight, serviceSilenceMs) ? this.pickRandom(inFlight) : undefined;
	}

	/** Whether engines with requests in flight have sent nothing for a time. */
	private areSilent(inFlight: readonly Engine[], ms: number): boolean {
		const { now } = this;
		return inFlight.every(({ directHealth }) => directHealth.silentMs(now) >= ms);
	}

	/**
	 * Probes one engine, and further ones only if it does not accept the connection quickly.
	 * @param engine undefined when the service has no other
	 */
	private suspect(service: string, links: ServiceLinks, engine: Engine | undefined): void {
		this.run(links, this.checkUnlessConnected(service, links, engine));
	}

	private run(links: ServiceLinks, check: Promise<void>): void {
		links.running = check.finally(() => {
			links.running = undefined;
		});
	}

	private async checkUnlessConnected(
		service: string,
		links: ServiceLinks,
		engine: Engine | undefined,
	): Promise<void> {
		const isConnected = engine !== undefined && (await this.connects(engine, quickConnectMs));
		if (!isConnected) {
			await this.check(service, links);
		}
	}

	private connects({ registration }: Engine, withinMs: number): Promise<boolean> {
		const { canConnect, sleep } = this.opts;
		const isLate = sleep(withinMs).then(() => false);
		return Promise.race([canConnect(registration.address), isLate]);
	}

	/** Probes a random sample of a service's engines. */
	private async check(service: string, links: ServiceLinks): Promise<void> {
		const startedAt = this.now;
		const sample = this.sampleEngines(service);
		const probes = sample.map((engine) => this.connects(engine, probeTimeoutMs));
		const isReached = await Promise.all(probes);
		links.nextCheckAt = this.now + recheckIntervalMs * (0.75 + 0.5 * this.opts.random.next());
		if (this.now - startedAt <= maxCheckMs) {
			this.apply(service, links, sample, isReached);
		}
	}

	private apply(
		service: string,
		links: ServiceLinks,
		sample: readonly Engine[],
		isReached: readonly boolean[],
	): void {
		const failed = isReached.filter((reached) => !reached).length;
		const failedShare = sample.length === 0 ? 0 : failed / sample.length;
		const wasCutOff = links.isCutOff;
		links.isCutOff = failedShare > (wasCutOff ? reachedShare : cutOffShare);
		sample.forEach(({ ref }, index) => {
			links.sound[isReached[index] ? 'add' : 'delete'](ref);
		});
		if (!links.isCutOff) {
			links.sound.clear();
		}
		if (links.isCutOff !== wasCutOff) {
			const event = links.isCutOff ? 'engines.cut-off' : 'engines.reached';
			this.opts.log.warn(event, { service, probed: sample.length, failed });
		}
		if (links.isCutOff || wasCutOff) {
			this.opts.onChecked(service);
		}
		if (links.isCutOff && !wasCutOff) {
			this.checkOtherServices(service);
		}
	}

	/** A cut rarely affects the engines of a single service. */
	private checkOtherServices(cutOff: string): void {
		for (const service of this.opts.getServices()) {
			const links = this.linksOf(service);
			if (service !== cutOff && !links.isCutOff && !links.running) {
				this.run(links, this.check(service, links));
			}
		}
	}

	private sampleEngines(service: string): Engine[] {
		const engines = [...this.opts.getEngines(service)];
		const sample: Engine[] = [];
		while (engines.length > 0 && sample.length < maxProbes) {
			const index = Math.floor(this.opts.random.next() * engines.length);
			sample.push(...engines.splice(index, 1));
		}
		return sample;
	}

	private pickRandom(engines: readonly Engine[]): Engine | undefined {
		return engines[Math.floor(this.opts.random.next() * engines.length)];
	}
}
