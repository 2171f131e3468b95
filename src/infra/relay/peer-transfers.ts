/**
 * Transfers configurations and engine lists between VMs over HTTP. Documents are compressed and few are sent
 * at once, since all members of an aggregator fetch a new configuration at the same time over a shared link.
 * @module
 */
import type * as http from 'node:http';
import * as undici from 'undici';
import type { Log } from '../../core/definitions.js';
import type { CallerConnections } from '../caller-connections.js';
import { maxHeadBytes } from '../caller-connections.js';
import type { ConnectionMeter, MeteredHandler } from '../connections/metered-server.js';
import { createMeteredServer, ignoringBodies } from '../connections/metered-server.js';

const maxConcurrentSends = 3;
/** A transfer without data for this long is aborted; leaves time to wait in the peer's queue. */
const stallTimeoutMs = 1500;
const connectTimeoutMs = 400;
/** Upper bound for the heads of requests that peers ask this VM to forward: a caller's head, and what the peer adds. */
const maxForwardHeadBytes = maxHeadBytes + 4096;
/** After this long without data, another VM may be asked for the same path. */
const slowTransferMs = 400;
/** The fastest level; higher ones hardly reduce the size of a configuration. */
const compressionOptions = { level: 1 };
/** Compressed documents that are kept: configuration and engines, each as fetched before and after a change. */
const maxCachedDocuments = 4;

interface Transfer {
	address: string;
	progressAt: number;
}

export interface PeerTransfersOptions {
	log: Log;
	/** What clients of the server may hold. */
	meter: ConnectionMeter;
	/** Returns the document for a path with its query; undefined when this VM does not have it. */
	getDocument: (target: string) => string | undefined;
	/** Handles a request that a peer asks this VM to forward; returns false for any other request. */
	handleForward: ForwardHandler;
}

/** @returns false for a request that asks for no forwarding */
export type ForwardHandler = (
	req: http.IncomingMessage,
	res: http.ServerResponse,
	connections: CallerConnections,
) => boolean;

export class PeerTransfers {
	readonly server: http.Server;
	private readonly agent = new undici.Agent({ connect: { timeout: connectTimeoutMs } });
	private readonly sendQueue: (() => void)[] = [];
	private activeSends = 0;
	/** Latest running transfer of each path. */
	private readonly fetches = new Map<string, Transfer>();
	/** Latest compressed documents, newest first. */
	private readonly cachedDocuments: { text: string; compressed: Buffer }[] = [];

	constructor(private readonly opts: PeerTransfersOptions) {
		const serve = ignoringBodies((req, res) => this.serve(req, res));
		const handle: MeteredHandler = (req, res, connections) => {
			if (!opts.handleForward(req, res, connections)) {
				serve(req, res, connections);
			}
		};
		this.server = createMeteredServer(opts.meter, handle, maxForwardHeadBytes);
	}

	/**
	 * Fetches a document from a peer.
	 * @returns undefined when the peer does not have it, the transfer fails, or another one of the path is running
	 */
	async fetch(address: string, target: string): Promise<string | undefined> {
		const [path = target] = target.split('?');
		const now = performance.now();
		const current = this.fetches.get(path);
		if (current && (current.address === address || now - current.progressAt < slowTransferMs)) {
			return undefined;
		}
		const transfer = { address, progressAt: now };
		this.fetches.set(path, transfer);
		try {
			return await this.download(transfer, target);
		} catch (err) {
			const error = (err as Error).message;
			this.opts.log.warn('peer.fetch-failed', { peer: address, path: target, error });
			return undefined;
		} finally {
			if (this.fetches.get(path) === transfer) {
				this.fetches.delete(path);
			}
		}
	}

	close(): void {
		void this.agent.destroy();
		this.server.close();
		this.server.closeAllConnections();
	}

	private async download(transfer: Transfer, target: string): Promise<string | undefined> {
		const controller = new AbortController();
		const timer = setTimeout(
			() => controller.abort(new Error(`no data for ${stallTimeoutMs} ms`)),
			stallTimeoutMs,
		);
		try {
			const res = await this.agent.request({
				origin: `http://${transfer.address}`,
				path: target,
				method: 'GET',
				signal: controller.signal,
			});
			const chunks: Buffer[] = [];
			for await (const chunk of res.body) {
				chunks.push(chunk as Buffer);
				transfer.progressAt = performance.now();
				timer.refresh();
			}
			return res.statusCode === 200 ? decompress(Buffer.concat(chunks)) : undefined;
		} finally {
			clearTimeout(timer);
		}
	}

	private serve(req: http.IncomingMessage, res: http.ServerResponse): void {
		const text = this.opts.getDocument(req.url ?? '');
		if (text === undefined) {
			res.writeHead(404).end();
			return;
		}
		const send = () => this.send(res, text);
		if (this.activeSends < maxConcurrentSends) {
			send();
		} else {
			this.sendQueue.push(send);
		}
	}

	private send(res: http.ServerResponse, text: string): void {
		this.activeSends++;
		res.on('close', () => {
			this.activeSends--;
			this.sendQueue.shift()?.();
		});
		if (res.destroyed) {
			// The peer disconnected while queued and 'close' has fired already, so the listener above is run by hand.
			res.emit('close');
			return;
		}
		res.writeHead(200, { 'content-type': 'application/octet-stream' });
		res.end(this.compress(text));
	}

	/** Caches the latest results, since peers usually fetch the same documents. */
	private compress(text: string): Buffer {
		const cached = this.cachedDocuments.find((document) => document.text === text);
		if (cached) {
			return cached.compressed;
		}
		const compressed = loadZlib().deflateRawSync(text, compressionOptions);
		this.cachedDocuments.unshift({ text, compressed });
		this.cachedDocuments.splice(maxCachedDocuments);
		return compressed;
	}
}

/** Loads zlib on first use to shorten the start; the bundle runs as a script, which cannot use import(). */
function loadZlib() {
	return process.getBuiltinModule('node:zlib');
}

function decompress(bytes: Buffer): string {
	return loadZlib().inflateRawSync(bytes).toString();
}
