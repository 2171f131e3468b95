/**
 * Answers a request before its body was read to the end. Closing at once would reset the connection,
 * since bytes of the body are still on their way, and the reset may reach the caller before the answer.
 * So the rest of the body is read and dropped for a while (a lingering close).
 * @module
 */
import type * as http from 'node:http';

/** The rest of a body is read for so long at the most, in milliseconds; a caller writes 4 MB in far less. */
const lingerMs = 1500;

/** Sends a whole answer and closes the connection once the caller has stopped writing. */
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
	// The length tells the caller that the answer is whole though the connection stays open.
	res.write(bytes);
	const timer = setTimeout(() => res.end(), lingerMs);
	const finish = () => {
		clearTimeout(timer);
		res.end();
	};
	req.once('end', finish);
	req.once('close', finish);
	req.resume();
}
