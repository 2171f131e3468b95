/**
 * An engine answers part of its requests with a 500 whose body is large; clients keep their connections.
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
/** Of the class stock-update, in milliseconds. */
const deadlineMs = 4000;
const timeoutMs = 2000;
const workMs = 60;
/** One engine of eight fails every third request: less than the share 0.14 and the x 0.45 of the site's `srv_grey`. */
const failedEvery = 3;
/** An error page with the records that were asked for. */
const errorBytes = 300_000;
const stockBytes = 800;
const engineCount = 8;
const clientCount = 12;
const requestsPerClient = 24;

const record = new Record(path.join(folder, 'record.txt'));
/** What engines answered, by attempt id: status, signature and body of each run. */
const given = new Map();

function bodyOf(text, bytes) {
	return Buffer.alloc(bytes, `${text} `);
}

/** Starts an engine; `fails` tells whether the request with this number gets a 500. */
function startEngine(id, fails) {
	let count = 0;
	const server = http.createServer(async (req, res) => {
		const attempt = req.headers['slategauge-attempt-id'];
		if (req.headers['slategauge-expect-instance'] !== id) {
			res.writeHead(421, { 'content-length': 0 }).end();
			return;
		}
		const isFailure = fails(++count);
		await sleep(workMs);
		const status = isFailure ? 500 : 200;
		const signature = `${id}-${count}`;
		const body = isFailure
			? bodyOf(`error of ${id} for ${attempt}`, errorBytes)
			: bodyOf(`stock from ${id} for ${attempt}`, stockBytes);
		record.add(`${id} ran ${attempt} and answers ${status}, ${body.length} bytes`);
		given.set(attempt, [...(given.get(attempt) ?? []), { status, signature, body }]);
		res.writeHead(status, {
			'slategauge-attempt-id': attempt,
			'slategauge-response-signature': signature,
			'content-type': 'text/plain',
			'content-length': body.length,
		});
		res.end(body);
	});
	return new Promise((done) => server.listen(0, loopback, () => done(server)));
}

/** A client that keeps its connection, and reads exactly what the relay sends on it. */
class Client {
	#bytes = Buffer.alloc(0);
	#wake = () => {};
	#isClosed = true;

	constructor(relay) {
		this.relay = relay;
	}

	async get(attempt) {
		if (this.#isClosed) {
			await this.#connect();
		}
		if (this.#bytes.length > 0) {
			return { problem: `${this.#bytes.length} bytes on the connection that answer no request` };
		}
		const head = [
			'GET /stock/7 HTTP/1.1',
			`Host: ${host}`,
			`Authorization: Bearer ${apiKey}`,
			`Slategauge-Attempt-Id: ${attempt}`,
			`Slategauge-Deadline-Ms: ${deadlineMs}`,
			'',
			'',
		];
		record.add(`${attempt} sent to ${this.relay.name}`);
		this.socket.write(head.join('\r\n'));
		return this.#readAnswer(performance.now() + deadlineMs);
	}

	close() {
		this.#isClosed = true;
		this.socket?.destroy();
	}

	async #connect() {
		const { address, ports } = this.relay;
		this.#isClosed = false;
		this.#bytes = Buffer.alloc(0);
		this.socket = net.connect({ host: address, port: ports.frontend, noDelay: true });
		this.socket.on('data', (chunk) => {
			this.#bytes = Buffer.concat([this.#bytes, chunk]);
			this.#wake();
		});
		for (const event of ['end', 'error', 'close']) {
			this.socket.on(event, () => {
				this.#isClosed = true;
				this.#wake();
			});
		}
		await new Promise((done) => this.socket.once('connect', done));
	}

	async #readAnswer(deadline) {
		for (;;) {
			const end = this.#bytes.indexOf('\r\n\r\n');
			if (end >= 0) {
				const head = this.#bytes.subarray(0, end).toString('latin1');
				const [, status] = /^HTTP\/1\.1 (\d+) /.exec(head) ?? [];
				if (status === undefined) {
					return { problem: `bytes that are no answer: ${JSON.stringify(head.slice(0, 60))}` };
				}
				const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1]);
				if (this.#bytes.length >= end + 4 + length) {
					const body = this.#bytes.subarray(end + 4, end + 4 + length);
					const [, signature] = /\r\nslategauge-response-signature: *(\S+)/i.exec(head) ?? [];
					const [, id] = /\r\nslategauge-attempt-id: *(\S+)/i.exec(head) ?? [];
					this.#bytes = this.#bytes.subarray(end + 4 + length);
					return { status: Number(status), signature, id, body };
				}
			}
			if (this.#isClosed || performance.now() > deadline) {
				return { isUnanswered: true };
			}
			await new Promise((done) => {
				const timer = setTimeout(done, 50);
				this.#wake = () => {
					clearTimeout(timer);
					done();
				};
			});
		}
	}
}

/** What is wrong with an answer by the rule MIXED; undefined for a sound one. */
function findProblem(attempt, answer) {
	if (answer.problem || answer.isUnanswered) {
		return answer.problem;
	}
	if (answer.id !== undefined && answer.id !== attempt) {
		return `the answer belongs to ${answer.id}`;
	}
	if (answer.signature === undefined) {
		return answer.status < 300 ? 'a success without a signature' : undefined;
	}
	const run = given.get(attempt)?.find(({ signature }) => signature === answer.signature);
	if (run?.status !== answer.status) {
		return `status ${answer.status} with the signature of an answer with ${run?.status}`;
	}
	const isWhole = answer.body.equals(run.body);
	return answer.status < 300 && !isWhole ? 'a success with another body' : undefined;
}

async function callRelay(client, name) {
	const problems = [];
	for (let index = 1; index <= requestsPerClient; index++) {
		const attempt = `${name}-${index}`;
		const answer = await client.get(attempt);
		const problem = findProblem(attempt, answer);
		const seen = answer.isUnanswered
			? 'no answer'
			: `status ${answer.status}, ${answer.body?.length} bytes, signature ${answer.signature}`;
		record.add(`${attempt}: ${problem ? `MIXED: ${problem}` : seen}`);
		if (problem) {
			problems.push(problem);
			client.close();
		} else if (answer.isUnanswered) {
			client.close();
		}
		// A pause in which bytes that belong to no request arrive.
		await sleep(150);
	}
	client.close();
	return problems;
}

async function main() {
	const route = {
		name: 'stock-update',
		hostname: host,
		'path-prefix': '/stock/',
		type: 'idempotent',
		'timeout-ms': timeoutMs,
		'target-latency-ms': 300,
		'max-attempts': 2,
		priority: 2,
		service: 'storefront-api',
		anonymous: false,
	};
	const services = [{ name: 'storefront-api', 'health-path': '/healthz', 'max-connections': 110 }];
	const deployment = new Deployment({ bounds, routes: [route], services });
	const ids = Array.from({ length: engineCount }, (_, index) => `engine-${index + 1}`);
	const engines = await Promise.all(
		ids.map((id) =>
			startEngine(id, (count) => hasTrouble && id === 'engine-1' && count % failedEvery === 0),
		),
	);
	try {
		for (const [index, id] of ids.entries()) {
			const address = `${loopback}:${engines[index].address().port}`;
			deployment.register(id, { service: 'storefront-api', address });
		}
		await deployment.start();
		const clients = Array.from({ length: clientCount }, (_, index) => {
			const relay = deployment.relays[index % deployment.relays.length];
			return callRelay(new Client(relay), `client-${index + 1}`);
		});
		const problems = (await Promise.all(clients)).flat();
		if (given.size === 0) {
			throw new SetupError('no engine ran a request');
		}
		record.add(`answers that break the rule: ${problems.length}`);
		return problems.length > 0 ? 1 : 0;
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
