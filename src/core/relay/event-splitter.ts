/**
 * Splits the bytes of an event stream at event boundaries and reads event ids. The bytes themselves stay unchanged.
 * @module
 */

const newline = 0x0a;
const carriageReturn = 0x0d;
const idField = Buffer.from('id:');

export interface CompleteEvents {
	/** Bytes of all events that the chunk completed. */
	bytes: Buffer;
	/** The last event id among them. */
	lastId?: string;
}

/** Larger events are taken for bytes without end. */
const maxEventBytes = 4 * 1024 * 1024;
/** Bytes before a chunk that may belong to an empty line which it completes. */
const overlapBytes = 3;

export class EventSplitter {
	/** Parts of an incomplete event. */
	private parts: Buffer[] = [];
	private partialBytes = 0;
	/** The last bytes of the parts. */
	private overlap: Buffer = Buffer.alloc(0);

	/** Whether bytes of an incomplete event are buffered. */
	get hasPartialEvent(): boolean {
		return this.partialBytes > 0;
	}

	/** Whether the incomplete event is too large to be one. */
	get hasOversizedEvent(): boolean {
		return this.partialBytes > maxEventBytes;
	}

	/** @returns the events that the chunk completes; undefined if there are none */
	feed(chunk: Buffer): CompleteEvents | undefined {
		const { overlap } = this;
		const searched = overlap.length > 0 ? Buffer.concat([overlap, chunk]) : chunk;
		const end = endOfLastEvent(searched) - overlap.length;
		if (end <= 0) {
			this.keep(chunk, searched);
			return undefined;
		}
		const last = chunk.subarray(0, end);
		const complete = this.parts.length > 0 ? Buffer.concat([...this.parts, last]) : last;
		const rest = chunk.subarray(end);
		this.parts = [];
		this.partialBytes = 0;
		this.keep(rest, rest);
		return { bytes: complete, lastId: lastIdOf(complete) };
	}

	/** @param searched the part, behind the bytes before it */
	private keep(part: Buffer, searched: Buffer): void {
		if (part.length > 0) {
			this.parts.push(part);
		}
		this.partialBytes += part.length;
		this.overlap = searched.subarray(-overlapBytes);
	}
}

/** Index after the last empty line; 0 if there is none. */
function endOfLastEvent(bytes: Buffer): number {
	for (let index = bytes.length - 1; index > 0; index--) {
		if (bytes[index] !== newline) {
			continue;
		}
		const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
		if (before >= 0 && bytes[before] === newline) {
			return index + 1;
		}
	}
	return 0;
}

function lastIdOf(events: Buffer): string | undefined {
	let index = events.lastIndexOf(idField);
	while (index > 0 && events[index - 1] !== newline) {
		index = events.lastIndexOf(idField, index - 1);
	}
	if (index < 0) {
		return undefined;
	}
	const end = events.indexOf(newline, index);
	return events
		.subarray(index + idField.length, end)
		.toString('latin1')
		.trim();
}
