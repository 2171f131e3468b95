#!/usr/bin/env node
/**
 * `slategauged`: the daemon.
 * @module
 */
import * as fs from 'node:fs/promises';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import * as errors from '../core/errors/index.js';
import * as settings from '../core/settings/index.js';
import { LogfmtLog } from '../infra/logfmt-log.js';
import { Daemon } from './daemon.js';

/** Exit codes, following sysexits.h where it has one. */
const exitCodes = { ok: 0, failed: 1, usage: 64, unreadable: 66, configuration: 78 } as const;

await yargs(hideBin(process.argv))
	.scriptName('slategauged')
	.usage('$0 run FILE\n\nThe router daemon; FILE holds its settings.')
	.command(
		['run <file>', '$0 <file>'],
		'run with the settings in FILE',
		(args) => args.positional('file', { type: 'string', demandOption: true }),
		(args) => run(args.file),
	)
	.command(
		'check <file>',
		'check the settings in FILE and exit',
		(args) => args.positional('file', { type: 'string', demandOption: true }),
		async (args) => {
			await load(args.file);
			process.stdout.write(`${args.file}: no findings\n`);
		},
	)
	.demandCommand(1)
	.strict()
	.fail((message, err) => {
		process.stderr.write(`${message ?? err?.stack}\n`);
		process.exit(err ? exitCodes.failed : exitCodes.usage);
	})
	.help()
	.parseAsync();

async function load(file: string): Promise<settings.Settings> {
	let text: string;
	try {
		text = await fs.readFile(file, 'utf8');
	} catch (err) {
		process.stderr.write(`${file}: ${(err as Error).message}\n`);
		process.exit(exitCodes.unreadable);
	}
	const checked = await settings.checkSettings(file, text);
	if (checked.value === undefined) {
		for (const finding of checked.findings) {
			process.stderr.write(`${errors.formatFinding(finding)}\n`);
		}
		process.exit(exitCodes.configuration);
	}
	return checked.value;
}

async function run(file: string): Promise<void> {
	const loaded = await load(file);
	const log = new LogfmtLog({ level: loaded.log.level, baseFields: { vm: loaded.vm.id } });
	const daemon = new Daemon(loaded, log);
	try {
		await daemon.start();
	} catch (err) {
		log.error('daemon.start-failed', { error: (err as Error).message });
		process.exit(exitCodes.failed);
	}
	let signals = 0;
	const onSignal = async () => {
		signals++;
		if (signals > 1) {
			daemon.logAbortedRequests();
			process.exit(exitCodes.failed);
		}
		await daemon.stop();
		process.exit(exitCodes.ok);
	};
	process.on('SIGTERM', onSignal);
	process.on('SIGINT', onSignal);
}
