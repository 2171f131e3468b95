/**
 * Tells the balancer whether this VM takes new connections, and serves metrics as text.
 * @module
 */
import * as http from 'node:http';

/** Serves `GET /readyz`. */
export function createReadinessServer(isReady: () => boolean): http.Server {
	return http.createServer((req, res) => {
		const known = req.url === '/readyz';
		res.writeHead(known ? (isReady() ? 200 : 503) : 404);
		res.end();
	});
}

/** Serves the text of `render` on every path. */
export function createMetricsServer(render: () => Promise<string>): http.Server {
	return http.createServer((_req, res) => {
		render().then(
			(text) => res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text),
			(err: Error) => res.writeHead(500).end(`${err.message}\n`),
		);
	});
}
