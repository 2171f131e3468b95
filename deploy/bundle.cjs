/**
 * The bundled daemon as a script, with the code that was compiled for it at build time.
 */
const fs = require('node:fs');
const module_ = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const file = path.join(__dirname, '../target/relayd.cjs');
/** Code of the functions that ran at build time. */
const compiledFile = `${file}.cache`;

/** @param {boolean} compiled whether compiled code is used, where it exists */
function load(compiled) {
	const source = module_.wrap(fs.readFileSync(file, 'utf8').replace(/^#!.*/, ''));
	const cachedData =
		compiled && fs.existsSync(compiledFile) ? fs.readFileSync(compiledFile) : undefined;
	const script = new vm.Script(source, { filename: file, cachedData });
	if (script.cachedDataRejected) {
		// Another version or other flags of Node.js: it is compiled again, which only takes time.
		process.stderr.write(`${compiledFile} does not fit this Node.js\n`);
	}
	return script;
}

/** Runs the daemon's main module. */
function run(script) {
	const main = { exports: {} };
	const body = script.runInThisContext();
	body(main.exports, module_.createRequire(file), main, file, path.dirname(file));
}

/** Keeps the code of all functions that have run so far. */
function saveCompiled(script) {
	fs.writeFileSync(compiledFile, script.createCachedData());
}

module.exports = { load, run, saveCompiled };
