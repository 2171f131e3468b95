/**
 * Writes the reference pages that follow from the code: settings, configuration, errors.
 * `node dist/tools/make-docs.js [--check]`; with --check it writes nothing and fails on a difference.
 * @module
 */
import * as fs from 'node:fs/promises';
import * as errors from '../src/core/errors/index.js';
import { logEvents } from '../src/core/relay/log-events.js';

interface Page {
	file: string;
	text: string;
}

interface Item {
	table: string;
	key: string;
	text: string;
	default?: string;
	need: 'required' | 'optional';
}

/** Headings of tables whose name in the code is not that in the file. */
const headings: Record<string, string> = {
	serviceClass: '[[classes]]',
	customer: '[[customers]]',
	endpoint: '[[endpoints]]',
	service: '[[services]]',
	settingsSchema: 'The file',
	configurationSchema: 'The file',
};

const isCheck = process.argv.includes('--check');
const pages = [
	await schemaPage('docs/SETTINGS.md', 'Settings of a daemon', 'src/core/settings/schema.ts'),
	await schemaPage(
		'docs/CONFIGURATION.md',
		"The operators' configuration",
		'src/core/configuration/schema.ts',
	),
	errorsPage(),
	logsPage(),
];
let stale = 0;
for (const page of pages) {
	if (isCheck) {
		const current = await fs.readFile(page.file, 'utf8').catch(() => '');
		stale += current === page.text ? 0 : 1;
	} else {
		await fs.writeFile(page.file, page.text);
	}
}
if (stale > 0) {
	process.stderr.write(`${stale} pages are not what the code says; run npm run docs\n`);
	process.exit(1);
}

/** Events of the relay's log. */
function logsPage(): Page {
	const lines = [
		'# Log of the relay',
		'',
		'Made from `src/core/relay/log-events.ts` by `npm run docs`. One line of key=value pairs an event on',
		'standard output; every line has `time`, `level`, `event` and `vm`. Times are in milliseconds.',
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

async function schemaPage(file: string, title: string, source: string): Promise<Page> {
	const items = readItems(await fs.readFile(source, 'utf8'));
	const lines = [`# ${title}`, '', `Made from \`${source}\` by \`npm run docs\`.`, ''];
	for (const table of new Set(items.map((item) => item.table))) {
		lines.push(
			`## ${headings[table] ?? `[${table}]`}`,
			'',
			'| key | meaning | default |',
			'| --- | --- | --- |',
		);
		for (const item of items.filter((known) => known.table === table)) {
			const shown = item.default === undefined ? item.need : `\`${item.default}\``;
			lines.push(`| \`${item.key}\` | ${item.text} | ${shown} |`);
		}
		lines.push('');
	}
	return { file, text: lines.join('\n') };
}

/** Keys of each strictObject with the doc comments before them. */
function readItems(source: string): Item[] {
	const items: Item[] = [];
	let table = '';
	let comment = '';
	for (const line of source.split('\n')) {
		const opened = /^(?:export )?const (\w+) = zod\.strictObject/.exec(line);
		if (opened?.[1]) {
			table = opened[1];
			comment = '';
		}
		const doc = /^\t\/\*\* (.*) \*\/$/.exec(line);
		const key = /^\t(\w+)(?::|,)/.exec(line);
		if (doc?.[1]) {
			comment = doc[1];
		} else if (key?.[1] && table !== '') {
			const [text, preset] = comment.split(/\s*@default\s*/);
			const optional = line.includes('.optional()') || line.includes('.default(');
			const need = optional ? 'optional' : 'required';
			const words = text || defaultText(key[1], line);
			items.push({ table, key: key[1], text: words, default: preset, need });
			comment = '';
		}
	}
	return items;
}

function errorsPage(): Page {
	const lines = [
		'# Errors',
		'',
		'Made from `src/core/errors/errors-data.ts` by `npm run docs`.',
		'',
	];
	lines.push('| name | status | title | what to do |', '| --- | --- | --- | --- |');
	for (const data of Object.values(errors.data) as errors.ErrorData[]) {
		lines.push(`| \`${data.name}\` | ${data.status ?? ''} | ${data.title} | ${data.hint ?? ''} |`);
	}
	lines.push('');
	return { file: 'docs/ERRORS.md', text: lines.join('\n') };
}

/** Keys that need no words of their own. */
function defaultText(key: string, line: string): string {
	const isTable = /zod\.array|[a-z]+(\.default\([a-z]|,$)/.test(line) && key !== 'name';
	return isTable ? 'See its own table.' : 'Lower-case letters, digits, dots and hyphens.';
}
