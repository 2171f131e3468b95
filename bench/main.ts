/**
 * `npm run bench -- NAME`: experiments on real processes over loopback.
 * @module
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { burstBench } from './burst.js';
import { controlCostBench } from './control-cost.js';
import { hotPathBench } from './hot-path.js';
import { kvBench } from './kv.js';
import { limitsBench } from './limits.js';
import { messageCostBench } from './message-cost.js';

/** Options of every bench. */
export interface BenchArgs {
	daemons: number;
	endpoints: number;
	seeds: number[];
	policies: string[];
	deployment: string;
	seconds: number;
	out: string;
	/** Fleet sizes, for benches that vary them. */
	sizes: number[];
}

const benches: Record<string, (args: BenchArgs) => Promise<void>> = {
	burst: (args) => burstBench('burst', args),
	'slow-endpoint': (args) => burstBench('slow-endpoint', args),
	'dead-endpoint': (args) => burstBench('dead-endpoint', args),
	'dead-daemon': (args) => burstBench('dead-daemon', args),
	'frozen-daemon': (args) => burstBench('frozen-daemon', args),
	'cut-daemon': (args) => burstBench('cut-daemon', args),
	fleet: fleetBench,
	'hot-path': (args) => hotPathBench(args.out),
	'control-cost': (args) => controlCostBench(args.sizes, args.policies, args.out),
	'message-cost': (args) => messageCostBench(args.out),
	limits: (args) => limitsBench(args.sizes, args.out),
	kv: (args) => kvBench(args.sizes, args.out),
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
	.option('seconds', { type: 'number', default: 20, describe: 'length of the trace' })
	.option('sizes', { type: 'number', array: true, default: [3, 9, 18, 36] })
	.option('out', { type: 'string', default: '', describe: 'file for JSON lines' })
	.demandCommand(1, `expected one of ${Object.keys(benches).join(', ')}`)
	.strictOptions()
	.parseAsync();

const name = String(args._[0]);
const bench = benches[name];
if (!bench) {
	process.stderr.write(`no bench is named ${name}; known: ${Object.keys(benches).join(', ')}\n`);
	process.exit(64);
}
await bench({ ...args, seeds: args.seed, policies: args.policy });

/** The same load before the same endpoints, with more and more daemons. */
async function fleetBench(args: BenchArgs): Promise<void> {
	for (const daemons of args.sizes) {
		await burstBench('fleet', { ...args, daemons });
	}
}
