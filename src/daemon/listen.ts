/**
 * Ports of a daemon.
 * @module
 */
import type * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { UdpTransport } from '../infra/peers/udp-transport.js';

/** Ports tried when the system chooses and another program has the UDP port. */
const portTries = 20;

/** Resolves with the port. */
export async function listenOn(
	server: http.Server,
	address: string,
	port: number,
): Promise<number> {
	await new Promise<void>((done, failed) => {
		server.once('error', failed);
		server.listen(port, address, done);
	});
	return (server.address() as AddressInfo).port;
}

/** TCP and UDP take the same number; the system chooses again when UDP is taken. */
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
			if (port !== 0 || attempt >= portTries) {
				throw err;
			}
			await new Promise((done) => server.close(done));
		}
	}
}
