/**
 * Copies of configurations and of lists of engines from VM to VM: HTTP, compressed, a few at a time.
 *
 * A change of the configuration makes all members of an aggregator ask for it at once, over a link that also carries
 * their answers and news. Sent uncompressed and all at once, 17 copies of 290 KB over 7 Mbit/s took six seconds, ran
 * into a limit on the whole transfer, and were begun again; compressed they take a tenth of it.
 * @module
 */
import * as http from 'node:http';
import * as undici from 'undici';
import type { Log } from '../../core/definitions.js';

/** Copies sent at once; a copy of 28 KB keeps a link of 7 Mbit/s busy for 32 ms. */
const sendsAtOnce = 3;
/** A transfer that brings nothing for so long is given up, in milliseconds: 20 copies of 28 KB take one second by the above. */
const stallMs = 1500;
/** A connection between VMs comes up in 2 to 4 ms; a lost packet is sent again after a second. */
const connectTimeoutMs = 400;
/** While a transfer has brought nothing for so long, in milliseconds, another VM may be asked for the same. */
const slowMs = 400;
/** Lower levels are faster: level 1 takes 2 ms for 290 KB and saves 90 %, as much as level 6. */
const compression = { level: 1 };

interface Transfer {
	address: string;
	progressAt: number;
}

export interface PeerTransfersOptions {
	log: Log;
	/** What a path and query names; undefined for what this VM does not have. */
	getDocument: (target: string) => string | undefined;
}

export class PeerTransfers {
	readonly server: http.Server;
	private readonly agent = new undici.Agent({ connect: { timeout: connectTimeoutMs } });
	private readonly queue: (() => void)[] = [];
	private sending = 0;
	/** The last transfer of each path that is under way. */
	private readonly fetching = new Map<string, Transfer>();
	private packedText = '';
	private packed = Buffer.alloc(0);

	constructor(private readonly opts: PeerTransfersOptions) {
		this.server = http.createServer((req, res) => this.serve(req, res));
	}

	/**
	 * Fetches what a peer has under a path.
	 * @returns undefined when the peer has nothing, does not answer, or a transfer of the path goes on
	 */
	async fetch(address: string, target: string): Promise<string | undefined> {
		const [path = target] = target.split('?');
		const now = performance.now();
		const before = this.fetching.get(path);
		if (before && (before.address === address || now - before.progressAt < slowMs)) {
			return undefined;
		}
		const transfer = { address, progressAt: now };
		this.fetching.set(path, transfer);
		try {
			return await this.download(transfer, target);
		} catch (err) {
			const error = (err as Error).message;
			this.opts.log.warn('peer.fetch-failed', { peer: address, path: target, error });
			return undefined;
		} finally {
			if (this.fetching.get(path) === transfer) {
				this.fetching.delete(path);
			}
		}
	}

	close(): void {
		void this.agent.destroy();
		this.server.close();
		this.server.closeAllConnections();
	}

	private async download(transfer: Transfer, target: string): Promise<string | undefined> {
		const stalled = new AbortController();
		const timer = setTimeout(() => stalled.abort(new Error(`nothing for ${stallMs} ms`)), stallMs);
		try {
			const res = await this.agent.request({
				origin: `http://${transfer.address}`,
				path: target,
				method: 'GET',
				signal: stalled.signal,
			});
			const chunks: Buffer[] = [];
			for await (const chunk of res.body) {
				chunks.push(chunk as Buffer);
				transfer.progressAt = performance.now();
				timer.refresh();
			}
			return res.statusCode === 200 ? unpack(Buffer.concat(chunks)) : undefined;
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
		if (this.sending < sendsAtOnce) {
			send();
		} else {
			this.queue.push(send);
		}
	}

	private send(res: http.ServerResponse, text: string): void {
		this.sending++;
		res.on('close', () => {
			this.sending--;
			this.queue.shift()?.();
		});
		if (res.destroyed) {
			// Its caller left while it waited; the event that starts the next is past.
			res.emit('close');
			return;
		}
		res.writeHead(200, { 'content-type': 'application/octet-stream' });
		res.end(this.pack(text));
	}

	/** Compresses each configuration once. */
	private pack(text: string): Buffer {
		if (text !== this.packedText) {
			const zlib = loadZlib();
			this.packedText = text;
			this.packed = zlib.deflateRawSync(text, compression);
		}
		return this.packed;
	}
}

/**
 * Loaded when it is needed first: a start that finds the store does not need it. The bundle runs as a script, which
 * cannot import.
 */
function loadZlib() {
	return process.getBuiltinModule('node:zlib');
}

function unpack(bytes: Buffer): string {
	return loadZlib().inflateRawSync(bytes).toString();
}
