/**
 * A caller that writes its whole body before it reads anything.
 * @module
 */
import * as net from 'node:net';

/** Bytes written at a time, and the pause behind them, in milliseconds. */
const pieceBytes = 500_000;
const pieceMs = 20;

/** @returns all that the server answered; rejects when the connection is reset */
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
	// Awaited below; until then a rejection has no other reader.
	answer.catch(() => {});
	socket.pause();
	socket.write(`${[...head, `content-length: ${bodyBytes}`].join('\r\n')}\r\n\r\n`);
	for (let left = bodyBytes; left > 0 && !socket.destroyed; left -= pieceBytes) {
		socket.write(Buffer.alloc(Math.min(left, pieceBytes), 'x'));
		await new Promise((done) => setTimeout(done, pieceMs));
	}
	socket.resume();
	try {
		return await answer;
	} finally {
		socket.destroy();
	}
}
