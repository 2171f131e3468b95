/**
 * Random numbers of the runtime.
 * @module
 */
import type { Random } from '../core/definitions.js';

export class SystemRandom implements Random {
	next(): number {
		return Math.random();
	}

	hex(bytes: number): string {
		// The global loads its module on first use, which keeps it out of the start-up of the relay.
		return Buffer.from(crypto.getRandomValues(new Uint8Array(bytes))).toString('hex');
	}
}
