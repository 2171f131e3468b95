/**
 * Results as JSON lines.
 * @module
 */
import * as fs from 'node:fs/promises';

/** Appends one result, where a file was asked for. */
export async function writeResult(out: string, result: object): Promise<void> {
	if (out !== '') {
		await fs.appendFile(out, `${JSON.stringify(result)}\n`);
	}
}
