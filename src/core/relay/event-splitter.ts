/**
 * Cuts the bytes of an event stream into whole events and reads their ids. The bytes themselves
 * are passed on as they came.
 * @module
 */

const newline = 0x0a;
const carriageReturn = 0x0d;
const idField = Buffer.from('id:');

export interface CompleteEvents {
	/** Bytes of all events that are complete now. */
	bytes: Buffer;
	/** Id of the last of them, where it has one. */
	lastId?: string;
}

export class EventSplitter {
	private rest: Buffer = Buffer.alloc(0);

	/** Bytes of an event that has not ended. */
	get hasPartialEvent(): boolean {
		return this.rest.length > 0;
	}

	/** @returns the events that the chunk completes, or undefined when it completes none */
	feed(chunk: Buffer): CompleteEvents | undefined {
		const bytes = this.rest.length > 0 ? Buffer.concat([this.rest, chunk]) : chunk;
		const end = endOfLastEvent(bytes);
		this.rest = bytes.subarray(end);
		if (end === 0) {
			return undefined;
		}
		const whole = bytes.subarray(0, end);
		return { bytes: whole, lastId: lastIdOf(whole) };
	}
}

/** Behind the last empty line. */
function endOfLastEvent(bytes: Buffer): number {
	for (let at = bytes.length - 1; at > 0; at--) {
		if (bytes[at] !== newline) {
			continue;
		}
		const before = bytes[at - 1] === carriageReturn ? at - 2 : at - 1;
		if (before >= 0 && bytes[before] === newline) {
			return at + 1;
		}
	}
	return 0;
}

function lastIdOf(events: Buffer): string | undefined {
	let at = events.lastIndexOf(idField);
	while (at > 0 && events[at - 1] !== newline) {
		at = events.lastIndexOf(idField, at - 1);
	}
	if (at < 0) {
		return undefined;
	}
	const end = events.indexOf(newline, at);
	return events
		.subarray(at + idField.length, end)
		.toString('latin1')
		.trim();
}
