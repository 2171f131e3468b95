/**
 * Loads the bundled daemon as a script, with the V8 code cache that `compile.cjs` writes.
 */
const fs = require('node:fs');
const nodeModule = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const bundleFile = path.join(__dirname, '../target/relayd.cjs');
const codeCacheFile = `${bundleFile}.cache`;

/** @param {boolean} useCodeCache whether to use the code cache, if it exists */
function loadScript(useCodeCache) {
	const source = nodeModule.wrap(fs.readFileSync(bundleFile, 'utf8').replace(/^#!.*/, ''));
	const cachedData =
		useCodeCache && fs.existsSync(codeCacheFile) ? fs.readFileSync(codeCacheFile) : undefined;
	const script = new vm.Script(source, { filename: bundleFile, cachedData });
	if (script.cachedDataRejected) {
		// The cache was written by another Node.js version or with other flags; V8 compiles the source.
		process.stderr.write(
			`${codeCacheFile}: code cache rejected, written by another Node.js version or with other flags\n`,
		);
	}
	return script;
}

/** Runs the script as the main CommonJS module. */
function runScript(script) {
	const main = { exports: {} };
	const evaluate = script.runInThisContext();
	evaluate(
		main.exports,
		nodeModule.createRequire(bundleFile),
		main,
		bundleFile,
		path.dirname(bundleFile),
	);
}

/** Writes the code cache, which holds the functions that have run so far. */
function saveCodeCache(script) {
	fs.writeFileSync(codeCacheFile, script.createCachedData());
}

module.exports = { loadScript, runScript, saveCodeCache };
