/**
 * Collects the body of a request. Each piece that Node's parser hands out is a buffer of its own that takes several
 * hundred bytes, so the pieces are copied together.
 * @module
 */
import { type BlockPool, poolBlockBytes } from './block-pool.js';

const minBlockBytes = 1024;

export class BodyCollector {
	/** Bytes of the body so far. */
	size = 0;
	/** Bytes that are held for it; of a block of the pool, those that are used. */
	heldBytes = 0;
	/** The first piece, which may be the whole body. */
	private firstPiece?: Buffer;
	/** Take the pieces behind the first one; all but the last are full. */
	private blocks: Buffer[] = [];
	/** Bytes of the last block that are used. */
	private usedBytes = 0;

	constructor(private readonly pool: BlockPool) {}

	add(piece: Buffer): void {
		this.size += piece.length;
		if (this.size === piece.length) {
			this.firstPiece = piece;
			this.heldBytes += piece.length;
		} else {
			this.copy(piece);
		}
	}

	/** Returns the body, which the collector then no longer holds. */
	take(): Buffer {
		const { firstPiece = Buffer.alloc(0), blocks, usedBytes } = this;
		const last = blocks.at(-1);
		const body = last
			? Buffer.concat([firstPiece, ...blocks.slice(0, -1), last.subarray(0, usedBytes)])
			: firstPiece;
		this.clear();
		this.heldBytes = body.length;
		return body;
	}

	/** Drops what was collected. */
	clear(): void {
		this.pool.release(this.blocks);
		this.firstPiece = undefined;
		this.blocks = [];
		this.heldBytes = 0;
	}

	private copy(piece: Buffer): void {
		let at = 0;
		while (at < piece.length) {
			const block = this.openBlock();
			const copied = piece.copy(block, this.usedBytes, at);
			this.usedBytes += copied;
			at += copied;
			if (block.length === poolBlockBytes) {
				this.heldBytes += copied;
			}
		}
	}

	/** Returns a block with room behind its used bytes. */
	private openBlock(): Buffer {
		const last = this.blocks.at(-1);
		if (last && this.usedBytes < last.length) {
			return last;
		}
		const bytes = Math.min(Math.max(this.size, minBlockBytes), poolBlockBytes);
		const block = this.pool.acquire(bytes);
		this.blocks.push(block);
		this.usedBytes = 0;
		if (bytes < poolBlockBytes) {
			this.heldBytes += bytes;
		}
		return block;
	}
}
