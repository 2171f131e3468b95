/**
 * Minimal undici relay, the baseline of the hot-path benchmark; runs as a separate process.
 * @module
 */
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import * as undici from 'undici';

const pool = new undici.Pool(process.argv[2] ?? '', { connections: 4096 });

const server = http.createServer(async (req, res) => {
	if (req.url === '/cpu') {
		const { user, system } = process.cpuUsage();
		res.end(String((user + system) / 1000));
		return;
	}
	const options = {
		method: 'POST' as const,
		path: req.url ?? '/',
		headers: jsonHeaders,
		body: req,
	};
	await pool.stream(options, ({ statusCode, headers }) => {
		res.writeHead(statusCode, { 'content-type': String(headers['content-type']) });
		return res;
	});
});
const jsonHeaders = { 'content-type': 'application/json' };

server.listen(0, '127.0.0.1', () => {
	process.stdout.write(`ports=${(server.address() as AddressInfo).port}\n`);
});
process.stdin.resume();
process.stdin.on('end', () => process.exit(0));
