/**
 * Generates the reference pages for settings, configuration, errors and log events from the code.
 * `node dist/tools/make-docs.js [--check]`; `--check` writes nothing and fails if a page is stale.
 * @module
 */
import * as fs from 'node:fs/promises';
import * as errors from '../src/core/errors/index.js';
import { logEvents } from '../src/core/relay/log-events.js';

interface Page {
	file: string;
	text: string;
}

interface DocumentedKey {
	table: string;
	key: string;
	text: string;
	default?: string;
	presence: 'required' | 'optional';
}

/** Headings of schemas whose constant is not named after its TOML table. */
const headingsByTable: Record<string, string> = {
	serviceClass: '[[classes]]',
	customer: '[[customers]]',
	endpoint: '[[endpoints]]',
	service: '[[services]]',
	settingsSchema: 'The file',
	configurationSchema: 'The file',
};

const isCheck = process.argv.includes('--check');
const pages = [
	await createSchemaPage('docs/SETTINGS.md', 'Settings of a daemon', 'src/core/settings/schema.ts'),
	await createSchemaPage(
		'docs/CONFIGURATION.md',
		"The operators' configuration",
		'src/core/configuration/schema.ts',
	),
	createErrorsPage(),
	createLogsPage(),
];
let stalePages = 0;
for (const page of pages) {
	if (isCheck) {
		const current = await fs.readFile(page.file, 'utf8').catch(() => '');
		stalePages += current === page.text ? 0 : 1;
	} else {
		await fs.writeFile(page.file, page.text);
	}
}
if (stalePages > 0) {
	process.stderr.write(`${stalePages} generated pages are stale; run "npm run docs"\n`);
	process.exit(1);
}

function createLogsPage(): Page {
	const lines = [
		'# Relay log events',
		'',
		'Generated from `src/core/relay/log-events.ts` by `npm run docs`. The relay logs each event to standard',
		'output as one line of key=value pairs; every line has `time`, `level`, `event` and `vm`. Times are in',
		'milliseconds.',
		'',
	];
	for (const event of logEvents) {
		lines.push(`## ${event.name}`, '', event.when, '', '| field | meaning |', '| --- | --- |');
		for (const [name, meaning] of Object.entries(event.fields)) {
			lines.push(`| \`${name}\` | ${meaning} |`);
		}
		lines.push('');
	}
	return { file: 'docs/LOGS.md', text: lines.join('\n') };
}

async function createSchemaPage(file: string, title: string, source: string): Promise<Page> {
	const items = parseKeys(await fs.readFile(source, 'utf8'));
	const lines = [`# ${title}`, '', `Generated from \`${source}\` by \`npm run docs\`.`, ''];
	for (const table of new Set(items.map((item) => item.table))) {
		lines.push(
			`## ${headingsByTable[table] ?? `[${table}]`}`,
			'',
			'| key | meaning | default |',
			'| --- | --- | --- |',
		);
		for (const item of items.filter((key) => key.table === table)) {
			const defaultOrPresence = item.default === undefined ? item.presence : `\`${item.default}\``;
			lines.push(`| \`${item.key}\` | ${item.text} | ${defaultOrPresence} |`);
		}
		lines.push('');
	}
	return { file, text: lines.join('\n') };
}

/** Parses the keys of each `zod.strictObject` constant and their doc comments. */
function parseKeys(source: string): DocumentedKey[] {
	const items: DocumentedKey[] = [];
	let table = '';
	let comment = '';
	for (const line of source.split('\n')) {
		const tableStart = /^(?:export )?const (\w+) = zod\.strictObject/.exec(line);
		if (tableStart?.[1]) {
			table = tableStart[1];
			comment = '';
		}
		const doc = /^\t\/\*\* (.*) \*\/$/.exec(line);
		const key = /^\t(\w+)(?::|,)/.exec(line);
		if (doc?.[1]) {
			comment = doc[1];
		} else if (key?.[1] && table !== '') {
			const [text, defaultValue] = comment.split(/\s*@default\s*/);
			const optional = line.includes('.optional()') || line.includes('.default(');
			const presence = optional ? 'optional' : 'required';
			const description = text || defaultDescription(key[1], line);
			items.push({ table, key: key[1], text: description, default: defaultValue, presence });
			comment = '';
		}
	}
	return items;
}

function createErrorsPage(): Page {
	const lines = [
		'# Errors',
		'',
		'Generated from `src/core/errors/errors-data.ts` by `npm run docs`.',
		'',
	];
	lines.push('| name | status | title | what to do |', '| --- | --- | --- | --- |');
	for (const data of Object.values(errors.data) as errors.ErrorData[]) {
		lines.push(`| \`${data.name}\` | ${data.status ?? ''} | ${data.title} | ${data.hint ?? ''} |`);
	}
	lines.push('');
	return { file: 'docs/ERRORS.md', text: lines.join('\n') };
}

/** Describes a key that has no doc comment. */
function defaultDescription(key: string, line: string): string {
	const isTable = /zod\.array|[a-z]+(\.default\([a-z]|,$)/.test(line) && key !== 'name';
	return isTable ? 'See the table of that name.' : 'Lower-case letters, digits, dots and hyphens.';
}
