#!/usr/bin/env node
/**
 * Entry point of `slategauge`, the operators' command-line tool.
 * @module
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { configCommand } from './config/index.js';
import { exitCodes } from './exit-codes.js';
import { explainCommand } from './explain/index.js';
import { findCommand } from './find/index.js';
import { hashTokenCommand } from './hash-token/index.js';
import { queryCommand, runCommand } from './query/index.js';
import { replayCommand } from './replay/index.js';
import { reportCommand } from './report/index.js';
import { shellCommand } from './shell/index.js';
import { statusCommand } from './status/index.js';
import { timelineCommand } from './timeline/index.js';

await yargs(hideBin(process.argv))
	.scriptName('slategauge')
	.usage('$0 COMMAND\n\nInspects and controls a running fleet through any of its daemons.')
	.env('SLATEGAUGE')
	.option('daemon', {
		type: 'string',
		default: '127.0.0.1:8090',
		describe: 'control address of any daemon, IP:port (or SLATEGAUGE_DAEMON)',
		global: true,
	})
	.option('token', {
		type: 'string',
		default: '',
		describe: 'operator token (preferably set as SLATEGAUGE_TOKEN)',
		global: true,
	})
	.command(queryCommand)
	.command(shellCommand)
	.command(runCommand)
	.command(statusCommand)
	.command(configCommand)
	.command(timelineCommand)
	.command(explainCommand)
	.command(findCommand)
	.command(replayCommand)
	.command(reportCommand)
	.command(hashTokenCommand)
	.strict()
	.completion('completion', 'print a shell completion script')
	.fail((message, err) => {
		process.stderr.write(`${err ? describeError(err) : message}\n`);
		process.exit(err ? exitCodes.failed : exitCodes.usage);
	})
	.help()
	.parseAsync();

function describeError(err: Error): string {
	const cause = err.cause instanceof Error ? ` (${err.cause.message})` : '';
	return `${err.message}${cause}`;
}
