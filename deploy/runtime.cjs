/**
 * Sets V8 flags for small VMs before the daemon's code is loaded. The flags are set here, after the built-in modules
 * are loaded, and not on the command line: V8 rejects the code cache of the built-in modules once a flag differs.
 */
const util = require('node:util');
const v8 = require('node:v8');

/** Built-in modules that the daemon uses. */
const builtinModules = [
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

/** Delays optimization of hot functions, and compiles WebAssembly (the HTTP parser) with the baseline compiler only. */
const v8Flags = [
	'--interrupt-budget=1000000',
	'--liftoff-only',
	'--no-wasm-tier-up',
	'--no-wasm-dynamic-tiering',
];

/** libuv threads; the log has at most one write in progress. */
const threadPoolSize = '1';

process.env.UV_THREADPOOL_SIZE = threadPoolSize;
for (const name of builtinModules) {
	require(name);
}
// Node.js loads the argument parser on first access.
void util.parseArgs;
for (const flag of v8Flags) {
	v8.setFlagsFromString(flag);
}
