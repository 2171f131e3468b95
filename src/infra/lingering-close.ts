/**
 * Answers a request before its body is read. Closing a connection with unread data resets it, and the
 * reset may discard the answer, so the rest of the body is drained first (a lingering close).
 * @module
 */
import type * as http from 'node:http';

/** Longest time that the rest of a body is drained. */
const maxLingerMs = 1500;

/** Sends the complete answer, then closes the connection once the caller stops writing or `maxLingerMs` have passed. */
export function sendWithLingeringClose(
	req: http.IncomingMessage,
	res: http.ServerResponse,
	status: number,
	headers: http.OutgoingHttpHeaders,
	body: string,
): void {
	const bytes = Buffer.from(body);
	res.writeHead(status, { ...headers, connection: 'close', 'content-length': bytes.length });
	if (req.complete) {
		res.end(bytes);
		return;
	}
	// The content length marks the answer as complete while the connection stays open.
	res.write(bytes);
	const timer = setTimeout(() => res.end(), maxLingerMs);
	const endResponse = () => {
		clearTimeout(timer);
		res.end();
	};
	req.once('end', endResponse);
	req.once('close', endResponse);
	req.resume();
}
