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

export class EventSplitter {
	private partialEvent: Buffer = Buffer.alloc(0);

	/** Whether bytes of an incomplete event are buffered. */
	get hasPartialEvent(): boolean {
		return this.partialEvent.length > 0;
	}

	/** @returns the events that the chunk completes; undefined if there are none */
	feed(chunk: Buffer): CompleteEvents | undefined {
		const bytes = this.partialEvent.length > 0 ? Buffer.concat([this.partialEvent, chunk]) : chunk;
		const end = endOfLastEvent(bytes);
		this.partialEvent = bytes.subarray(end);
		if (end === 0) {
			return undefined;
		}
		const complete = bytes.subarray(0, end);
		return { bytes: complete, lastId: lastIdOf(complete) };
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
