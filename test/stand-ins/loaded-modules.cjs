/** Preloaded into the daemon: names at its end what it loaded of Node's own modules. */
process.on('exit', () => process.stderr.write(process.moduleLoadList.join(',')));
