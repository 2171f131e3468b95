/**
 * Chevrotain grammar of the query and command language. Imported on first use, since the library is large.
 * @module
 */
import * as chevrotain from 'chevrotain';

const word = chevrotain.createToken({ name: 'Word', pattern: /[A-Za-z_][A-Za-z0-9_.:-]*/ });
const keyword = (text: string) =>
	chevrotain.createToken({ name: text, pattern: new RegExp(text, 'i'), longer_alt: word });

export const tokens = {
	show: keyword('show'),
	set: keyword('set'),
	drain: keyword('drain'),
	undrain: keyword('undrain'),
	order: keyword('order'),
	where: keyword('where'),
	and: keyword('and'),
	group: keyword('group'),
	sort: keyword('sort'),
	by: keyword('by'),
	desc: keyword('desc'),
	limit: keyword('limit'),
	operator: chevrotain.createToken({ name: 'operator', pattern: /!=|<=|>=|=|<|>/ }),
	comma: chevrotain.createToken({ name: 'comma', pattern: /,/ }),
	number: chevrotain.createToken({ name: 'number', pattern: /-?\d+(\.\d+)?/ }),
	text: chevrotain.createToken({ name: 'text', pattern: /"[^"]*"|'[^']*'/ }),
	word,
	space: chevrotain.createToken({
		name: 'space',
		pattern: /\s+/,
		group: chevrotain.Lexer.SKIPPED,
	}),
};

/** In order of precedence: keywords come before words. */
const vocabulary = [
	tokens.space,
	tokens.operator,
	tokens.comma,
	tokens.number,
	tokens.text,
	tokens.show,
	tokens.set,
	tokens.drain,
	tokens.undrain,
	tokens.order,
	tokens.where,
	tokens.and,
	tokens.group,
	tokens.sort,
	tokens.by,
	tokens.desc,
	tokens.limit,
	tokens.word,
];

export const lexer = new chevrotain.Lexer(vocabulary);

export interface FieldNode {
	field: chevrotain.IToken;
}

export interface ConditionNode extends FieldNode {
	operator: chevrotain.IToken;
	value: chevrotain.IToken;
}

/** Syntax tree of a statement, as tokens with their positions. */
export type StatementNode =
	| {
			kind: 'show';
			source: chevrotain.IToken;
			where: ConditionNode[];
			groupBy: chevrotain.IToken[];
			sortBy?: chevrotain.IToken;
			descending: boolean;
			limit?: chevrotain.IToken;
	  }
	| {
			kind: 'set';
			subject: chevrotain.IToken;
			name: chevrotain.IToken;
			field: chevrotain.IToken;
			value: chevrotain.IToken;
	  }
	| { kind: 'drain' | 'undrain'; endpoint: chevrotain.IToken }
	| {
			kind: 'order';
			endpoint: chevrotain.IToken;
			order: chevrotain.IToken;
			argument?: chevrotain.IToken;
	  };

class QueryParser extends chevrotain.EmbeddedActionsParser {
	readonly statement: (index?: number) => StatementNode;

	constructor() {
		super(vocabulary);
		const value = this.RULE('value', () =>
			this.OR([
				{ ALT: () => this.CONSUME(tokens.number) },
				{ ALT: () => this.CONSUME(tokens.text) },
				{ ALT: () => this.CONSUME(tokens.word) },
			]),
		);
		const condition = this.RULE('condition', (): ConditionNode => {
			const field = this.CONSUME(tokens.word);
			const operator = this.CONSUME(tokens.operator);
			return { field, operator, value: this.SUBRULE(value) };
		});
		const show = this.RULE('showStatement', (): StatementNode => {
			this.CONSUME(tokens.show);
			const source = this.CONSUME(tokens.word);
			const where: ConditionNode[] = [];
			const groupBy: chevrotain.IToken[] = [];
			let sortBy: chevrotain.IToken | undefined;
			let descending = false;
			let limit: chevrotain.IToken | undefined;
			this.OPTION(() => {
				this.CONSUME(tokens.where);
				where.push(this.SUBRULE(condition));
				this.MANY(() => {
					this.CONSUME(tokens.and);
					where.push(this.SUBRULE2(condition));
				});
			});
			this.OPTION2(() => {
				this.CONSUME(tokens.group);
				this.CONSUME(tokens.by);
				this.AT_LEAST_ONE_SEP({
					SEP: tokens.comma,
					DEF: () => groupBy.push(this.CONSUME2(tokens.word)),
				});
			});
			this.OPTION3(() => {
				this.CONSUME(tokens.sort);
				this.CONSUME2(tokens.by);
				sortBy = this.CONSUME3(tokens.word);
				this.OPTION4(() => {
					this.CONSUME(tokens.desc);
					descending = true;
				});
			});
			this.OPTION5(() => {
				this.CONSUME(tokens.limit);
				limit = this.CONSUME(tokens.number);
			});
			return { kind: 'show', source, where, groupBy, sortBy, descending, limit };
		});
		const set = this.RULE('setStatement', (): StatementNode => {
			this.CONSUME(tokens.set);
			const subject = this.CONSUME(tokens.word);
			const name = this.CONSUME2(tokens.word);
			const field = this.CONSUME3(tokens.word);
			return { kind: 'set', subject, name, field, value: this.SUBRULE(value) };
		});
		const drain = this.RULE('drainStatement', (): StatementNode => {
			const kind = this.OR<'drain' | 'undrain'>([
				{
					ALT: () => {
						this.CONSUME(tokens.drain);
						return 'drain';
					},
				},
				{
					ALT: () => {
						this.CONSUME(tokens.undrain);
						return 'undrain';
					},
				},
			]);
			return { kind, endpoint: this.CONSUME(tokens.word) };
		});
		const order = this.RULE('orderStatement', (): StatementNode => {
			this.CONSUME(tokens.order);
			const endpoint = this.CONSUME(tokens.word);
			const kind = this.CONSUME2(tokens.word);
			const argument = this.OPTION(() => this.SUBRULE(value));
			return { kind: 'order', endpoint, order: kind, argument };
		});
		this.statement = this.RULE('statement', () =>
			this.OR([
				{ ALT: () => this.SUBRULE(show) },
				{ ALT: () => this.SUBRULE(set) },
				{ ALT: () => this.SUBRULE(drain) },
				{ ALT: () => this.SUBRULE(order) },
			]),
		);
		this.performSelfAnalysis();
	}
}

export const parser = new QueryParser();
