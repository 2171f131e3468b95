/** Replaces `node:http2` in the bundle; undici loads it, but the daemon does not use HTTP/2. */
module.exports = { constants: {} };
