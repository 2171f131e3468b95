/**
 * Random numbers of the system.
 * @module
 */
import type { Random } from '../core/definitions.js';

export class SystemRandom implements Random {
	next(): number {
		return Math.random();
	}

	hex(bytes: number): string {
		// The global loads its module when it is first used; the relay never does, which shortens its start.
		return Buffer.from(crypto.getRandomValues(new Uint8Array(bytes))).toString('hex');
	}
}
