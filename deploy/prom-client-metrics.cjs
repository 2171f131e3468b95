/**
 * What the daemon uses of prom-client, for its bundle. The package's own entry also loads clusters, pushing
 * and process figures, and with them encryption and child processes, which takes a fifth of a start.
 */
module.exports = {
	Counter: require('../node_modules/prom-client/lib/counter.js'),
	Gauge: require('../node_modules/prom-client/lib/gauge.js'),
	Histogram: require('../node_modules/prom-client/lib/histogram.js'),
	Registry: require('../node_modules/prom-client/lib/registry.js'),
};
