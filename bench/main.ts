/**
 * Command line of the benchmarks, `npm run bench -- NAME`.
 * @module
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runBurstBench } from './burst.js';
import { runControlCostBench } from './control-cost.js';
import { runHotPathBench } from './hot-path.js';
import { runKvBench } from './kv.js';
import { runLimitsBench } from './limits.js';
import { runMessageCostBench } from './message-cost.js';

export interface BenchArgs {
	daemons: number;
	endpoints: number;
	seeds: number[];
	policies: string[];
	deployment: string;
	seconds: number;
	out: string;
	/** Numbers of daemons, for benchmarks that vary the fleet size. */
	sizes: number[];
}

const benches: Record<string, (args: BenchArgs) => Promise<void>> = {
	burst: (args) => runBurstBench('burst', args),
	'slow-endpoint': (args) => runBurstBench('slow-endpoint', args),
	'dead-endpoint': (args) => runBurstBench('dead-endpoint', args),
	'dead-daemon': (args) => runBurstBench('dead-daemon', args),
	'frozen-daemon': (args) => runBurstBench('frozen-daemon', args),
	'cut-daemon': (args) => runBurstBench('cut-daemon', args),
	fleet: runFleetBench,
	'hot-path': (args) => runHotPathBench(args.out),
	'control-cost': (args) => runControlCostBench(args.sizes, args.policies, args.out),
	'message-cost': (args) => runMessageCostBench(args.out),
	limits: (args) => runLimitsBench(args.sizes, args.out),
	kv: (args) => runKvBench(args.sizes, args.out),
};

const args = await yargs(hideBin(process.argv))
	.scriptName('bench')
	.usage('$0 NAME')
	.positional('name', { type: 'string' })
	.option('daemons', { type: 'number', default: 9 })
	.option('endpoints', { type: 'number', default: 12 })
	.option('seed', { type: 'number', array: true, default: [1, 2, 3] })
	.option('policy', { type: 'string', array: true, default: ['independent', 'granted'] })
	.option('deployment', { type: 'string', default: 'lakeshore' })
	.option('seconds', { type: 'number', default: 20, describe: 'length of the trace in seconds' })
	.option('sizes', { type: 'number', array: true, default: [3, 9, 18, 36] })
	.option('out', {
		type: 'string',
		default: '',
		describe: 'file to append results to, as JSON lines',
	})
	.demandCommand(1, `expected one of ${Object.keys(benches).join(', ')}`)
	.strictOptions()
	.parseAsync();

const name = String(args._[0]);
const bench = benches[name];
if (!bench) {
	process.stderr.write(
		`unknown benchmark "${name}"; expected one of ${Object.keys(benches).join(', ')}\n`,
	);
	process.exit(64);
}
await bench({ ...args, seeds: args.seed, policies: args.policy });

/** Runs the same load on the same endpoints with each number of daemons. */
async function runFleetBench(args: BenchArgs): Promise<void> {
	for (const daemons of args.sizes) {
		await runBurstBench('fleet', { ...args, daemons });
	}
}
