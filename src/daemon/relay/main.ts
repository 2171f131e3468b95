#!/usr/bin/env node
/**
 * `slategauge-relayd`: the relay daemon. The settings file is the first argument, or the value of SLATEGAUGE_SETTINGS.
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

/** Exit codes, following sysexits.h. */
const exitCodes = { ok: 0, failed: 1, usage: 64, unreadable: 66, configuration: 78 } as const;
const defaultFile = '/etc/slategauge/local.json';
const standardOutput = 1;
/** Promisified here, since `node:fs/promises` loads modules that the daemon does not need otherwise. */
const readFile = util.promisify(fs.readFile);

/** Reads the settings, starts the daemon and handles signals. */
async function main(): Promise<void> {
	const args = util.parseArgs({
		options: {
			/** Port of the metrics server; overrides the one in the settings. */
			'metrics-port': { type: 'string' },
			/** How many engines are ordered: `peak` (for the recent peak demand) or `most` (the allowed maximum). */
			'engine-sizing': { type: 'string', default: sizingStrategies.peak },
			/** Checks the settings, prints all findings and exits. */
			check: { type: 'boolean' },
		},
		allowPositionals: true,
	});
	const file = args.positionals[0] ?? process.env.SLATEGAUGE_SETTINGS ?? defaultFile;
	const settings = await loadSettings(file, args.values['metrics-port']);
	const sizing = parseSizing(args.values['engine-sizing']);
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
	try {
		await daemon.start();
	} catch (err) {
		log.error('daemon.start-failed', { error: (err as Error).message });
		await writer.drain();
		process.exit(exitCodes.failed);
	}
	const onStop = () => void stop(daemon, writer);
	process.on('SIGTERM', onStop);
	process.on('SIGINT', onStop);
	process.on('SIGHUP', () => void reload(daemon, file, log));
}

/** Exits with the known strategies on standard error if the name is unknown. */
function parseSizing(name: string): SizingStrategy {
	const strategy = Object.values(sizingStrategies).find((known) => known === name);
	if (strategy === undefined) {
		const known = Object.values(sizingStrategies).join(', ');
		process.stderr.write(`--engine-sizing ${name}: expected one of ${known}\n`);
		process.exit(exitCodes.usage);
	}
	return strategy;
}

async function stop(daemon: RelayDaemon, writer: BoundedWriter): Promise<void> {
	await daemon.stop();
	await writer.drain();
	process.exit(exitCodes.ok);
}

/** Applies the settings file again; an unusable file is logged and changes nothing. */
async function reload(daemon: RelayDaemon, file: string, log: Log): Promise<void> {
	try {
		const read = platform.parseSettings(file, await readFile(file, 'utf8'));
		if (read.settings) {
			daemon.reload(read.settings);
			return;
		}
		for (const finding of read.findings) {
			log.error('settings.finding', { finding: errors.formatFinding(finding) });
		}
	} catch (err) {
		log.error('settings.unreadable', { file, error: (err as Error).message });
	}
}

/** Reads the settings file; exits with the findings on standard error if it is unusable. */
async function loadSettings(file: string, metricsPort: string | undefined): Promise<RelaySettings> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (err) {
		process.stderr.write(`${file}: ${(err as Error).message}\n`);
		process.exit(exitCodes.unreadable);
	}
	const read = platform.parseSettings(file, text);
	if (!read.settings) {
		for (const finding of read.findings) {
			process.stderr.write(`${errors.formatFinding(finding)}\n`);
		}
		process.exit(exitCodes.configuration);
	}
	const port = Number(metricsPort ?? read.settings.listen.metrics.port);
	const { listen } = read.settings;
	return { ...read.settings, listen: { ...listen, metrics: { ...listen.metrics, port } } };
}

void main();
