/**
 * Reads the fields of a decoded datagram in order and checks their types, since datagrams may be damaged,
 * foreign or of another version.
 * @module
 */

import { isAddress } from '../../core/fleet/address.js';

export class RowError extends Error {
	constructor(expected: string) {
		super(`expected ${expected}`);
		this.name = 'RowError';
	}
}

/** Every method reads the next field and throws `RowError` when it has another type. */
export class RowReader {
	private readonly row: readonly unknown[];
	private index = 0;

	constructor(row: unknown) {
		if (!Array.isArray(row)) {
			throw new RowError('a list');
		}
		this.row = row;
	}

	number(): number {
		const value = this.row[this.index++];
		if (typeof value !== 'number' || !Number.isFinite(value)) {
			throw new RowError('a number');
		}
		return value;
	}

	/** Reads a count, a time or a version, which is never below 0. */
	nonNegative(): number {
		const value = this.number();
		if (value < 0 || value > Number.MAX_SAFE_INTEGER) {
			throw new RowError('a number from 0');
		}
		return value;
	}

	/** Reads a number stored by `toThousandths`. */
	thousandths(): number {
		return this.number() / 1000;
	}

	string(): string {
		const value = this.row[this.index++];
		if (typeof value !== 'string') {
			throw new RowError('a string');
		}
		return value;
	}

	/** Reads an address as IP:PORT, which a datagram can be sent to. */
	address(): string {
		const value = this.string();
		if (!isAddress(value)) {
			throw new RowError('an address');
		}
		return value;
	}

	boolean(): boolean {
		const value = this.row[this.index++];
		if (typeof value !== 'boolean') {
			throw new RowError('a boolean');
		}
		return value;
	}

	/** Reads a flat list of entries with `stride` numbers, which decodes faster than nested lists. */
	numbers(stride: number): readonly number[] {
		const value: unknown = this.row[this.index++];
		if (!Array.isArray(value) || value.length % stride !== 0 || !value.every(Number.isFinite)) {
			throw new RowError(`a list of entries with ${stride} numbers`);
		}
		return value;
	}

	/** Reads a list of rows with a function for each row. */
	rows<T>(read: (row: RowReader) => T): T[] {
		const value = this.row[this.index++];
		if (!Array.isArray(value)) {
			throw new RowError('a list');
		}
		return value.map((row) => read(new RowReader(row)));
	}

	/** Like `rows`, but returns undefined for a missing list. */
	optionalRows<T>(read: (row: RowReader) => T): T[] | undefined {
		const value = this.row[this.index];
		if (value === undefined || value === null) {
			this.index++;
			return undefined;
		}
		return this.rows(read);
	}

	/** Reads a field that is itself a row. */
	nested<T>(read: (row: RowReader) => T): T {
		return read(new RowReader(this.row[this.index++]));
	}

	/** @throws RowError when fields are left over */
	expectEnd(): void {
		if (this.index !== this.row.length) {
			throw new RowError(`${this.index} fields`);
		}
	}
}

/** Rounds to integer thousandths, which take fewer bytes than fractions. */
export function toThousandths(value: number): number {
	return Math.round(value * 1000);
}
