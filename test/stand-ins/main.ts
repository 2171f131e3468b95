/**
 * Starts one stand-in as a process: `main.js engine|service|platform [JSON options]`. Prints one
 * line with its port and ends with its parent's input.
 * @module
 */
import type { EngineOptions } from './engine.js';
import { defaultEngineOptions, Engine } from './engine.js';
import { PlainService } from './plain-service.js';
import { Platform } from './platform.js';

const [kind, json = '{}', port = '0'] = process.argv.slice(2);
const options = JSON.parse(json) as Partial<EngineOptions>;

async function start(): Promise<number> {
	if (kind === 'engine') {
		return new Engine({ ...defaultEngineOptions, ...options }).listen(Number(port));
	}
	if (kind === 'service') {
		return new PlainService().listen();
	}
	if (kind === 'platform') {
		return new Platform().listen();
	}
	throw new Error(`no stand-in is named ${kind}`);
}

process.stdout.write(`port=${await start()}\n`);
process.stdin.resume();
process.stdin.on('end', () => process.exit(0));
