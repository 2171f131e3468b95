/**
 * HTTP client for the platform's VM list; the wire format is described in docs/PROTOCOLS.md.
 * @module
 */
import * as net from 'node:net';
import * as undici from 'undici';
import type { Log, VmEntry, VmList } from '../core/definitions.js';

const maxPort = 65_535;

export interface HttpVmListOptions {
	url: string;
	timeoutMs: number;
	log: Log;
}

export class HttpVmList implements VmList {
	constructor(private readonly opts: HttpVmListOptions) {}

	/** @returns the entries that can be used */
	async list(): Promise<VmEntry[]> {
		const res = await undici.request(`${this.opts.url}/vms`, {
			signal: AbortSignal.timeout(this.opts.timeoutMs),
		});
		const rows = await res.body.json();
		if (!Array.isArray(rows)) {
			throw new Error('the VM list is not an array');
		}
		return rows.flatMap((row, index) => {
			const entry = toVmEntry(row);
			if (!entry) {
				this.opts.log.warn('vm-list.unreadable', { index });
				return [];
			}
			return [entry];
		});
	}
}

/** @returns undefined for an entry that names no VM, or no address of it */
function toVmEntry(raw: unknown): VmEntry | undefined {
	const row = (raw ?? {}) as Record<string, unknown>;
	const { id, address, failure_domain: domain } = row;
	const callersPort = Number(row.callers_port);
	const controlPort = Number(row.control_port);
	const isNamed = typeof id === 'string' && id !== '' && typeof domain === 'string';
	const isReachable = typeof address === 'string' && net.isIP(address) !== 0;
	if (!isNamed || !isReachable || !isPort(callersPort) || !isPort(controlPort)) {
		return undefined;
	}
	return { id, address, callersPort, controlPort, domain, isLeaving: row.state === 'leaving' };
}

function isPort(port: number): boolean {
	return Number.isInteger(port) && port > 0 && port <= maxPort;
}
