/**
 * Replaces `prom-client` in the bundle with the parts that the daemon uses. The package's own entry also loads
 * cluster support, the push gateway and process metrics, which slows startup.
 */
module.exports = {
	Counter: require('../node_modules/prom-client/lib/counter.js'),
	Gauge: require('../node_modules/prom-client/lib/gauge.js'),
	Histogram: require('../node_modules/prom-client/lib/histogram.js'),
	Registry: require('../node_modules/prom-client/lib/registry.js'),
};
