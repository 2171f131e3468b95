/** Preloaded into the daemon: prints the built-in Node.js modules that it loaded when it exits. */
process.on('exit', () => process.stderr.write(process.moduleLoadList.join(',')));
