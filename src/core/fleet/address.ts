/**
 * Addresses as IP:PORT, the form in which the store, peers and settings name them.
 * @module
 */
import type { HostPort } from '../relay/settings.js';

const octet = '(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)';
const pattern = new RegExp(`^${octet}(?:\\.${octet}){3}:([1-9]\\d{0,4})$`);
const maxPort = 65_535;

/** Whether a text is IP:PORT and can be connected to; sockets and URLs throw on any other. */
export function isAddress(text: string): boolean {
	const port = pattern.exec(text)?.[1];
	return port !== undefined && Number(port) <= maxPort;
}

/** @param text an address, as `isAddress` tells */
export function parseAddress(text: string): HostPort {
	const colon = text.lastIndexOf(':');
	return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

export function addressOf({ host, port }: HostPort): string {
	return `${host}:${port}`;
}
