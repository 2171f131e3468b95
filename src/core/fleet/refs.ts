/**
 * Compact hashes that replace names in gossip messages.
 * @module
 */
import * as rendezvous from '../membership/rendezvous.js';

/** Returns the 32-bit hash of an engine id, a prompt segment id or a VM name. */
export function refOf(id: string): number {
	return rendezvous.hashText(id);
}
