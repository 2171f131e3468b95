/**
 * HTTP servers with bounds on what their clients hold.
 * @module
 */
import type * as http from 'node:http';
import type { ConnectionLedger } from '../../core/connections/connection-ledger.js';
import type { ReadTurns } from '../../core/connections/read-turns.js';

/** What the clients of one port may hold. */
export interface ConnectionMeter {
	ledger: ConnectionLedger;
	/** Shared by all ports of a process. */
	turns: ReadTurns;
}

/** HTTP/1.1 requires the header. */
export function isHostMissing(req: http.IncomingMessage): boolean {
	return req.httpVersion === '1.1' && req.headers.host === undefined;
}
