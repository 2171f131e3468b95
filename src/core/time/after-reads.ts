/**
 * Order of timers and of bytes that have arrived.
 * @module
 */

/**
 * Runs an action once the bytes that have arrived are read. Timers run before the sockets are read, so after a pause of the process
 * they would take what waits in the buffers for missing.
 */
export function afterReads(action: () => void): void {
	setImmediate(() => setImmediate(action));
}
