/**
 * HTTP servers for the load balancer's readiness check and for metrics.
 * @module
 */
import type * as http from 'node:http';
import type { ConnectionMeter } from '../connections/metered-server.js';
import { createMeteredServer, ignoringBodies } from '../connections/metered-server.js';

/** Answers `/readyz` with 200 or 503 and other paths with 404. */
export function createReadinessServer(meter: ConnectionMeter, isReady: () => boolean): http.Server {
	const handle = ignoringBodies((req, res) => {
		const isKnownPath = req.url === '/readyz';
		res.writeHead(isKnownPath ? (isReady() ? 200 : 503) : 404);
		res.end();
	});
	return createMeteredServer(meter, handle);
}

/** Serves the text of `render` on every path, for a Prometheus collector. */
export function createMetricsServer(
	meter: ConnectionMeter,
	render: () => Promise<string>,
): http.Server {
	const handle = ignoringBodies((_req, res) => {
		render().then(
			(text) => res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text),
			(err: Error) => res.writeHead(500).end(`${err.message}\n`),
		);
	});
	return createMeteredServer(meter, handle);
}
