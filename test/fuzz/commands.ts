/**
 * Random commands against a fleet model, and the property test that runs them.
 * @module
 */
import * as fc from 'fast-check';
import { classNames, FleetModel } from './fleet-model.js';

/** Default seed, which keeps runs reproducible. */
export const fuzzSeed = 20261202;
const daemonCount = 3;
const maxCommandsPerRun = 40;

type Command = fc.AsyncCommand<object, FleetModel>;

class ModelCommand implements Command {
	constructor(
		private readonly label: string,
		private readonly apply: (model: FleetModel) => void | Promise<void>,
	) {}

	check(): boolean {
		return true;
	}

	async run(_state: object, model: FleetModel): Promise<void> {
		await this.apply(model);
		await model.settle();
		model.checkInvariants();
	}

	toString(): string {
		return this.label;
	}
}

const anyIndex = fc.nat({ max: 7 });

function pick<T>(items: readonly T[], index: number): T | undefined {
	return items[index % Math.max(items.length, 1)];
}

const submit = fc
	.tuple(anyIndex, fc.constantFrom(...classNames), fc.option(fc.constantFrom('k1', 'k2')))
	.map(
		([index, cls, key]) =>
			new ModelCommand(`submit(${index},${cls},${key})`, (model) =>
				model.submit(index, cls, cls === 'post' ? (key ?? undefined) : undefined),
			),
	);

/** Requests of one class submitted in one command. */
const burstSize = 10;

const submitBurst = fc.tuple(anyIndex, fc.constantFrom('middle' as const, 'low' as const)).map(
	([index, cls]) =>
		new ModelCommand(`burst(${index},${cls})`, (model) => {
			for (let count = 0; count < burstSize; count++) {
				model.submit(index + count, cls);
			}
		}),
);

const advanceRun = anyIndex.map(
	(index) =>
		new ModelCommand(`advance(${index})`, (model) => {
			const run = pick(model.endpoints.activeRuns, index);
			if (run) {
				model.endpoints.advance(run);
			}
		}),
);

const breakRun = anyIndex.map(
	(index) =>
		new ModelCommand(`break(${index})`, (model) => {
			const run = pick(model.endpoints.activeRuns, index);
			if (run) {
				model.endpoints.break(run);
			}
		}),
);

const advanceTime = fc
	.constantFrom(25, 100, 600, 2500, 6000)
	.map((ms) => new ModelCommand(`advanceTime(${ms})`, (model) => model.advanceTime(ms)));

const faults = fc.constantFrom(
	new ModelCommand('drop messages', (model) => model.dropMessages()),
	new ModelCommand('duplicate messages', (model) => model.duplicateMessages()),
	new ModelCommand('kv down', (model) => {
		model.kv.isDown = true;
	}),
	new ModelCommand('kv up', (model) => {
		model.kv.isDown = false;
	}),
	new ModelCommand('kv loses a reply', (model) => {
		model.kv.repliesToLose = 1;
	}),
	new ModelCommand('e1 down', (model) => {
		model.endpoints.unreachableUrls.add('http://127.0.0.1:1');
	}),
	new ModelCommand('endpoints up', (model) => model.endpoints.unreachableUrls.clear()),
	new ModelCommand('thaw', (model) => model.thaw()),
);

const memberFaults = fc
	.tuple(anyIndex, fc.boolean())
	.map(([index, kill]) =>
		kill
			? new ModelCommand(`kill(${index})`, (model) => model.kill(index))
			: new ModelCommand(`freeze(${index})`, (model) => model.freeze(index)),
	);

/**
 * Runs random command sequences against the invariants of the model.
 * @returns Counts of the covered events by kind
 * @throws With the shrunk counterexample when an invariant is broken
 */
export async function fuzz(
	runs: number,
	seed: number,
	policy: 'granted' | 'independent' = 'granted',
): Promise<Map<string, number>> {
	const eventCounts = new Map<string, number>();
	const commandArbitraries: fc.Arbitrary<Command>[] = [
		submit,
		submit,
		submitBurst,
		advanceRun,
		advanceRun,
		breakRun,
		advanceTime,
		advanceTime,
		faults,
		memberFaults,
	];
	const property = fc.asyncProperty(
		fc.commands(commandArbitraries, { maxCommands: maxCommandsPerRun, size: 'max' }),
		async (commands) => {
			const model = new FleetModel(daemonCount, policy);
			await fc.asyncModelRun(() => ({ model: {}, real: model }), commands);
			await model.recover();
			model.checkFinalState();
			model.countEvents(eventCounts);
		},
	);
	await fc.assert(property, { numRuns: runs, seed });
	return eventCounts;
}
