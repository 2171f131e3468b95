/**
 * `slategauge config`: checks, shows, compares and applies the configuration of the fleet.
 * @module
 */
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as smolToml from 'smol-toml';
import type * as yargs from 'yargs';
import { diffConfigurations } from '../../core/configuration/diff.js';
import type { Configuration } from '../../core/configuration/index.js';
import { checkConfiguration } from '../../core/configuration/index.js';
import * as errors from '../../core/errors/index.js';
import { exitCodes } from '../exit-codes.js';
import { FleetClient } from '../fleet-client.js';
import type { GlobalArgs } from '../types.js';
import { waitUntilApplied } from './wait-until-applied.js';

interface FileArgs extends GlobalArgs {
	file: string;
}

interface ApplyArgs extends FileArgs {
	base?: number;
	by: string;
	'dry-run': boolean;
}

const check: yargs.CommandModule<GlobalArgs, FileArgs> = {
	command: 'check <file>',
	describe: 'check a configuration file; needs no daemon',
	builder: fileBuilder,
	handler: async (args) => {
		await loadConfiguration(args.file);
		process.stdout.write(`${args.file}: no findings\n`);
	},
};

const show: yargs.CommandModule<GlobalArgs, GlobalArgs> = {
	command: 'show',
	describe: 'print the configuration in force as TOML',
	handler: async (args) => {
		const current = await new FleetClient(args).client.configuration.query();
		if (!current) {
			throw new errors.UserError(errors.data.NotReady);
		}
		const timestamp = new Date(current.at).toISOString();
		process.stdout.write(`# version ${current.version} by ${current.by} at ${timestamp}\n`);
		process.stdout.write(`${smolToml.stringify(current.document)}\n`);
	},
};

const diff: yargs.CommandModule<GlobalArgs, FileArgs> = {
	command: 'diff <file>',
	describe: 'compare a file with the configuration in force',
	builder: fileBuilder,
	handler: async (args) => {
		const document = await loadConfiguration(args.file);
		const current = await new FleetClient(args).client.configuration.query();
		printDiff(current?.document, document);
	},
};

const apply: yargs.CommandModule<GlobalArgs, ApplyArgs> = {
	command: 'apply <file>',
	describe: 'apply a configuration to the whole fleet',
	builder: (args) =>
		fileBuilder(args)
			.option('base', { type: 'number', describe: 'version that the file is based on' })
			.option('by', {
				type: 'string',
				default: os.userInfo().username,
				describe: 'author recorded with the change',
			})
			.option('dry-run', {
				type: 'boolean',
				default: false,
				describe: 'show the changes without applying them',
			}),

	handler: async (args) => {
		const document = await loadConfiguration(args.file);
		const fleet = new FleetClient(args);
		const current = await fleet.client.configuration.query();
		printDiff(current?.document, document);
		if (args['dry-run']) {
			process.stdout.write(`dry run: version ${current?.version ?? 0} stays in force\n`);
			return;
		}
		const base = args.base ?? current?.version ?? 0;
		const accepted = await fleet.client.applyConfiguration.mutate({ document, base, by: args.by });
		process.stdout.write(`version ${accepted.version} accepted\n`);
		process.exitCode = await waitUntilApplied(fleet, accepted.version);
	},
};

export const configCommand: yargs.CommandModule = {
	command: 'config',
	describe: 'check, show, compare and apply the configuration',
	builder: (args) =>
		args
			.command(check as yargs.CommandModule<object, FileArgs>)
			.command(show as yargs.CommandModule)
			.command(diff as yargs.CommandModule)
			.command(apply as yargs.CommandModule)
			.demandCommand(1, 'expected check, show, diff or apply'),
	handler: () => {},
};

function fileBuilder(args: yargs.Argv<GlobalArgs>) {
	return args.positional('file', { type: 'string', demandOption: true });
}

async function loadConfiguration(file: string): Promise<Configuration> {
	let text: string;
	try {
		text = await fs.readFile(file, 'utf8');
	} catch (err) {
		process.stderr.write(`${file}: ${(err as Error).message}\n`);
		process.exit(exitCodes.unreadable);
	}
	const checked = await checkConfiguration(file, text);
	if (checked.value === undefined) {
		for (const finding of checked.findings) {
			process.stderr.write(`${errors.formatFinding(finding)}\n`);
		}
		process.exit(exitCodes.configuration);
	}
	return checked.value;
}

function printDiff(before: Configuration | undefined, after: Configuration): void {
	const lines = diffConfigurations(before, after);
	process.stdout.write(`${lines.length === 0 ? 'no change' : lines.join('\n')}\n`);
}
