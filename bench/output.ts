/**
 * Writes benchmark results as JSON lines.
 * @module
 */
import * as fs from 'node:fs/promises';

/** Appends a result to the file `out`; does nothing if `out` is empty. */
export async function writeResult(out: string, result: object): Promise<void> {
	if (out !== '') {
		await fs.appendFile(out, `${JSON.stringify(result)}\n`);
	}
}
