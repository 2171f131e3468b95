/**
 * The VM's clock.
 * @module
 */
import { performance } from 'node:perf_hooks';
import type { Clock } from '../core/definitions.js';
import { SuspensionMeter } from '../core/time/suspension-meter.js';

export class SystemClock implements Clock {
	private readonly suspension = new SuspensionMeter();

	/** All suspensions of the VM since the start, in milliseconds. */
	get suspendedMs(): number {
		return this.suspension.totalMs;
	}

	monotonic(): number {
		return performance.now();
	}

	sinceBoot(): number {
		const steadyMs = performance.now();
		this.suspension.sample(steadyMs, Date.now());
		return steadyMs + this.suspension.totalMs;
	}

	wall(): number {
		return Date.now();
	}
}
