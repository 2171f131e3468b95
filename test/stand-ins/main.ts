/**
 * Runs stand-ins as a process: `main.js engine|service|platform [JSON options] [port]`. Prints
 * their ports on one line and exits when its standard input closes.
 * @module
 */
import type { EngineOptions } from './engine.js';
import { defaultEngineOptions, Engine } from './engine.js';
import { PlainService } from './plain-service.js';
import { Platform } from './platform.js';

const [kind, json = '{}', port = '0'] = process.argv.slice(2);
const { count = 1, ...options } = JSON.parse(json) as Partial<EngineOptions> & { count?: number };

async function start(): Promise<number[]> {
	if (kind === 'engine') {
		const engines = Array.from({ length: count }, () => {
			return new Engine({ ...defaultEngineOptions, ...options }).listen(Number(port));
		});
		return Promise.all(engines);
	}
	if (kind === 'service') {
		return [await new PlainService().listen()];
	}
	if (kind === 'platform') {
		return [await new Platform().listen()];
	}
	throw new Error(`unknown kind of stand-in: ${kind}; expected engine, service or platform`);
}

process.stdout.write(`ports=${(await start()).join(',')}\n`);
process.stdin.resume();
process.stdin.on('end', () => process.exit(0));
