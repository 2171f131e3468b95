/**
 * A small deployment for one script: real relay daemons, started with the command of the deploy file, on loopback
 * addresses of this run, with the project's stand-in for the store and engines written here.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import { PlatformStoreStandIn } from '../../dist/test/stand-ins/platform-store.js';

const root = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');
export const host = 'relay.example';
export const apiKey = 'key-of-station';

export function sleep(ms) {
	return new Promise((done) => setTimeout(done, ms));
}

/** Address of a VM of this run, by its number from 1. */
function addressOfVm(index) {
	return `127.${20 + ((process.pid >> 8) % 200)}.${process.pid % 256}.${10 + index}`;
}

/** The words of `run` in the deploy file. */
function deployCommand() {
	const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const [program, ...args] = /^run = "(.+)"$/m.exec(text)[1].split(' ');
	return { program, args };
}

export class Lab {
	store = new PlatformStoreStandIn();
	vms = [];
	engines = [];
	lines = [];
	startedAt = performance.now();

	/** @param folder of the case, which gets the record */
	constructor(folder) {
		this.folder = folder;
		this.files = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	}

	record(text) {
		const ms = Math.round(performance.now() - this.startedAt);
		this.lines.push(`${String(ms).padStart(6)} ms  ${text}`);
	}

	async start(vmCount, configuration, settings = {}) {
		// Its own `start` listens at all addresses; a case keeps to loopback.
		const { server } = this.store;
		await new Promise((done) => server.listen(0, '127.0.0.1', done));
		this.storeAddress = `127.0.0.1:${server.address().port}`;
		for (const engine of this.engines) {
			await engine.start();
			this.register(engine);
		}
		this.store.put('op/config', configuration);
		const firstPort = 10_000 + ((process.pid * 8) % 20_000);
		this.ports = { callers: firstPort, readiness: firstPort + 1, peers: firstPort + 2 };
		for (let index = 1; index <= vmCount; index++) {
			this.vms.push(this.startVm(index, settings));
		}
		await Promise.all(this.vms.map((vm) => this.untilReady(vm)));
	}

	register(engine, state = 'ready') {
		const { id, service, address, slots } = engine;
		const entry = { service, address, zone: 'z1', version: 'v1', slots, state };
		this.store.put(`servers/${id}`, { ...entry, 'warmup-left-ms': 0, sequence: 1 });
	}

	startVm(index, settings) {
		const address = addressOfVm(index);
		const { callers, readiness, peers } = this.ports;
		const file = path.join(this.files, `vm-${index}.json`);
		const content = {
			'node-name': `vm-${index}`,
			role: 'relay',
			ip: address,
			zone: 'z1',
			listen: { frontend: `${address}:${callers}`, readiness: `${address}:${readiness}` },
			'port-range': [peers, peers + 5],
			'seed-nodes': [],
			limits: { 'cpu-quota': 0.675, 'cpu-cores': 1, 'memory-mb': 350, 'max-fds': 4100 },
			'heartbeat-ms': 1200,
			bounds: { 'drain-ms': 2000, 'grace-s': 8, 'config-apply-ms': 2000, 'retry-extra': 56 },
			platform: { address: this.storeAddress, 'ttl-min-ms': 1000 },
			...settings,
		};
		fs.writeFileSync(file, JSON.stringify(content));
		const vm = { index, name: `vm-${index}`, address, file, settings };
		this.launch(vm);
		return vm;
	}

	launch(vm) {
		const { program, args } = deployCommand();
		const { PATH, HOME, LANG } = process.env;
		vm.log = path.join(this.files, `${vm.name}.log`);
		const log = fs.openSync(vm.log, 'a');
		vm.process = childProcess.spawn(program, args, {
			cwd: root,
			env: { PATH, HOME, LANG, SLATEGAUGE_SETTINGS: vm.file },
			stdio: ['ignore', log, log],
		});
		fs.closeSync(log);
		vm.exit = undefined;
		vm.ended = new Promise((done) => {
			vm.process.on('exit', (code, signal) => {
				vm.exit = { code, signal };
				done(vm.exit);
			});
		});
	}

	async untilReady(vm, withinMs = 15_000) {
		const deadline = Date.now() + withinMs;
		while ((await this.readiness(vm)) !== 200) {
			if (Date.now() > deadline || vm.exit) {
				throw new Error(`${vm.name} is not ready: ${fs.readFileSync(vm.log, 'utf8').slice(-2000)}`);
			}
			await sleep(50);
		}
	}

	readiness(vm) {
		return new Promise((done) => {
			const req = http.get({
				host: vm.address,
				port: this.ports.readiness,
				path: '/readyz',
				agent: false,
			});
			req.on('response', (res) => {
				res.resume();
				done(res.statusCode);
			});
			req.on('error', () => done(0));
			req.setTimeout(1000, () => req.destroy());
		});
	}

	/** Memory of a VM's process in megabytes: now, and at most since its start. */
	memoryOf(vm) {
		const text = fs.readFileSync(`/proc/${vm.process.pid}/status`, 'utf8');
		const read = (name) => Number(new RegExp(`^${name}:\\s+(\\d+) kB`, 'm').exec(text)[1]) / 1024;
		return { now: read('VmRSS'), most: read('VmHWM') };
	}

	async stop() {
		for (const vm of this.vms) {
			vm.process.kill('SIGCONT');
			vm.process.kill('SIGKILL');
			await vm.ended;
		}
		for (const engine of this.engines) {
			engine.stop();
		}
		this.store.stop();
		fs.writeFileSync(path.join(this.folder, 'record.txt'), `${this.lines.join('\n')}\n`);
		if (process.env.KEEP_LOGS) {
			console.log(this.files);
		} else {
			fs.rmSync(this.files, { recursive: true, force: true });
		}
	}
}

/** Sends one request over a connection of its own. */
export function request(
	lab,
	vm,
	{ id, target, method = 'POST', headers = {}, body = '', agent = false },
) {
	const req = http.request({
		host: vm.address,
		port: lab.ports.callers,
		method,
		path: target,
		agent,
		headers: {
			host,
			authorization: `Bearer ${apiKey}`,
			'slategauge-attempt-id': id,
			'slategauge-deadline-ms': '4000',
			...headers,
		},
	});
	const answer = new Promise((done) => {
		const finish = (fields) => done({ id, ...fields });
		req.on('error', (err) => finish({ status: 0, error: err.message, body: '', isCut: true }));
		req.on('response', (res) => {
			const chunks = [];
			const end = (isCut) =>
				finish({
					status: res.statusCode,
					headers: res.headers,
					body: Buffer.concat(chunks).toString(),
					isCut,
				});
			res.on('data', (chunk) => chunks.push(chunk));
			res.on('end', () => end(!res.complete));
			res.on('error', () => end(true));
		});
	});
	req.end(body);
	return { req, answer };
}

/** An engine over HTTP whose handling of each request is given by the script. */
export class Engine {
	runs = [];

	/** @param handle (req, res, engine), called once the head was read and `expect-instance` checked */
	constructor(id, service, slots, handle) {
		Object.assign(this, { id, service, slots });
		this.server = http.createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
			const expected = req.headers['slategauge-expect-instance'];
			if (expected !== undefined && expected !== this.id) {
				req.resume();
				res.writeHead(421, { 'slategauge-instance-id': this.id }).end();
				return;
			}
			handle(req, res, this);
		});
	}

	async start() {
		await new Promise((done) => this.server.listen(this.port ?? 0, '127.0.0.1', done));
		this.port = this.server.address().port;
		this.address = `127.0.0.1:${this.port}`;
	}

	stop() {
		this.server.close();
		this.server.closeAllConnections();
	}

	signed(req) {
		return {
			'slategauge-attempt-id': String(req.headers['slategauge-attempt-id']),
			'slategauge-response-signature': `by-${this.id}`,
		};
	}
}

export function createConfiguration(routes, services, version = 3) {
	const common = { hostname: host, priority: 1, anonymous: false };
	return {
		version,
		routes: routes.map((route) => ({ ...common, ...route })),
		services,
		limits: {
			'max-header-bytes': 16_384,
			'max-body-bytes': 4_194_304,
			'header-timeout-ms': 3000,
			'idle-timeout-ms': 15_000,
		},
		tenants: [{ name: 'station', 'api-keys': [apiKey] }],
	};
}

/** Runs a case and exits as the issue asks: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(folder, play) {
	const lab = new Lab(folder);
	let code = 2;
	try {
		const isBroken = await play(lab, process.env.TROUBLE !== '0');
		code = isBroken ? 1 : 0;
	} catch (err) {
		lab.record(`could not run: ${err.stack}`);
		console.error(err);
	}
	await lab.stop();
	console.log(lab.lines.slice(-12).join('\n'));
	process.exit(code);
}
