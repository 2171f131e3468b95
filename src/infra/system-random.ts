/**
 * Random numbers of the system.
 * @module
 */
import * as crypto from 'node:crypto';
import type { Random } from '../core/definitions.js';

export class SystemRandom implements Random {
	next(): number {
		return Math.random();
	}

	hex(bytes: number): string {
		return crypto.randomBytes(bytes).toString('hex');
	}
}
