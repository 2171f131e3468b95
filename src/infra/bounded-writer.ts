/**
 * Writes lines to a file descriptor without blocking on a slow reader. Files are written synchronously, pipes and sockets in the
 * background from a bounded buffer; lines that do not fit are dropped, counted and reported in the output.
 * @module
 */
import * as fs from 'node:fs';

/** Upper bound on buffered output; holds a few seconds of a busy log. */
const maxPendingBytes = 256 * 1024;

export class BoundedWriter {
	private pendingLines: string[] = [];
	private pendingBytes = 0;
	private isWriting = false;
	private unreportedDrops = 0;
	/** Lines dropped since the process started. */
	droppedTotal = 0;
	/** Files have no slow reader, so they are written synchronously without the thread pool. */
	private readonly isFile: boolean;

	constructor(private readonly fd: number) {
		this.isFile = fs.fstatSync(fd).isFile();
	}

	/** Queues a line without blocking; drops it when the buffer is full. */
	write(line: string): void {
		if (this.pendingBytes + line.length > maxPendingBytes) {
			this.unreportedDrops++;
			this.droppedTotal++;
			return;
		}
		this.pendingLines.push(line);
		this.pendingBytes += line.length;
		this.flush();
	}

	/** Resolves when all buffered lines are written; call it before the process exits. */
	async drain(): Promise<void> {
		while (this.isWriting || this.pendingLines.length > 0) {
			await new Promise((done) => setTimeout(done, 5));
		}
	}

	private flush(): void {
		if (this.isWriting || this.pendingLines.length === 0) {
			return;
		}
		this.isWriting = true;
		// Batches all lines of one event-loop turn into a single write.
		setImmediate(() => this.writeBatch(this.takePendingBatch()));
	}

	private takePendingBatch(): Buffer {
		if (this.unreportedDrops > 0) {
			this.pendingLines.push(`event=log.dropped lines=${this.unreportedDrops}\n`);
			this.unreportedDrops = 0;
		}
		const batch = Buffer.from(this.pendingLines.join(''));
		this.pendingLines = [];
		this.pendingBytes = 0;
		return batch;
	}

	private writeBatch(batch: Buffer): void {
		if (this.isFile) {
			this.writeToFile(batch);
			return;
		}
		fs.write(this.fd, batch, (err, written) => {
			if (err && err.code === 'EAGAIN') {
				setTimeout(() => this.writeBatch(batch), 10);
			} else if (!err && written < batch.length) {
				this.writeBatch(batch.subarray(written));
			} else {
				// Any other error means that the reader is gone, so there is nowhere to report it.
				this.finishBatch();
			}
		});
	}

	/** Counts the lines that a full disk rejects as dropped. */
	private writeToFile(batch: Buffer): void {
		try {
			for (let offset = 0; offset < batch.length; ) {
				offset += fs.writeSync(this.fd, batch, offset);
			}
		} catch {
			this.countDropped(batch);
		}
		this.finishBatch();
	}

	private countDropped(batch: Buffer): void {
		const lines = batch.toString('latin1').split('\n').length - 1;
		this.unreportedDrops += lines;
		this.droppedTotal += lines;
	}

	private finishBatch(): void {
		this.isWriting = false;
		this.flush();
	}
}
