/**
 * Runs one line of the query and command language and prints the result.
 * @module
 */
import { diffConfigurations } from '../../core/configuration/diff.js';
import * as errors from '../../core/errors/index.js';
import { applyCommand } from '../../core/query/apply-command.js';
import { evaluateQuery } from '../../core/query/evaluate.js';
import { parseStatement } from '../../core/query/parse.js';
import type {
	DrainCommand,
	OrderCommand,
	Query,
	QueryError,
	Row,
	SetCommand,
} from '../../core/query/types.js';
import { formatTable } from '../../core/text/table.js';
import { formatFields } from '../../infra/logfmt-log.js';
import { waitUntilApplied } from '../config/wait-until-applied.js';
import { exitCodes } from '../exit-codes.js';
import type { FleetClient } from '../fleet-client.js';
import { readSource, sourceFields } from './sources.js';

export const outputFormats = ['table', 'json', 'kv'] as const;
export type OutputFormat = (typeof outputFormats)[number];

export interface RunOptions {
	output: OutputFormat;
	dryRun: boolean;
	by: string;
}

/** Resolves with the exit code. */
export async function runLine(fleet: FleetClient, line: string, opts: RunOptions): Promise<number> {
	const parsed = await parseStatement(line);
	if ('error' in parsed) {
		return printError(line, parsed.error);
	}
	const { statement } = parsed;
	if (statement.kind === 'order') {
		return runOrder(fleet, statement, opts);
	}
	return statement.kind === 'show'
		? runQuery(fleet, line, statement, opts)
		: runChange(fleet, line, statement, opts);
}

async function runQuery(
	fleet: FleetClient,
	line: string,
	query: Query,
	opts: RunOptions,
): Promise<number> {
	const { rows, missing } = await readSource(fleet, query.source);
	const result = evaluateQuery(query, rows, sourceFields[query.source]);
	if ('error' in result) {
		return printError(line, result.error);
	}
	process.stdout.write(`${formatRows(result.rows, opts.output)}\n`);
	if (missing.length > 0) {
		process.stderr.write(`no answer from: ${missing.join(', ')}\n`);
		return exitCodes.partial;
	}
	return exitCodes.ok;
}

async function runOrder(
	fleet: FleetClient,
	statement: OrderCommand,
	opts: RunOptions,
): Promise<number> {
	const description = `${statement.order} ${statement.argument}`.trim();
	if (opts.dryRun) {
		process.stdout.write(`would order ${statement.endpoint}: ${description}\n`);
		return exitCodes.ok;
	}
	const { endpoint, order: kind, argument } = statement;
	const token = await fleet.longTimeoutClient.order.mutate({ endpoint, kind, argument });
	process.stdout.write(`${endpoint} took ${description}, fencing token ${token}\n`);
	return exitCodes.ok;
}

async function runChange(
	fleet: FleetClient,
	line: string,
	statement: SetCommand | DrainCommand,
	opts: RunOptions,
): Promise<number> {
	const current = await fleet.client.configuration.query();
	if (!current) {
		throw new errors.UserError(errors.data.NotReady);
	}
	const changed = applyCommand(current.document, statement);
	if ('error' in changed) {
		return printError(line, changed.error);
	}
	const lines = diffConfigurations(current.document, changed.document);
	process.stdout.write(`${lines.length === 0 ? 'no change' : lines.join('\n')}\n`);
	if (opts.dryRun || lines.length === 0) {
		process.stdout.write(`version ${current.version} stays in force\n`);
		return exitCodes.ok;
	}
	const accepted = await fleet.client.applyConfiguration.mutate({
		document: changed.document,
		base: current.version,
		by: opts.by,
	});
	process.stdout.write(`version ${accepted.version} accepted\n`);
	return waitUntilApplied(fleet, accepted.version);
}

function printError(line: string, error: QueryError): number {
	const hint = error.suggestion === undefined ? '' : ` - did you mean ${error.suggestion}?`;
	const pointer = `${' '.repeat(error.column - 1)}^`;
	process.stderr.write(`${line}\n${pointer}\ncolumn ${error.column}: ${error.message}${hint}\n`);
	return exitCodes.usage;
}

function formatRows(rows: readonly Row[], output: OutputFormat): string {
	if (output === 'json') {
		return JSON.stringify(rows);
	}
	if (output === 'kv') {
		return rows.map((row) => formatFields(row)).join('\n');
	}
	return formatTable(rows);
}
