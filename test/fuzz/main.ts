/**
 * `npm run fuzz -- RUNS [SEED]`: the long fuzz run.
 * @module
 */
import { fuzz, fuzzSeed } from './commands.js';

const [runs = '10000', seed = String(fuzzSeed)] = process.argv.slice(2);
const began = performance.now();
const covered = await fuzz(Number(runs), Number(seed));
const seconds = Math.round((performance.now() - began) / 1000);
process.stdout.write(`${runs} command sequences, seed ${seed}, no finding, ${seconds} s\n`);
for (const [kind, count] of [...covered].sort()) {
	process.stdout.write(`${kind}: ${count}\n`);
}
