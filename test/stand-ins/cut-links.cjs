/**
 * Preloaded into a daemon: makes its connections to engines fail as a cut link does, on messages from the test.
 * A message names the state of the links and the addresses of the engines.
 */
const net = require('node:net');

const linkStates = { sound: 'sound', hang: 'hang', reset: 'reset', refuse: 'refuse' };
let state = linkStates.sound;
let engines = new Set();
/** Open sockets to engines, with the writes that a hanging link holds back. */
const held = new Map();
const { connect, _write, _writev } = net.Socket.prototype;

net.Socket.prototype.connect = function (...args) {
	const [opts] = Array.isArray(args[0]) ? args[0] : args;
	if (!engines.has(`${opts.host}:${opts.port}`)) {
		return connect.apply(this, args);
	}
	if (state === linkStates.hang) {
		this.connecting = true;
		return this;
	}
	if (state !== linkStates.sound) {
		const code = state === linkStates.reset ? 'ECONNRESET' : 'ECONNREFUSED';
		process.nextTick(() => this.destroy(Object.assign(new Error(`connect ${code}`), { code })));
		return this;
	}
	held.set(this, []);
	this.once('close', () => held.delete(this));
	return connect.apply(this, args);
};

function hold(socket, writes) {
	socket._handle?.readStop();
	if (socket._handle) {
		socket._handle.readStart = () => 0;
	}
	socket._write = (...args) => writes.push(() => _write.apply(socket, args));
	socket._writev = (...args) => writes.push(() => _writev.apply(socket, args));
}

function release(socket, writes) {
	if (!Object.hasOwn(socket, '_write')) {
		return;
	}
	delete socket._write;
	delete socket._writev;
	if (socket._handle) {
		delete socket._handle.readStart;
		socket._handle.readStart();
	}
	for (const write of writes.splice(0)) {
		write();
	}
}

process.on('message', (message) => {
	state = message.state;
	engines = new Set(message.engines);
	for (const [socket, writes] of held) {
		if (state === linkStates.hang) {
			hold(socket, writes);
		} else if (state === linkStates.reset) {
			socket.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }));
		} else {
			release(socket, writes);
		}
	}
	process.send('done');
});
process.channel?.unref();
