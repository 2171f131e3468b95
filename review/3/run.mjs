/**
 * Another writer leaves an entry that names no engine among those of the engines, while clients send requests on kept connections.
 * @module
 */
import * as http from 'node:http';
import * as path from 'node:path';
import * as url from 'node:url';
import {
	apiKey,
	Deployment,
	host,
	loopback,
	Record,
	SetupError,
	sleep,
} from '../lib/deployment.mjs';

const folder = path.dirname(url.fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';

/** Bounds of the site dasom-roastnet. */
const bounds = {
	'contact-ms': 3000,
	'drain-ms': 2000,
	'grace-s': 8,
	'loss-slack-ms': 200,
	'config-apply-ms': 2000,
	'retry-ratio': 0.2,
	'retry-window-s': 10,
	'retry-extra': 56,
};
/** Of the class order-confirm, in milliseconds; the work is its longest. */
const deadlineMs = 4000;
const timeoutMs = 2000;
const workMs = 450;
const clientCount = 18;
/** Between two requests of a client. */
const pauseMs = 100;
/** Times since the start of the traffic, in milliseconds. */
const entryAtMs = 4000;
const trafficMs = 9000;
/**
 * The address is a text, but no IP:PORT: a port ends at 65535. All other fields are as an engine writes them.
 */
const foreignEntry = {
	service: 'storefront-api',
	address: '127.0.0.1:99999',
	zone: 'zone-a',
	version: 'v1',
	slots: 6,
	state: 'ready',
	'warmup-left-ms': 0,
	sequence: 1,
	born: 1_790_000_000_000,
};
/** By the rule, more than so many lost answers break it. */
const toleratedLosses = 3;

const record = new Record(path.join(folder, 'record.txt'));
/** Attempts that a sound engine began to run. */
const began = new Set();

function startEngine(id) {
	const server = http.createServer(async (req, res) => {
		const attempt = req.headers['slategauge-attempt-id'];
		req.resume();
		if (req.headers['slategauge-expect-instance'] !== id) {
			res.writeHead(421, { 'content-length': 0 }).end();
			return;
		}
		record.add(`${id} begins to run ${attempt}`);
		began.add(attempt);
		await sleep(workMs);
		record.add(`${id} has run ${attempt}`);
		const body = `order of ${attempt}`;
		res.writeHead(200, {
			'slategauge-attempt-id': attempt,
			'slategauge-response-signature': `signature-of-${attempt}`,
			'content-type': 'text/plain',
			'content-length': body.length,
		});
		res.end(body);
	});
	return new Promise((done) => server.listen(0, loopback, () => done(server)));
}

/** Sends one request on the agent's kept connection, if there is one. */
function order({ name, address, ports }, agent, attempt) {
	record.add(`${attempt} sent to ${name}`);
	return new Promise((done) => {
		const req = http.request({
			method: 'POST',
			host: address,
			port: ports.frontend,
			path: '/orders/',
			agent,
			timeout: deadlineMs,
			headers: {
				host,
				authorization: `Bearer ${apiKey}`,
				'slategauge-attempt-id': attempt,
				'slategauge-deadline-ms': String(deadlineMs),
			},
		});
		const finish = (how, status = 0) => done({ attempt, how, status, isKept: req.reusedSocket });
		req.on('timeout', () => req.destroy(new Error('deadline')));
		req.on('error', (err) => finish(err.code ?? err.message));
		req.on('response', (res) => {
			res.resume();
			res.on('end', () => finish('whole answer', res.statusCode));
			res.on('error', (err) => finish(`cut: ${err.code}`, res.statusCode));
		});
		req.end(`order ${attempt}`);
	});
}

/** One client, which sends its requests one after the other. */
async function run(relay, name, until) {
	const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
	const results = [];
	await sleep(Math.random() * (workMs + pauseMs));
	for (let index = 1; performance.now() < until; index++) {
		const attempt = `${name}-${index}`;
		const result = await order(relay, agent, attempt);
		record.add(
			`${attempt}: ${result.how}, status ${result.status}${result.isKept ? ', on a kept connection' : ''}`,
		);
		results.push(result);
		await sleep(pauseMs);
	}
	agent.destroy();
	return results;
}

async function main() {
	const route = {
		name: 'order-confirm',
		hostname: host,
		'path-prefix': '/orders/',
		type: 'non_idempotent',
		'timeout-ms': timeoutMs,
		'target-latency-ms': 300,
		'max-attempts': 1,
		priority: 2,
		service: 'storefront-api',
		anonymous: false,
	};
	const services = [{ name: 'storefront-api', 'health-path': '/healthz', 'max-connections': 110 }];
	const deployment = new Deployment({ bounds, routes: [route], services });
	const ids = ['engine-1', 'engine-2', 'engine-3'];
	const engines = await Promise.all(ids.map(startEngine));
	let ends = 0;
	deployment.onEnd = (relay) => {
		ends++;
		record.add(`the process of ${relay.name} ended by itself (${relay.exitCode})`);
		return true;
	};
	try {
		for (const [index, id] of ids.entries()) {
			const address = `${loopback}:${engines[index].address().port}`;
			deployment.register(id, { service: 'storefront-api', address });
		}
		await deployment.start();
		const until = performance.now() + trafficMs;
		const clients = Array.from({ length: clientCount }, (_, index) => {
			const relay = deployment.relays[index % deployment.relays.length];
			return run(relay, `client-${index + 1}`, until);
		});
		await sleep(entryAtMs);
		if (hasTrouble) {
			record.add(`another writer writes servers/other: ${JSON.stringify(foreignEntry)}`);
			deployment.putForeignEntry('other', foreignEntry);
		}
		const results = (await Promise.all(clients)).flat();
		if (results.every(({ status }) => status === 0)) {
			throw new SetupError('no client got an answer');
		}
		const lost = results.filter(
			({ attempt, status, isKept }) => status === 0 && isKept && began.has(attempt),
		);
		const names = lost.map(({ attempt }) => attempt).join(', ') || 'none';
		record.add(`processes that ended by themselves: ${ends}`);
		record.add(
			`begun by a sound engine, and the kept connection closed without an answer: ${names}`,
		);
		return lost.length > toleratedLosses ? 1 : 0;
	} finally {
		await deployment.stop();
		for (const engine of engines) {
			engine.close();
			engine.closeAllConnections();
		}
	}
}

let exitCode = 2;
try {
	exitCode = await main();
} catch (err) {
	record.add(`could not run: ${err.stack}`);
}
record.add(`exit code ${exitCode}`);
record.save();
process.exitCode = exitCode;
