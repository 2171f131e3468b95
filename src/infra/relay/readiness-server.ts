/**
 * HTTP servers for the load balancer's readiness check and for metrics.
 * @module
 */
import * as http from 'node:http';

/** Answers `/readyz` with 200 or 503 and other paths with 404. */
export function createReadinessServer(isReady: () => boolean): http.Server {
	return http.createServer((req, res) => {
		const isKnownPath = req.url === '/readyz';
		res.writeHead(isKnownPath ? (isReady() ? 200 : 503) : 404);
		res.end();
	});
}

/** Serves the text of `render` on every path, for a Prometheus collector. */
export function createMetricsServer(render: () => Promise<string>): http.Server {
	return http.createServer((_req, res) => {
		render().then(
			(text) => res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text),
			(err: Error) => res.writeHead(500).end(`${err.message}\n`),
		);
	});
}
