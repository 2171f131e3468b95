/**
 * HTTP client for the platform's VM list; the wire format is described in docs/PROTOCOLS.md.
 * @module
 */
import * as undici from 'undici';
import type { VmEntry, VmList } from '../core/definitions.js';

export interface HttpVmListOptions {
	url: string;
	timeoutMs: number;
}

export class HttpVmList implements VmList {
	constructor(private readonly opts: HttpVmListOptions) {}

	async list(): Promise<VmEntry[]> {
		const res = await undici.request(`${this.opts.url}/vms`, {
			signal: AbortSignal.timeout(this.opts.timeoutMs),
		});
		const rows = (await res.body.json()) as Record<string, unknown>[];
		return rows.map(toVmEntry);
	}
}

function toVmEntry(row: Record<string, unknown>): VmEntry {
	return {
		id: String(row.id),
		address: String(row.address),
		callersPort: Number(row.callers_port),
		controlPort: Number(row.control_port),
		domain: String(row.failure_domain),
		isLeaving: row.state === 'leaving',
	};
}
