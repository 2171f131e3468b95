/**
 * Bounds on what the clients of a process may hold, derived from the memory and descriptors of its machine.
 * @module
 */

const megabyte = 1024 * 1024;
/** Memory of a process without clients. */
const baseMemoryMb = 110;
/** The rest goes to garbage that is not collected yet, to answers and to the process's own connections. */
const heldShare = 1 / 3;
const minHeldBytes = 8 * megabyte;
/** Descriptors for files, and for connections that the process itself opens besides those for requests. */
const reservedDescriptors = 256;
const minSockets = 16;
/** Share of the sockets that requests sent ahead on a connection may use, besides the first of each connection. */
const pipelinedShare = 1 / 4;
const maxOpenPerConnection = 32;
const openBeforeAnswers = 4;
/** Shares of the port for callers and of the one for other VMs or operators, as long as the other leaves that much. */
const callersShare = 0.95;
const peersShare = 0.6;
/** Share of an auxiliary port, such as that of the metrics. */
const auxiliaryShare = 1 / 32;

/** Size of the machine that a process runs on. */
export interface Machine {
	memoryMb: number;
	maxDescriptors: number;
}

export interface ConnectionLimits {
	/** Bytes of requests that are read, wait or run. */
	heldBytes: number;
	/** Connections of clients and, for each running request, the connection to its endpoint. */
	sockets: number;
	/** Requests that run at once for one connection, once its client has taken answers. */
	openPerConnection: number;
	/** Requests that run at once for a connection whose client has not taken an answer yet; one more for each answer. */
	openBeforeAnswers: number;
	/** Requests in progress at which connections read no further request while one of theirs runs. */
	pipelinedRequests: number;
}

/** Limits of the port for callers. */
export function deriveLimits({ memoryMb, maxDescriptors }: Machine): ConnectionLimits {
	const heldBytes = (memoryMb - baseMemoryMb) * megabyte * heldShare;
	const sockets = countSockets(maxDescriptors);
	return {
		heldBytes: Math.max(minHeldBytes, heldBytes),
		sockets: Math.floor(sockets * callersShare),
		openPerConnection: maxOpenPerConnection,
		openBeforeAnswers,
		pipelinedRequests: Math.floor(sockets * pipelinedShare),
	};
}

function countSockets(maxDescriptors: number): number {
	return Math.max(minSockets, maxDescriptors - reservedDescriptors);
}

/** The sockets that all ports of a process share. */
export class SocketPool {
	used = 0;
	private readonly limit: number;

	constructor({ maxDescriptors }: Machine) {
		this.limit = countSockets(maxDescriptors);
	}

	has(needed: number): boolean {
		return this.used + needed <= this.limit;
	}
}

/** Limits of a port for other VMs or operators, who send one request at a time on a connection. */
export function derivePeerLimits(machine: Machine): ConnectionLimits {
	const { heldBytes } = deriveLimits(machine);
	return {
		heldBytes: heldBytes / 2,
		sockets: Math.floor(countSockets(machine.maxDescriptors) * peersShare),
		openPerConnection: 1,
		openBeforeAnswers: 1,
		pipelinedRequests: 1,
	};
}

/** Limits of a port whose requests are short and answered at once. */
export function deriveAuxiliaryLimits(machine: Machine): ConnectionLimits {
	const { heldBytes } = deriveLimits(machine);
	const sockets = countSockets(machine.maxDescriptors) * auxiliaryShare;
	return {
		heldBytes: heldBytes * auxiliaryShare,
		sockets: Math.max(minSockets, Math.floor(sockets)),
		openPerConnection: 1,
		openBeforeAnswers: 1,
		pipelinedRequests: 1,
	};
}
