/**
 * Command-line entry of the fuzz test: `npm run fuzz -- RUNS [SEED]`.
 * @module
 */
import { fuzz, fuzzSeed } from './commands.js';

const [runs = '10000', seed = String(fuzzSeed)] = process.argv.slice(2);
const startedAt = performance.now();
const eventCounts = await fuzz(Number(runs), Number(seed));
const seconds = Math.round((performance.now() - startedAt) / 1000);
process.stdout.write(`${runs} command sequences, seed ${seed}, no failures, ${seconds} s\n`);
for (const [kind, count] of [...eventCounts].sort()) {
	process.stdout.write(`${kind}: ${count}\n`);
}
