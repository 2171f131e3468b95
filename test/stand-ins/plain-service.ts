/**
 * Stand-in for a service without streaming that counts its side effects by the id in the body.
 * @module
 */
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';

/** Injected faults, set by POST /control. */
interface Faults {
	/** Delay of the answer. */
	delayMs: number;
	/** Resets the connection after the effect, without an answer. */
	cutAfterEffect: boolean;
}

export class PlainService {
	readonly server: http.Server;
	/** Number of effects by id. */
	readonly effects = new Map<string, number>();
	private readonly faults: Faults = { delayMs: 0, cutAfterEffect: false };

	constructor() {
		this.server = http.createServer((req, res) => void this.handle(req, res));
	}

	async listen(): Promise<number> {
		await new Promise<void>((done) => this.server.listen(0, '127.0.0.1', done));
		return (this.server.address() as AddressInfo).port;
	}

	private async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const chunks: Buffer[] = [];
		for await (const chunk of req) {
			chunks.push(chunk as Buffer);
		}
		const text = Buffer.concat(chunks).toString('utf8');
		if (req.url === '/effects') {
			sendJson(res, Object.fromEntries(this.effects));
		} else if (req.url === '/control') {
			Object.assign(this.faults, JSON.parse(text));
			sendJson(res, this.faults);
		} else {
			await this.applyEffect(text, res);
		}
	}

	private async applyEffect(text: string, res: http.ServerResponse): Promise<void> {
		const id = text === '' ? 'none' : String((JSON.parse(text) as { id?: unknown }).id);
		const count = (this.effects.get(id) ?? 0) + 1;
		this.effects.set(id, count);
		await new Promise((done) => setTimeout(done, this.faults.delayMs));
		if (this.faults.cutAfterEffect) {
			res.destroy();
			return;
		}
		sendJson(res, { id, count });
	}
}

function sendJson(res: http.ServerResponse, value: unknown): void {
	res.writeHead(200, { 'content-type': 'application/json' });
	res.end(JSON.stringify(value));
}
