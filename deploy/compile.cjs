/**
 * Compiles the bundled daemon at build time. Only functions that have run are kept, so the daemon is started
 * here and serves a few requests, on loopback, before a store and an engine that answer just enough.
 * Run with the same flags as the daemon: compiled code fits no others.
 */
require('./runtime.cjs');

const fs = require('node:fs');
const http = require('node:http');
const net = require('node:net');
const path = require('node:path');
const bundle = require('./bundle.cjs');
const example = require('./settings-example.json');

const host = '127.0.0.1';
const settingsFile = path.join(__dirname, '../target/compile-settings.json');
/** The daemon is ready within a second; a build that takes longer is broken. */
const readyWithinMs = 10_000;
const retryMs = 20;
const requests = 3;
/** Time for answers to be read and for news to be sent, in milliseconds. */
const settleMs = 300;

const routeOf = (name, type) => ({
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
	routes: [routeOf('stream', 'streaming'), routeOf('plain', 'idempotent')],
	services: [
		{ name: 'pool', 'max-connections': 50, backend: { slots: 4, 'kv-capacity': 100_000 } },
	],
	tenants: [{ name: 'station', 'api-keys': ['key'] }],
};

const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64');

function listen(server) {
	return new Promise((done) => server.listen(0, host, () => done(server.address().port)));
}

/** Ports that are free now; the daemon wants numbers. */
async function freePorts(count) {
	const servers = Array.from({ length: count }, () => net.createServer());
	const ports = await Promise.all(servers.map(listen));
	await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
	return ports;
}

/** Answers each request whole, streams with two events. */
function engine() {
	return http.createServer((req, res) => {
		req.resume();
		const head = {
			'slategauge-attempt-id': req.headers['slategauge-attempt-id'],
			'slategauge-response-signature': 'none',
		};
		if (req.url.startsWith('/stream/')) {
			res.writeHead(200, { ...head, 'content-type': 'text/event-stream' });
			res.write('id: 1\ndata: a\n\n');
			res.end('id: 2\ndata: b\n\n');
			return;
		}
		res.writeHead(200, { ...head, 'content-length': 2 });
		res.end('ok');
	});
}

/** Holds one configuration and a few engines; nothing changes. */
function store(engineAddress) {
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
		const rows = (entries[prefix] ?? []).map((value, at) => ({
			'private-key': prefix === 'op/config' ? prefix : `${prefix}${at}`,
			value: encode(value),
			revision: 1,
		}));
		const answer = { entries: rows, 'has-more': false, timestamp: 1, 'lease-id': 1, revision: 1 };
		res.writeHead(200, { 'content-type': 'application/json' });
		res.end(JSON.stringify(answer));
	});
}

function send(port, target, headers) {
	return new Promise((done) => {
		const req = http.request({ host, port, path: target, method: 'POST', headers, agent: false });
		req.on('response', (res) => {
			res.resume();
			res.on('end', () => done(res.statusCode));
		});
		req.on('error', () => done(0));
		req.end('body');
	});
}

async function untilReady(port) {
	const latest = Date.now() + readyWithinMs;
	while ((await send(port, '/readyz', {})) !== 200) {
		if (Date.now() > latest) {
			throw new Error('the daemon did not become ready');
		}
		await new Promise((done) => setTimeout(done, retryMs));
	}
}

/** The settings of the example, on free ports. */
function writeSettings(storePort, [frontend, readiness, control, first]) {
	const settings = {
		...example,
		listen: {
			frontend: `${host}:${frontend}`,
			readiness: `${host}:${readiness}`,
			'control-plane': `${host}:${control}`,
		},
		'port-range': [first, first],
		platform: { address: `${host}:${storePort}` },
	};
	fs.writeFileSync(settingsFile, JSON.stringify(settings));
}

async function main() {
	const enginePort = await listen(engine());
	const storePort = await listen(store(`${host}:${enginePort}`));
	const ports = await freePorts(5);
	writeSettings(storePort, ports);
	process.argv.push('--metrics-port', String(ports[4]));
	process.env.SLATEGAUGE_SETTINGS = settingsFile;
	const script = bundle.load(false);
	bundle.run(script);
	const [frontend, readiness] = ports;
	await untilReady(readiness);
	const common = {
		host: 'warm.up',
		authorization: 'Bearer key',
		'slategauge-deadline-ms': '5000',
		'slategauge-token-usage': '5000,100',
		'slategauge-prefix-hash': 'a:100,b:300',
	};
	for (let at = 0; at < requests; at++) {
		for (const target of ['/stream/', '/plain/']) {
			const id = `${target}${at}`;
			const status = await send(frontend, target, { ...common, 'slategauge-attempt-id': id });
			if (status !== 200) {
				throw new Error(`the daemon answered ${status}`);
			}
		}
	}
	await new Promise((done) => setTimeout(done, settleMs));
	bundle.saveCompiled(script);
	process.exit(0);
}

main().catch((err) => {
	process.stderr.write(`compiling the daemon failed: ${err.stack}\n`);
	process.exit(1);
});
