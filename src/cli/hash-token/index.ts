/**
 * `slategauge hash-token`: hashes a key for the configuration, which stores no plain keys.
 * @module
 */
import * as readline from 'node:readline/promises';
import type * as yargs from 'yargs';
import { hashToken } from '../../core/configuration/index.js';

export const hashTokenCommand: yargs.CommandModule = {
	command: 'hash-token',
	describe: 'read a key from standard input and print its hash',
	handler: async () => {
		const input = readline.createInterface({ input: process.stdin });
		for await (const line of input) {
			process.stdout.write(`${hashToken(line.trim())}\n`);
			break;
		}
		input.close();
	},
};
