/**
 * What the daemon uses of undici, for its bundle. The package's own entry also loads fetch, caches and
 * web sockets, which takes a third of the time that the daemon needs to start.
 */
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');

Object.assign(Dispatcher.prototype, require('../node_modules/undici/lib/api/index.js'));

module.exports = {
	Agent: require('../node_modules/undici/lib/dispatcher/agent.js'),
	Client: require('../node_modules/undici/lib/dispatcher/client.js'),
	Pool: require('../node_modules/undici/lib/dispatcher/pool.js'),
	buildConnector: require('../node_modules/undici/lib/core/connect.js'),
};
