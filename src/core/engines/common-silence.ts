/**
 * Tells when a silence of all engines of a service is ending: those that have not spoken yet are about to, and are not replaced.
 * @module
 */
import type { EngineHealth } from './engine-health.js';

/** Time in which sound engines speak again once the first has, in milliseconds; a silence that lasts longer is their own. */
const endingMs = 600;
/** Fewer silent engines are no common silence. */
const minEngines = 2;

interface HasHealth {
	health: EngineHealth;
}

export class CommonSilence {
	/** When all engines of a service with requests in flight were silent last, in monotonic milliseconds. */
	private readonly lastAt = new Map<string, number>();

	/** @param engines engines of the service that accept work; called several times a second */
	update(service: string, engines: readonly HasHealth[], now: number): void {
		const awaiting = engines.filter(({ health }) => health.isAwaiting);
		const isCommon =
			awaiting.length >= minEngines && awaiting.every(({ health }) => health.isSilent(now));
		if (isCommon) {
			this.lastAt.set(service, now);
		}
	}

	/** Whether some engine has gone on after a common silence, and others may be about to. */
	isEnding(service: string, now: number): boolean {
		const lastAt = this.lastAt.get(service);
		return lastAt !== undefined && lastAt < now && now - lastAt < endingMs;
	}
}
