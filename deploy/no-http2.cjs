/** Stands in the bundle for `node:http2`, which undici loads for a protocol that is not spoken here. */
module.exports = { constants: {} };
