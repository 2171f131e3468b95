/**
 * Runs every feature with cucumber and closes with `N passed, N failed`. Scenarios named in
 * KNOWN-RED.txt run too, are printed, and do not decide the verdict.
 * @module
 */
import * as fs from 'node:fs/promises';
import * as cucumber from '@cucumber/cucumber/api';

const knownRedFile = 'KNOWN-RED.txt';
const paths = process.argv.slice(2);

interface Scenario {
	name: string;
	/** Steps that failed, were undefined, or the like. */
	failures: string[];
}

const knownRed = await readKnownRed();
const pickles = new Map<string, string>();
const cases = new Map<string, string>();
const attempts = new Map<string, Scenario>();
const finished: Scenario[] = [];

const { runConfiguration } = await cucumber.loadConfiguration({
	provided: {
		paths: paths.length > 0 ? paths : ['test/features/**/*.feature'],
		import: ['dist/test/steps/**/*.js'],
		format: ['summary'],
		strict: true,
	},
});
const { success } = await cucumber.runCucumber(runConfiguration, {}, (envelope) => {
	if (envelope.pickle) {
		pickles.set(envelope.pickle.id, envelope.pickle.name);
	} else if (envelope.testCase) {
		cases.set(envelope.testCase.id, pickles.get(envelope.testCase.pickleId) ?? '');
	} else if (envelope.testCaseStarted) {
		const name = cases.get(envelope.testCaseStarted.testCaseId) ?? '';
		attempts.set(envelope.testCaseStarted.id, { name, failures: [] });
	} else if (envelope.testStepFinished) {
		const { status } = envelope.testStepFinished.testStepResult;
		if (status !== 'PASSED') {
			attempts.get(envelope.testStepFinished.testCaseStartedId)?.failures.push(status);
		}
	} else if (envelope.testCaseFinished) {
		const scenario = attempts.get(envelope.testCaseFinished.testCaseStartedId);
		if (scenario) {
			finished.push(scenario);
		}
	}
});

const failed = finished.filter((scenario) => scenario.failures.length > 0);
const unexpected = failed.filter((scenario) => !knownRed.has(scenario.name));
for (const scenario of failed) {
	const mark = knownRed.has(scenario.name) ? 'known red' : 'failed';
	process.stdout.write(`${mark}: ${scenario.name} (${scenario.failures.join(', ')})\n`);
}
const brokeOutside = !success && failed.length === 0;
const passed = finished.length - failed.length;
process.stdout.write(`${passed} passed, ${unexpected.length + (brokeOutside ? 1 : 0)} failed\n`);
process.exit(unexpected.length > 0 || brokeOutside || finished.length === 0 ? 1 : 0);

/** Names of scenarios: the part of each line before the first semicolon. */
async function readKnownRed(): Promise<Set<string>> {
	try {
		const text = await fs.readFile(knownRedFile, 'utf8');
		const lines = text.split('\n').filter((line) => line !== '' && !line.startsWith('#'));
		return new Set(lines.map((line) => (line.split(';')[0] ?? '').trim()));
	} catch {
		return new Set();
	}
}
