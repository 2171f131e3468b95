/**
 * Clock of the VM, with a time since boot that includes suspensions.
 * @module
 */
import { performance } from 'node:perf_hooks';
import type { Clock } from '../core/definitions.js';
import { SuspensionMeter } from '../core/time/suspension-meter.js';

export class SystemClock implements Clock {
	private readonly suspension = new SuspensionMeter();

	/** Total time that the VM was suspended since the process started. */
	get suspendedMs(): number {
		return this.suspension.totalMs;
	}

	monotonic(): number {
		return performance.now();
	}

	sinceBoot(): number {
		const monotonicMs = performance.now();
		this.suspension.sample(monotonicMs, Date.now());
		return monotonicMs + this.suspension.totalMs;
	}

	wall(): number {
		return Date.now();
	}
}
