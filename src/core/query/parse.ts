/**
 * Parses one line of the query and command language.
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

/** Greatest edit distance of a suggestion from the word. */
const maxSuggestionDistance = 3;
const statementKeywords = ['show', 'set', 'drain', 'undrain', 'order'];
const clauseKeywords = ['where', 'and', 'group by', 'sort by', 'desc', 'limit'];

/** Returns the statement, or an error with its column. */
export async function parseStatement(line: string): Promise<ParseResult> {
	const grammar = await import('./grammar.js');
	const lexed = grammar.lexer.tokenize(line);
	const [lexError] = lexed.errors;
	if (lexError) {
		return {
			error: {
				column: lexError.offset + 1,
				message: `unexpected character ${line[lexError.offset]}`,
			},
		};
	}
	grammar.parser.input = lexed.tokens;
	const node = grammar.parser.statement();
	const [failure] = grammar.parser.errors;
	if (failure) {
		return { error: describeFailure(failure, line) };
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

/** Error for a token that is none of the known words. */
export function unexpectedTokenError(
	token: { image: string; startOffset: number },
	known: string[],
): QueryError {
	return unexpectedWordError(token.image, token.startOffset + 1, known);
}

/** Error for a word that is none of the known ones; an empty word stands for the end of the line. */
export function unexpectedWordError(
	word: string,
	column: number,
	known: readonly string[],
): QueryError {
	const message = `unexpected ${word === '' ? 'end of line' : `"${word}"`}, expected ${known.join(', ')}`;
	return { column, message, suggestion: findNearest(word, known) };
}

function findNearest(word: string, known: readonly string[]): string | undefined {
	if (word === '' || known.length === 0) {
		return undefined;
	}
	const best = levenshtein.closest(word, [...known]);
	return levenshtein.distance(word, best) <= maxSuggestionDistance ? best : undefined;
}

function describeFailure(failure: chevrotain.IRecognitionException, line: string): QueryError {
	const { token } = failure;
	const isEndOfLine = Number.isNaN(token.startOffset) || token.image === '';
	const column = isEndOfLine ? line.length + 1 : token.startOffset + 1;
	const atStart = column === 1 || line.trim() === '';
	const exception = failure as { previousToken?: chevrotain.IToken };
	const afterValue =
		exception.previousToken !== undefined && failure.name === 'NotAllInputParsedException';
	if (atStart) {
		return unexpectedWordError(isEndOfLine ? '' : token.image, column, statementKeywords);
	}
	if (afterValue) {
		return unexpectedWordError(token.image, column, clauseKeywords);
	}
	const expected = /--> (.*?) <--/.exec(failure.message)?.[1];
	const expectation = expected ? expected.toLowerCase() : 'a word, number or "text"';
	const found = isEndOfLine ? 'end of line' : `"${token.image}"`;
	return { column, message: `unexpected ${found}, expected a ${expectation}` };
}
