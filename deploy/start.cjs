/**
 * Runs the bundled daemon from code that was compiled at build time (`compile.cjs`): all VMs may start at
 * once after a loss of power, and nothing is served until they have.
 */
require('./runtime.cjs');

const bundle = require('./bundle.cjs');

bundle.run(bundle.load(true));
