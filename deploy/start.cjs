/**
 * Runs the bundled daemon from code that was compiled at build time: all VMs may start at once after a
 * loss of power, and nothing is served until they have. `--compile` as the last argument writes that code.
 */
const fs = require('node:fs');
const module_ = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const bundle = path.join(__dirname, '../target/relayd.cjs');
const compiled = `${bundle}.cache`;
const compiles = process.argv.at(-1) === '--compile';

const source = module_.wrap(fs.readFileSync(bundle, 'utf8').replace(/^#!.*/, ''));
const script = new vm.Script(source, { filename: bundle, cachedData: readCompiled() });
if (script.cachedDataRejected) {
	// Another version or other flags of Node.js: it is compiled again, which only takes time.
	process.stderr.write(`${compiled} does not fit this Node.js\n`);
}
if (compiles) {
	process.argv.pop();
	process.on('exit', () => {
		fs.writeFileSync(compiled, script.createCachedData());
		process.exitCode = 0;
	});
}
script.runInThisContext()(
	exports,
	module_.createRequire(bundle),
	module,
	bundle,
	path.dirname(bundle),
);

function readCompiled() {
	return !compiles && fs.existsSync(compiled) ? fs.readFileSync(compiled) : undefined;
}
