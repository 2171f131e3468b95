/**
 * Collects the body of a request. Each piece that Node's parser hands out is a buffer of its own that takes several
 * hundred bytes, so small pieces are copied together.
 * @module
 */

/** Smaller pieces are copied, once there are several. */
const minPieceBytes = 4096;
const minBlockBytes = 1024;
const maxBlockBytes = 64 * 1024;

export class BodyCollector {
	/** Bytes of the body so far. */
	size = 0;
	/** Bytes that are held for it. */
	heldBytes = 0;
	private pieces: Buffer[] = [];
	/** Takes the small pieces, up to `usedBytes` so far; those from `partStart` on are in no piece yet. */
	private block?: Buffer;
	private usedBytes = 0;
	private partStart = 0;

	add(piece: Buffer): void {
		this.size += piece.length;
		if (piece.length >= minPieceBytes || this.size === piece.length) {
			this.closePart();
			this.pieces.push(piece);
			this.heldBytes += piece.length;
		} else {
			this.copy(piece);
		}
	}

	/** Returns the body, which the collector then no longer holds. */
	take(): Buffer {
		this.closePart();
		const [first, ...more] = this.pieces;
		const body = first && more.length === 0 ? first : Buffer.concat(this.pieces);
		this.clear();
		this.heldBytes = body.length;
		return body;
	}

	/** Drops what was collected. */
	clear(): void {
		this.pieces = [];
		this.block = undefined;
		this.heldBytes = 0;
	}

	private copy(piece: Buffer): void {
		let at = 0;
		while (at < piece.length) {
			const block = this.openBlock();
			const copied = piece.copy(block, this.usedBytes, at);
			this.usedBytes += copied;
			at += copied;
		}
	}

	/** Returns a block with room in it. */
	private openBlock(): Buffer {
		if (this.block && this.usedBytes < this.block.length) {
			return this.block;
		}
		this.closePart();
		const bytes = Math.min(Math.max(this.size, minBlockBytes), maxBlockBytes);
		this.block = Buffer.allocUnsafeSlow(bytes);
		this.usedBytes = 0;
		this.partStart = 0;
		this.heldBytes += bytes;
		return this.block;
	}

	/** Makes a piece of what was copied since the last one; the rest of the block is used further. */
	private closePart(): void {
		if (this.block && this.usedBytes > this.partStart) {
			this.pieces.push(this.block.subarray(this.partStart, this.usedBytes));
			this.partStart = this.usedBytes;
		}
	}
}
