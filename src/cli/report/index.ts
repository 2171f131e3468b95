/**
 * `slategauge report`: renders the results of a replay as an HTML page with charts.
 * @module
 */
import * as fs from 'node:fs/promises';
import type * as yargs from 'yargs';
import { renderReportPage } from '../../core/replay/report-page.js';
import type { ReplayResult } from '../../core/replay/types.js';
import { FleetClient } from '../fleet-client.js';
import { readClassTargets } from '../replay/targets.js';
import type { GlobalArgs } from '../types.js';

interface ReportArgs extends GlobalArgs {
	results: string;
	out: string;
	title: string;
}

export const reportCommand: yargs.CommandModule<GlobalArgs, ReportArgs> = {
	command: 'report <results>',
	describe: 'render the results of `replay --results` as an HTML page',
	builder: (args) =>
		args
			.positional('results', {
				type: 'string',
				demandOption: true,
				describe: 'results file (JSON lines)',
			})
			.option('out', { type: 'string', demandOption: true, describe: 'HTML file to write' })
			.option('title', { type: 'string', default: 'Replay', describe: 'title of the page' }),
	handler: async (args) => {
		const lines = (await fs.readFile(args.results, 'utf8')).split('\n');
		const results = lines
			.filter((line) => line !== '')
			.map((line) => JSON.parse(line) as ReplayResult);
		const targets = await readClassTargets(new FleetClient(args));
		await fs.writeFile(args.out, renderReportPage(args.title, results, targets));
		process.stdout.write(`${args.out}: ${results.length} requests\n`);
	},
};
