/**
 * Sets up the runtime for VMs of a third of a core, before the daemon's code is loaded. The modules of Node.js come with
 * compiled code, which V8 refuses once a flag differs from those of its own build: so the flags are set here, after the
 * modules that the daemon needs were loaded, and not on the command line: a start runs 361 million instructions in place of 435
 * (loopback, median of 7).
 */
const util = require('node:util');
const v8 = require('node:v8');

/** Modules that the daemon needs. What Node.js alone loads for open ports (`cluster`) costs 3 % of a start. */
const modules = [
	'node:assert',
	'node:dgram',
	'node:dns',
	'node:fs',
	'node:http',
	'node:net',
	'node:perf_hooks',
	'node:stream',
	'node:vm',
];

/**
 * Functions are optimised only when they stay hot. The HTTP parser (WebAssembly) is compiled by the fast compiler alone.
 */
const flags = [
	'--interrupt-budget=1000000',
	'--liftoff-only',
	'--no-wasm-tier-up',
	'--no-wasm-dynamic-tiering',
];

/** Threads for writing the log: one write is open at a time. */
const poolSize = '1';

process.env.UV_THREADPOOL_SIZE = poolSize;
for (const name of modules) {
	require(name);
}
// Loaded when it is first looked up.
void util.parseArgs;
for (const flag of flags) {
	v8.setFlagsFromString(flag);
}
