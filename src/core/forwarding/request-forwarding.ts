/**
 * Decides which engines this VM reaches only through other VMs, and chooses these VMs.
 * @module
 */
import type { Clock } from '../definitions.js';
import type { Engine } from '../engines/engine.js';
import type { HelperCall, HelperSelection } from './helper-selection.js';
import type { LinkMonitor } from './link-monitor.js';

export interface RequestForwardingOptions {
	clock: Clock;
	links: LinkMonitor;
	helpers: HelperSelection;
	/** All engines of a service: one that rests while the links come back is used again later. */
	getEngines: (service: string) => readonly Engine[];
	/** Called when this VM stops using its own link to an engine. */
	onLinkLost: (engine: Engine) => void;
}

export class RequestForwarding {
	constructor(private readonly opts: RequestForwardingOptions) {}

	/** Chooses a VM that forwards a request; undefined while none accepts requests of this urgency. */
	chooseHelper(urgency: number): HelperCall | undefined {
		return this.opts.helpers.choose(urgency);
	}

	/** When callers of requests that no VM forwards should retry, in seconds. */
	get retryAfterS(): number {
		return this.opts.helpers.retryAfterS;
	}

	/** Updates the engines of all services that are cut off; called several times a second. */
	update(): void {
		for (const service of this.opts.links.cutOffServices) {
			this.updateService(service);
		}
	}

	/** Updates the engines of a service after its links were checked. */
	updateService(service: string): void {
		const { links, helpers, getEngines } = this.opts;
		const canForward = links.isCutOff(service) && helpers.hasHelpers;
		for (const engine of getEngines(service)) {
			const isForwarded = canForward && !links.isUsable(engine);
			if (isForwarded !== engine.isForwarded) {
				this.switchLink(engine, isForwarded);
			}
		}
	}

	private switchLink(engine: Engine, isForwarded: boolean): void {
		engine.isForwarded = isForwarded;
		if (isForwarded) {
			this.opts.onLinkLost(engine);
		} else {
			engine.directHealth.handleLinkRestored(this.opts.clock.monotonic());
		}
	}
}
