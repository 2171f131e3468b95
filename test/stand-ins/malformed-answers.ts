/**
 * Bytes that engines send and that are no answer. `SIGNED` stands for the headers that prove their origin.
 * @module
 */

/** Body of the answers below; no caller may get it. */
export const malformedBody = 'malformed';
const { length } = malformedBody;

function answer({
	line = 'HTTP/1.1 200 OK',
	field = 'x-plain: 1',
	framing = `content-length: ${length}`,
}): string {
	return `${line}\r\nSIGNED\r\n${field}\r\n${framing}\r\n\r\n${malformedBody}`;
}

function chunked(body: string): string {
	return `HTTP/1.1 200 OK\r\nSIGNED\r\ntransfer-encoding: chunked\r\n\r\n${body}`;
}

const statusLines: Readonly<Record<string, string>> = {
	'status 000': 'HTTP/1.1 000 None',
	'status 001': 'HTTP/1.1 001 None',
	'status 099': 'HTTP/1.1 099 None',
	'status of two digits': 'HTTP/1.1 20 OK',
	'status of four digits': 'HTTP/1.1 2000 OK',
	'status of letters': 'HTTP/1.1 abc OK',
	'status with a sign': 'HTTP/1.1 +20 OK',
	'no status': 'HTTP/1.1  OK',
	'version 9.9': 'HTTP/9.9 200 OK',
	'another protocol': 'ICY 200 OK',
};

const fields: Readonly<Record<string, string>> = {
	'blank in a name': 'x bad: 1',
	'tab in a name': 'x\tbad: 1',
	'control byte in a name': 'x\x01bad: 1',
	'NUL in a name': 'x\x00bad: 1',
	'DEL in a name': 'x\x7fbad: 1',
	'byte over 0x7f in a name': 'x\xe9bad: 1',
	'quote in a name': 'x"bad: 1',
	'brace in a name': 'x{bad: 1',
	'no name': ': 1',
	'no colon': 'x-bad',
	'blank before the colon': 'x-bad : 1',
	'NUL in a value': 'x-bad: 1\x002',
	'control byte in a value': 'x-bad: 1\x012',
	'DEL in a value': 'x-bad: 1\x7f2',
	'lone CR in a value': 'x-bad: 1\r2',
};

const framings: Readonly<Record<string, string>> = {
	'two lengths': `content-length: ${length}\r\ncontent-length: ${length + 1}`,
	'list of lengths': `content-length: ${length}, ${length + 1}`,
	'length with a sign': `content-length: +${length}`,
	'length in hex': 'content-length: 0x9',
	'length that overflows': 'content-length: 99999999999999999999',
	'length and chunks': `content-length: ${length}\r\ntransfer-encoding: chunked`,
};

const bodies: Readonly<Record<string, string>> = {
	'chunk size that is none': `zz\r\n${malformedBody}\r\n0\r\n\r\n`,
	'chunk size below zero': `-9\r\n${malformedBody}\r\n0\r\n\r\n`,
	'chunk size that overflows': `ffffffffffffffffff\r\n${malformedBody}\r\n0\r\n\r\n`,
	'chunk longer than its size': `5\r\n${malformedBody}\r\n0\r\n\r\n`,
	'blank in the name of a trailer': `9\r\n${malformedBody}\r\n0\r\nx bad: 1\r\n\r\n`,
};

function entriesOf(
	texts: Readonly<Record<string, string>>,
	build: (text: string) => string,
): [string, string][] {
	return Object.entries(texts).map(([name, text]) => [name, build(text)]);
}

/** Answers by name. */
export const malformedAnswers: ReadonlyMap<string, string> = new Map([
	...entriesOf(statusLines, (line) => answer({ line })),
	...entriesOf(fields, (field) => answer({ field })),
	...entriesOf(fields, (field) => answer({ field, line: 'HTTP/1.1 500 Error' })).map(
		([name, text]): [string, string] => [`${name} under a 500`, text],
	),
	[
		'folded first line',
		`HTTP/1.1 200 OK\r\n x-bad: 1\r\nSIGNED\r\ncontent-length: ${length}\r\n\r\n${malformedBody}`,
	],
	...entriesOf(framings, (framing) => answer({ framing })),
	...entriesOf(bodies, chunked),
]);
