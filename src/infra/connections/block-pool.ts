/**
 * Blocks of memory for bodies that are being read.
 * @module
 */

/** Size of the blocks that are used again. */
export const poolBlockBytes = 64 * 1024;
/** Blocks that are kept for further bodies; together as much as the largest body. */
const maxFreeBlocks = 64;

/**
 * Hands out blocks, released ones first. V8 frees such memory only with a collection of the old generation, which comes
 * late if many bodies are given up in a short time.
 */
export class BlockPool {
	private readonly free: Buffer[] = [];

	/** Returns a block of this size, with any content. */
	acquire(bytes: number): Buffer {
		const block = bytes === poolBlockBytes ? this.free.pop() : undefined;
		return block ?? Buffer.allocUnsafeSlow(bytes);
	}

	/** Takes back blocks that nobody refers to any more. */
	release(blocks: readonly Buffer[]): void {
		for (const block of blocks) {
			if (block.length === poolBlockBytes && this.free.length < maxFreeBlocks) {
				this.free.push(block);
			}
		}
	}
}
