/**
 * Replaces `undici` in the bundle with the parts that the daemon uses. The package's own entry also loads
 * fetch, caches and WebSocket, which slows startup.
 */
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');

Object.assign(Dispatcher.prototype, require('../node_modules/undici/lib/api/index.js'));

module.exports = {
	Agent: require('../node_modules/undici/lib/dispatcher/agent.js'),
	Client: require('../node_modules/undici/lib/dispatcher/client.js'),
	Pool: require('../node_modules/undici/lib/dispatcher/pool.js'),
	buildConnector: require('../node_modules/undici/lib/core/connect.js'),
};
