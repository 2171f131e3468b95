/**
 * Joins the parts of an answer that came with one read.
 * @module
 */

/** Hands on parts together, as handling each of many small chunks alone would take the event loop. */
export class ChunkBatch {
	private chunks: Buffer[] = [];

	constructor(private readonly onBytes: (bytes: Buffer) => void) {}

	/** Adds a part, which is handed on before the next read. */
	add(chunk: Buffer): void {
		if (this.chunks.length === 0) {
			process.nextTick(() => this.flush());
		}
		this.chunks.push(chunk);
	}

	/** Hands on what has been added, ahead of the end of the answer. */
	flush(): void {
		const { chunks } = this;
		const [first] = chunks;
		if (first) {
			this.chunks = [];
			this.onBytes(chunks.length === 1 ? first : Buffer.concat(chunks));
		}
	}
}
