/**
 * The VM's clock.
 * @module
 */
import { performance } from 'node:perf_hooks';
import type { Clock } from '../core/definitions.js';

export class SystemClock implements Clock {
	monotonic(): number {
		return performance.now();
	}

	wall(): number {
		return Date.now();
	}
}
