/**
 * Reads one line of the query and command language.
 * @module
 */
import type * as chevrotain from 'chevrotain';
import * as levenshtein from 'fastest-levenshtein';
import { orderKinds } from '../definitions.js';
import type { StatementNode } from './grammar.js';
import type {
	Operator,
	ParseResult,
	QueryError,
	Source,
	Statement,
	Subject,
	Value,
} from './types.js';
import { sources, subjects } from './types.js';

/** Words further apart than this are not suggested. */
const nearDistance = 3;
const firstWords = ['show', 'set', 'drain', 'undrain', 'order'];
const clauseWords = ['where', 'and', 'group by', 'sort by', 'desc', 'limit'];

/** What the line says, or what is wrong with it and where. */
export async function parseStatement(line: string): Promise<ParseResult> {
	const grammar = await import('./grammar.js');
	const lexed = grammar.lexer.tokenize(line);
	const [bad] = lexed.errors;
	if (bad) {
		return {
			error: { column: bad.offset + 1, message: `unexpected character ${line[bad.offset]}` },
		};
	}
	grammar.parser.input = lexed.tokens;
	const node = grammar.parser.statement();
	const [failure] = grammar.parser.errors;
	if (failure) {
		return { error: describe(failure, line) };
	}
	return toStatement(node);
}

function toStatement(node: StatementNode): ParseResult {
	if (node.kind === 'show') {
		return toQuery(node);
	}
	if (node.kind === 'set') {
		const known = Object.values(subjects);
		const subject = node.subject.image as Subject;
		if (!known.includes(subject)) {
			return { error: unexpectedTokenError(node.subject, known) };
		}
		const statement: Statement = {
			kind: 'set',
			subject,
			name: node.name.image,
			field: node.field.image,
			value: tokenValue(node.value),
			column: node.field.startOffset + 1,
		};
		return { statement };
	}
	if (node.kind === 'order') {
		return toOrder(node);
	}
	const column = node.endpoint.startOffset + 1;
	return { statement: { kind: node.kind, endpoint: node.endpoint.image, column } };
}

function toOrder(node: StatementNode & { kind: 'order' }): ParseResult {
	const order = orderKinds.find((known) => known === node.order.image);
	if (!order) {
		return { error: unexpectedTokenError(node.order, [...orderKinds]) };
	}
	const argument = node.argument === undefined ? '' : String(tokenValue(node.argument));
	return { statement: { kind: 'order', endpoint: node.endpoint.image, order, argument } };
}

function toQuery(node: StatementNode & { kind: 'show' }): ParseResult {
	const known = Object.values(sources);
	const source = node.source.image as Source;
	if (!known.includes(source)) {
		return { error: unexpectedTokenError(node.source, known) };
	}
	const statement: Statement = {
		kind: 'show',
		source,
		where: node.where.map((condition) => ({
			field: condition.field.image,
			operator: condition.operator.image as Operator,
			value: tokenValue(condition.value),
			column: condition.field.startOffset + 1,
		})),
		groupBy: node.groupBy.map(fieldOf),
		sortBy: node.sortBy && { ...fieldOf(node.sortBy), descending: node.descending },
		limit: node.limit && Number(node.limit.image),
	};
	return { statement };
}

function fieldOf(token: chevrotain.IToken): { field: string; column: number } {
	return { field: token.image, column: token.startOffset + 1 };
}

function tokenValue(token: chevrotain.IToken): Value {
	const { image } = token;
	if (token.tokenType.name === 'number') {
		return Number(image);
	}
	if (token.tokenType.name === 'text') {
		return image.slice(1, -1);
	}
	return image === 'true' || image === 'false' ? image === 'true' : image;
}

/** An error about a word that is not known, with the nearest that is. */
export function unexpectedTokenError(
	token: { image: string; startOffset: number },
	known: string[],
): QueryError {
	return unexpectedWordError(token.image, token.startOffset + 1, known);
}

export function unexpectedWordError(
	word: string,
	column: number,
	known: readonly string[],
): QueryError {
	const message = `unexpected ${word === '' ? 'end of line' : `"${word}"`}, expected ${known.join(', ')}`;
	return { column, message, suggestion: nearest(word, known) };
}

function nearest(word: string, known: readonly string[]): string | undefined {
	if (word === '' || known.length === 0) {
		return undefined;
	}
	const best = levenshtein.closest(word, [...known]);
	return levenshtein.distance(word, best) <= nearDistance ? best : undefined;
}

function describe(failure: chevrotain.IRecognitionException, line: string): QueryError {
	const { token } = failure;
	const ended = Number.isNaN(token.startOffset) || token.image === '';
	const column = ended ? line.length + 1 : token.startOffset + 1;
	const atStart = column === 1 || line.trim() === '';
	const rest = failure as { previousToken?: chevrotain.IToken };
	const afterValue =
		rest.previousToken !== undefined && failure.name === 'NotAllInputParsedException';
	if (atStart) {
		return unexpectedWordError(ended ? '' : token.image, column, firstWords);
	}
	if (afterValue) {
		return unexpectedWordError(token.image, column, clauseWords);
	}
	const expected = /--> (.*?) <--/.exec(failure.message)?.[1];
	const what = expected ? expected.toLowerCase() : 'a word, number or "text"';
	const found = ended ? 'end of line' : `"${token.image}"`;
	return { column, message: `unexpected ${found}, expected a ${what}` };
}
