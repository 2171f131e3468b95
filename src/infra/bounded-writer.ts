/**
 * Writes lines to a file descriptor without ever waiting for a reader: a file takes them at once; all else one write at a time in the
 * background, a bounded number of bytes waiting. What does not fit is dropped, counted and said.
 * @module
 */
import * as fs from 'node:fs';

/** Bytes that may wait for a reader; a few seconds of a busy log. */
const maxWaitingBytes = 256 * 1024;

export class BoundedWriter {
	private waiting: string[] = [];
	private waitingBytes = 0;
	private writing = false;
	private dropped = 0;
	/** Lines dropped since the start. */
	droppedTotal = 0;
	/** A file has no reader to wait for; in the background each write to it would wake two threads. */
	private readonly isFile: boolean;

	constructor(private readonly fd: number) {
		this.isFile = fs.fstatSync(fd).isFile();
	}

	/** Returns at once; the line may be dropped. */
	write(line: string): void {
		if (this.waitingBytes + line.length > maxWaitingBytes) {
			this.dropped++;
			this.droppedTotal++;
			return;
		}
		this.waiting.push(line);
		this.waitingBytes += line.length;
		this.flush();
	}

	/** Writes what waits before the process ends. */
	async drain(): Promise<void> {
		while (this.writing || this.waiting.length > 0) {
			await new Promise((done) => setTimeout(done, 5));
		}
	}

	private flush(): void {
		if (this.writing || this.waiting.length === 0) {
			return;
		}
		this.writing = true;
		// Lines of one turn of the loop leave together.
		setImmediate(() => this.writeBatch(this.takeWaiting()));
	}

	private takeWaiting(): Buffer {
		if (this.dropped > 0) {
			this.waiting.push(`event=log.dropped lines=${this.dropped}\n`);
			this.dropped = 0;
		}
		const batch = Buffer.from(this.waiting.join(''));
		this.waiting = [];
		this.waitingBytes = 0;
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
				// Any other error means that nobody reads the log; there is nowhere to say so.
				this.written();
			}
		});
	}

	/** Lines that a full disk does not take count as dropped. */
	private writeToFile(batch: Buffer): void {
		try {
			for (let at = 0; at < batch.length; ) {
				at += fs.writeSync(this.fd, batch, at);
			}
		} catch {
			this.countDropped(batch);
		}
		this.written();
	}

	private countDropped(batch: Buffer): void {
		const lines = batch.toString('latin1').split('\n').length - 1;
		this.dropped += lines;
		this.droppedTotal += lines;
	}

	private written(): void {
		this.writing = false;
		this.flush();
	}
}
