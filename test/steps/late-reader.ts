/**
 * A caller that writes its complete body before it reads the answer.
 * @module
 */
import * as net from 'node:net';

/** Size of a chunk and the pause after it. */
const chunkBytes = 500_000;
const chunkPauseMs = 20;

/** @returns the complete answer; rejects when the connection is reset */
export async function writeThenRead(
	url: URL,
	head: readonly string[],
	bodyBytes: number,
): Promise<string> {
	const socket = net.connect({ host: url.hostname, port: Number(url.port) });
	const answer = new Promise<string>((done, failed) => {
		const chunks: Buffer[] = [];
		socket.on('data', (chunk) => chunks.push(chunk));
		socket.on('end', () => done(Buffer.concat(chunks).toString()));
		socket.on('error', failed);
	});
	// Awaited below; prevents an unhandled rejection until then.
	answer.catch(() => {});
	socket.pause();
	socket.write(`${[...head, `content-length: ${bodyBytes}`].join('\r\n')}\r\n\r\n`);
	for (let left = bodyBytes; left > 0 && !socket.destroyed; left -= chunkBytes) {
		socket.write(Buffer.alloc(Math.min(left, chunkBytes), 'x'));
		await new Promise((done) => setTimeout(done, chunkPauseMs));
	}
	socket.resume();
	try {
		return await answer;
	} finally {
		socket.destroy();
	}
}
