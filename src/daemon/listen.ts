/**
 * Binds a daemon's servers to their ports.
 * @module
 */
import type * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { UdpTransport } from '../infra/peers/udp-transport.js';

/** Attempts to find a port number that is free for both TCP and UDP. */
const maxPortAttempts = 20;

/** Resolves with the bound port. */
export async function listenOn(
	server: http.Server,
	address: string,
	port: number,
): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, address, resolve);
	});
	return (server.address() as AddressInfo).port;
}

/** Binds TCP and UDP to the same port number; with port 0, retries if the UDP port is in use. */
export async function listenOnTcpAndUdp(
	server: http.Server,
	transport: UdpTransport,
	address: string,
	port: number,
): Promise<number> {
	for (let attempt = 1; ; attempt++) {
		const chosen = await listenOn(server, address, port);
		try {
			return await transport.bind(address, chosen);
		} catch (err) {
			if (port !== 0 || attempt >= maxPortAttempts) {
				throw err;
			}
			await new Promise((resolve) => server.close(resolve));
		}
	}
}
