/**
 * Writes the code cache of the bundled daemon at build time. The cache holds only functions that have run, so this
 * starts the daemon against a minimal store and engine on loopback and sends it a few requests.
 * Must run with the daemon's flags, since V8 rejects a cache that was written with others.
 */
require('./runtime.cjs');

const fs = require('node:fs');
const http = require('node:http');
const net = require('node:net');
const path = require('node:path');
const bundle = require('./bundle.cjs');
const exampleSettings = require('./settings-example.json');

const host = '127.0.0.1';
const settingsFile = path.join(__dirname, '../target/compile-settings.json');
const readyTimeoutMs = 10_000;
const retryMs = 20;
const requestsPerRoute = 3;
/** Lets the daemon finish its answers and send gossip before the cache is written. */
const settleMs = 300;

const createRoute = (name, type) => ({
	name,
	type,
	hostname: 'warm.up',
	'path-prefix': `/${name}/`,
	service: 'pool',
	'max-attempts': 2,
	'stream-resume': true,
});
const configuration = {
	version: 1,
	routes: [createRoute('stream', 'streaming'), createRoute('plain', 'idempotent')],
	services: [
		{ name: 'pool', 'max-connections': 50, backend: { slots: 4, 'kv-capacity': 100_000 } },
	],
	tenants: [{ name: 'station', 'api-keys': ['key'] }],
};

const encodeValue = (value) => Buffer.from(JSON.stringify(value)).toString('base64');

function listen(server) {
	return new Promise((resolve) => server.listen(0, host, () => resolve(server.address().port)));
}

/** Finds ports that are free at present, since the settings need explicit port numbers. */
async function findFreePorts(count) {
	const servers = Array.from({ length: count }, () => net.createServer());
	const ports = await Promise.all(servers.map(listen));
	await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
	return ports;
}

/** Minimal engine: answers streams with two events and other requests with a short body. */
function createEngine() {
	return http.createServer((req, res) => {
		req.resume();
		const headers = {
			'slategauge-attempt-id': req.headers['slategauge-attempt-id'],
			'slategauge-response-signature': 'none',
		};
		if (req.url.startsWith('/stream/')) {
			res.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
			res.write('id: 1\ndata: a\n\n');
			res.end('id: 2\ndata: b\n\n');
			return;
		}
		res.writeHead(200, { ...headers, 'content-length': 2 });
		res.end('ok');
	});
}

/** Minimal store: holds one configuration and a few engines that never change. */
function createStore(engineAddress) {
	const entries = {
		'op/config': [configuration],
		'servers/': Array.from({ length: 4 }, () => ({
			service: 'pool',
			address: engineAddress,
			zone: 'z',
			version: 'v1',
			slots: 4,
			state: 'ready',
			'warmup-left-ms': 0,
			sequence: 1,
		})),
		'vms/': [],
	};
	return http.createServer((req, res) => {
		req.resume();
		const url = new URL(req.url, 'http://store');
		if (url.pathname === '/kv-watch') {
			return;
		}
		const prefix = url.searchParams.get('path-prefix');
		const listed = (entries[prefix] ?? []).map((value, index) => ({
			'private-key': prefix === 'op/config' ? prefix : `${prefix}${index}`,
			value: encodeValue(value),
			revision: 1,
		}));
		const body = { entries: listed, 'has-more': false, timestamp: 1, 'lease-id': 1, revision: 1 };
		res.writeHead(200, { 'content-type': 'application/json' });
		res.end(JSON.stringify(body));
	});
}

function send(port, target, headers) {
	return new Promise((resolve) => {
		const req = http.request({ host, port, path: target, method: 'POST', headers, agent: false });
		req.on('response', (res) => {
			res.resume();
			res.on('end', () => resolve(res.statusCode));
		});
		req.on('error', () => resolve(0));
		req.end('body');
	});
}

async function waitUntilReady(port) {
	const deadline = Date.now() + readyTimeoutMs;
	while ((await send(port, '/readyz', {})) !== 200) {
		if (Date.now() > deadline) {
			throw new Error(`the daemon did not become ready within ${readyTimeoutMs} ms`);
		}
		await new Promise((resolve) => setTimeout(resolve, retryMs));
	}
}

/** Writes the example settings with free ports. */
function writeSettings(storePort, [frontend, readiness, control, rangePort]) {
	const settings = {
		...exampleSettings,
		listen: {
			frontend: `${host}:${frontend}`,
			readiness: `${host}:${readiness}`,
			'control-plane': `${host}:${control}`,
		},
		'port-range': [rangePort, rangePort],
		platform: { address: `${host}:${storePort}` },
	};
	fs.writeFileSync(settingsFile, JSON.stringify(settings));
}

async function main() {
	const enginePort = await listen(createEngine());
	const storePort = await listen(createStore(`${host}:${enginePort}`));
	const ports = await findFreePorts(5);
	writeSettings(storePort, ports);
	process.argv.push('--metrics-port', String(ports[4]));
	process.env.SLATEGAUGE_SETTINGS = settingsFile;
	const script = bundle.loadScript(false);
	bundle.runScript(script);
	const [frontend, readiness] = ports;
	await waitUntilReady(readiness);
	const commonHeaders = {
		host: 'warm.up',
		authorization: 'Bearer key',
		'slategauge-deadline-ms': '5000',
		'slategauge-token-usage': '5000,100',
		'slategauge-prefix-hash': 'a:100,b:300',
	};
	for (let index = 0; index < requestsPerRoute; index++) {
		for (const target of ['/stream/', '/plain/']) {
			const id = `${target}${index}`;
			const status = await send(frontend, target, {
				...commonHeaders,
				'slategauge-attempt-id': id,
			});
			if (status !== 200) {
				throw new Error(`the daemon answered ${target} with status ${status}`);
			}
		}
	}
	await new Promise((resolve) => setTimeout(resolve, settleMs));
	bundle.saveCodeCache(script);
	process.exit(0);
}

main().catch((err) => {
	process.stderr.write(`failed to write the code cache: ${err.stack}\n`);
	process.exit(1);
});
