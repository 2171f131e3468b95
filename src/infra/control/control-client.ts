/**
 * tRPC client for a daemon's control port.
 * @module
 */
import * as trpc from '@trpc/client';
import type { ControlRouter } from './control-router.js';

export type ControlClient = ReturnType<typeof trpc.createTRPCClient<ControlRouter>>;

/** Creates a client for the daemon at `address` (`IP:port`); calls time out after `timeoutMs`. */
export function createControlClient(
	address: string,
	token: string,
	timeoutMs = 5000,
): ControlClient {
	return trpc.createTRPCClient<ControlRouter>({
		links: [
			trpc.httpLink({
				url: `http://${address}`,
				headers: { authorization: `Bearer ${token}` },
				fetch: (url, opts) =>
					fetch(url, { ...(opts as RequestInit), signal: AbortSignal.timeout(timeoutMs) }),
			}),
		],
	});
}
