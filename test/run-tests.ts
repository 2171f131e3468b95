/**
 * Runs features with cucumber and prints `N passed, N failed` at the end. Scenarios listed in
 * KNOWN-RED.txt run and are printed, but their failures don't affect the exit code.
 * @module
 */
import * as fs from 'node:fs/promises';
import * as cucumber from '@cucumber/cucumber/api';

const knownRedFile = 'KNOWN-RED.txt';
const paths = process.argv.slice(2);

interface Scenario {
	name: string;
	/** Statuses of the steps that did not pass. */
	failures: string[];
}

const knownRed = await readKnownRed();
const scenarioNameByPickle = new Map<string, string>();
const scenarioNameByTestCase = new Map<string, string>();
const attemptsById = new Map<string, Scenario>();
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
		scenarioNameByPickle.set(envelope.pickle.id, envelope.pickle.name);
	} else if (envelope.testCase) {
		scenarioNameByTestCase.set(
			envelope.testCase.id,
			scenarioNameByPickle.get(envelope.testCase.pickleId) ?? '',
		);
	} else if (envelope.testCaseStarted) {
		const name = scenarioNameByTestCase.get(envelope.testCaseStarted.testCaseId) ?? '';
		attemptsById.set(envelope.testCaseStarted.id, { name, failures: [] });
	} else if (envelope.testStepFinished) {
		const { status } = envelope.testStepFinished.testStepResult;
		if (status !== 'PASSED') {
			attemptsById.get(envelope.testStepFinished.testCaseStartedId)?.failures.push(status);
		}
	} else if (envelope.testCaseFinished) {
		const scenario = attemptsById.get(envelope.testCaseFinished.testCaseStartedId);
		if (scenario) {
			finished.push(scenario);
		}
	}
});

const failed = finished.filter((scenario) => scenario.failures.length > 0);
const unexpected = failed.filter((scenario) => !knownRed.has(scenario.name));
for (const scenario of failed) {
	const label = knownRed.has(scenario.name) ? 'known red' : 'failed';
	process.stdout.write(`${label}: ${scenario.name} (${scenario.failures.join(', ')})\n`);
}
const hasFailedOutsideScenarios = !success && failed.length === 0;
const passed = finished.length - failed.length;
process.stdout.write(
	`${passed} passed, ${unexpected.length + (hasFailedOutsideScenarios ? 1 : 0)} failed\n`,
);
process.exit(unexpected.length > 0 || hasFailedOutsideScenarios || finished.length === 0 ? 1 : 0);

/** Reads the scenario names: the part of each line before the first semicolon. */
async function readKnownRed(): Promise<Set<string>> {
	try {
		const text = await fs.readFile(knownRedFile, 'utf8');
		const lines = text.split('\n').filter((line) => line !== '' && !line.startsWith('#'));
		return new Set(lines.map((line) => (line.split(';')[0] ?? '').trim()));
	} catch {
		return new Set();
	}
}
