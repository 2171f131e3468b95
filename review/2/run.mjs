/**
 * A relay freezes and wakes again while clients send the heads of requests that must run at most once.
 * @module
 */
import * as http from 'node:http';
import * as net from 'node:net';
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

/** Bounds of the site hlustun-catchup-grown. */
const bounds = {
	'contact-ms': 4000,
	'drain-ms': 3000,
	'grace-s': 8,
	'loss-slack-ms': 200,
	'config-apply-ms': 3000,
	'retry-ratio': 0.2,
	'retry-window-s': 10,
	'retry-extra': 184,
};
/** Of the class pledge-record, in milliseconds. */
const deadlineMs = 4079;
const timeoutMs = 4000;
const workMs = 70;
/** The site's longest freeze. */
const freezeMs = 3500;
/** From the answer at the relay to the end of the connection there: two ways of the link, and the client's work on the answer. */
const closeAfterMs = 250;
/** A client may take `header-timeout-ms` (3,000) for its head; these take half a second. */
const headMs = 500;
/** From the first bytes of the heads to the freeze. */
const freezeAfterMs = 150;
const clientCount = 5;
/** Statuses that promise that a request has not run and never will. */
const notRunStatuses = [408, 421, 429, 503];

const record = new Record(path.join(folder, 'record.txt'));
/** Requests that ran, by attempt id, with the time at which the engine began. */
const runs = new Map();

/** Starts a back end that records pledges. */
function startEngine(id) {
	const server = http.createServer(async (req, res) => {
		const attempt = req.headers['slategauge-attempt-id'];
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}
		if (req.headers['slategauge-expect-instance'] !== id) {
			res.writeHead(421, { 'content-length': 0 }).end();
			return;
		}
		const text = Buffer.concat(chunks).toString();
		record.add(`${id} begins to run ${attempt}: ${req.method} ${req.url} ${text}`);
		runs.set(attempt, performance.now());
		await sleep(workMs);
		record.add(`${id} has run ${attempt}`);
		const body = `recorded ${text}`;
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

/** Sends one pledge, with its head in two parts. Resolves with the status that the client gets; 0 for none. */
function pledge({ name, address, ports }, attempt) {
	const startedAt = performance.now();
	const body = `pledge of ${attempt}`;
	const head = [
		'POST /pledges/ HTTP/1.1',
		`Host: ${host}`,
		`Authorization: Bearer ${apiKey}`,
		`Slategauge-Attempt-Id: ${attempt}`,
		`Slategauge-Deadline-Ms: ${deadlineMs}`,
		`Content-Length: ${body.length}`,
		'',
		'',
	].join('\r\n');
	const middle = head.indexOf('Slategauge-Deadline');
	return new Promise((done) => {
		const socket = net.connect({
			host: address,
			port: ports.frontend,
			noDelay: true,
			allowHalfOpen: true,
		});
		let answer = '';
		let isFinished = false;
		const finish = (how) => {
			if (isFinished) {
				return;
			}
			isFinished = true;
			clearTimeout(timer);
			setTimeout(() => socket.destroy(), closeAfterMs);
			const [, status = '0'] = /^HTTP\/1\.1 (\d+)/.exec(answer) ?? [];
			const tookMs = Math.round(performance.now() - startedAt);
			record.add(`${attempt}: the client gets status ${status} (${how}) after ${tookMs} ms`);
			done(Number(status));
		};
		const timer = setTimeout(() => finish('deadline'), deadlineMs);
		socket.on('connect', () => {
			record.add(`${attempt}: sends the first part of its head to ${name}`);
			socket.write(head.slice(0, middle));
			setTimeout(() => {
				record.add(`${attempt}: sends the rest`);
				socket.write(head.slice(middle) + body);
			}, headMs);
		});
		socket.on('data', (chunk) => {
			answer += chunk.toString();
			const end = answer.indexOf('\r\n\r\n');
			const [, length = '0'] = /\r\ncontent-length: *(\d+)/i.exec(answer) ?? [];
			if (end >= 0 && answer.length >= end + 4 + Number(length)) {
				finish('whole answer');
			}
		});
		socket.on('error', (err) => finish(err.code));
		socket.on('close', () => finish('closed'));
	});
}

async function freeze(relay) {
	await sleep(freezeAfterMs);
	record.add(`${relay.name} freezes`);
	relay.child.kill('SIGSTOP');
	await sleep(freezeMs);
	record.add(`${relay.name} wakes`);
	relay.child.kill('SIGCONT');
}

async function main() {
	const route = {
		name: 'pledge-record',
		hostname: host,
		'path-prefix': '/pledges/',
		type: 'non_idempotent',
		'timeout-ms': timeoutMs,
		'target-latency-ms': 335,
		'max-attempts': 1,
		priority: 2,
		service: 'catchup-api',
		anonymous: false,
	};
	const services = [{ name: 'catchup-api', 'health-path': '/healthz', 'max-connections': 490 }];
	const limits = {
		'max-header-bytes': 16_384,
		'max-body-bytes': 4_194_304,
		'header-timeout-ms': 3000,
		'idle-timeout-ms': 15_000,
	};
	const deployment = new Deployment({ bounds, routes: [route], services, limits });
	const ids = ['engine-1', 'engine-2'];
	const engines = await Promise.all(ids.map(startEngine));
	try {
		for (const [index, id] of ids.entries()) {
			const address = `${loopback}:${engines[index].address().port}`;
			deployment.register(id, { service: 'catchup-api', address });
		}
		await deployment.start();
		const [relay] = deployment.relays;
		const attempts = Array.from({ length: clientCount }, (_, index) => `pledge-${index + 1}`);
		const answers = Promise.all(attempts.map((attempt) => pledge(relay, attempt)));
		const frozen = hasTrouble ? freeze(relay) : undefined;
		const statuses = await answers;
		await frozen;
		// A request may also run after its answer.
		await sleep(2000);
		if (statuses.every((status) => status === 0)) {
			throw new SetupError('no client got an answer');
		}
		const broken = attempts.filter(
			(attempt, index) => notRunStatuses.includes(statuses[index]) && runs.has(attempt),
		);
		record.add(`told that it has not run, and run: ${broken.join(', ') || 'none'}`);
		return broken.length > 0 ? 1 : 0;
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
