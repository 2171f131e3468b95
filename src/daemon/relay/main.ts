#!/usr/bin/env node
/**
 * `slategauge-relayd`: the daemon on the platform's VMs. Its settings file is named by a variable.
 * @module
 */
import * as fs from 'node:fs';
import * as util from 'node:util';
import type { Log } from '../../core/definitions.js';
import type { SizingStrategy } from '../../core/duties/engine-sizing.js';
import { sizingStrategies } from '../../core/duties/engine-sizing.js';
import * as errors from '../../core/errors/index.js';
import type { RelaySettings } from '../../core/relay/settings.js';
import { BoundedWriter } from '../../infra/bounded-writer.js';
import { LogfmtLog } from '../../infra/logfmt-log.js';
import { RateLimitedLog } from '../../infra/rate-limited-log.js';
import { SystemClock } from '../../infra/system-clock.js';
import * as platform from '../../platform/index.js';
import { RelayDaemon } from './relay-daemon.js';

/** Exit codes, by the custom of sysexits. */
const exitCodes = { ok: 0, failed: 1, usage: 64, unreadable: 66, configuration: 78 } as const;
const defaultFile = '/etc/slategauge/local.json';
const standardOutput = 1;
/** The promises of `node:fs` load a dozen modules that the daemon needs for nothing else. */
const readFile = util.promisify(fs.readFile);

/** Reads settings, starts the daemon and follows signals. */
async function main(): Promise<void> {
	const args = util.parseArgs({
		options: {
			/** Port that serves metrics; without it the last of the platform's free ports. */
			'metrics-port': { type: 'string' },
			/** How many engines are ordered: `peak` (by the greatest demand of late) or `most` (all there may be). */
			'engine-sizing': { type: 'string', default: sizingStrategies.peak },
			/** Checks the settings, tells all findings and ends. */
			check: { type: 'boolean' },
		},
		allowPositionals: true,
	});
	const file = args.positionals[0] ?? process.env.SLATEGAUGE_SETTINGS ?? defaultFile;
	const settings = await load(file, args.values['metrics-port']);
	const sizing = sizingOf(args.values['engine-sizing']);
	if (args.values.check) {
		process.stdout.write(`${file}: no findings\n`);
		return;
	}
	const writer = new BoundedWriter(standardOutput);
	const lines = new LogfmtLog({
		level: 'info',
		baseFields: { vm: settings.vm.id },
		write: (line) => writer.write(line),
	});
	const log = new RateLimitedLog(lines, new SystemClock());
	const linesDropped = () => writer.droppedTotal + log.suppressedTotal;
	const daemon = new RelayDaemon(settings, log, linesDropped, sizing);
	await daemon.start();
	const onStop = () => void stop(daemon, writer);
	process.on('SIGTERM', onStop);
	process.on('SIGINT', onStop);
	process.on('SIGHUP', () => void reload(daemon, file, log));
}

/** A way that does not exist ends the start, with the ways that do. */
function sizingOf(name: string): SizingStrategy {
	const way = Object.values(sizingStrategies).find((known) => known === name);
	if (way === undefined) {
		const known = Object.values(sizingStrategies).join(', ');
		process.stderr.write(`--engine-sizing ${name}: expected one of ${known}\n`);
		process.exit(exitCodes.usage);
	}
	return way;
}

async function stop(daemon: RelayDaemon, writer: BoundedWriter): Promise<void> {
	await daemon.stop();
	await writer.drain();
	process.exit(exitCodes.ok);
}

/** A file that cannot be used changes nothing. */
async function reload(daemon: RelayDaemon, file: string, log: Log): Promise<void> {
	try {
		const read = platform.readSettings(file, await readFile(file, 'utf8'));
		if (read.settings) {
			daemon.reload(read.settings);
			return;
		}
		for (const found of read.findings) {
			log.error('settings.finding', { finding: errors.formatFinding(found) });
		}
	} catch (err) {
		log.error('settings.unreadable', { file, error: (err as Error).message });
	}
}

async function load(file: string, metricsPort: string | undefined): Promise<RelaySettings> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (err) {
		process.stderr.write(`${file}: ${(err as Error).message}\n`);
		process.exit(exitCodes.unreadable);
	}
	const read = platform.readSettings(file, text);
	if (!read.settings) {
		for (const found of read.findings) {
			process.stderr.write(`${errors.formatFinding(found)}\n`);
		}
		process.exit(exitCodes.configuration);
	}
	const port = Number(metricsPort ?? read.settings.listen.metrics.port);
	const { listen } = read.settings;
	return { ...read.settings, listen: { ...listen, metrics: { ...listen.metrics, port } } };
}

void main();
