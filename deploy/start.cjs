/**
 * Runs the bundled daemon with the code cache that `compile.cjs` wrote at build time. This shortens the outage when
 * all VMs start at the same time, such as after a power failure.
 */
require('./runtime.cjs');

const bundle = require('./bundle.cjs');

bundle.runScript(bundle.loadScript(true));
