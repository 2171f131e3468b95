/**
 * Commands of the fuzz run, and the run itself.
 * @module
 */
import * as fc from 'fast-check';
import { classNames, FleetModel } from './fleet-model.js';

/** Seed of the committed runs. */
export const fuzzSeed = 20261202;
const daemons = 3;
const maxCommands = 40;

type Command = fc.AsyncCommand<object, FleetModel>;

class Step implements Command {
	constructor(
		private readonly text: string,
		private readonly act: (model: FleetModel) => void | Promise<void>,
	) {}

	check(): boolean {
		return true;
	}

	async run(_abstract: object, model: FleetModel): Promise<void> {
		await this.act(model);
		await model.settle();
		model.checkInvariants();
	}

	toString(): string {
		return this.text;
	}
}

const index = fc.nat({ max: 7 });

function pick<T>(items: readonly T[], at: number): T | undefined {
	return items[at % Math.max(items.length, 1)];
}

const submit = fc
	.tuple(index, fc.constantFrom(...classNames), fc.option(fc.constantFrom('k1', 'k2')))
	.map(
		([at, cls, key]) =>
			new Step(`submit(${at},${cls},${key})`, (model) =>
				model.submit(at, cls, cls === 'post' ? (key ?? undefined) : undefined),
			),
	);

/** Requests of one class that come at once. */
const burstSize = 10;

const burst = fc.tuple(index, fc.constantFrom('middle' as const, 'low' as const)).map(
	([at, cls]) =>
		new Step(`burst(${at},${cls})`, (model) => {
			for (let count = 0; count < burstSize; count++) {
				model.submit(at + count, cls);
			}
		}),
);

const advance = index.map(
	(at) =>
		new Step(`advance(${at})`, (model) => {
			const run = pick(model.endpoints.activeRuns, at);
			if (run) {
				model.endpoints.advance(run);
			}
		}),
);

const breakRun = index.map(
	(at) =>
		new Step(`break(${at})`, (model) => {
			const run = pick(model.endpoints.activeRuns, at);
			if (run) {
				model.endpoints.break(run);
			}
		}),
);

const pass = fc
	.constantFrom(25, 100, 600, 2500, 6000)
	.map((ms) => new Step(`pass(${ms})`, (model) => model.advanceTime(ms)));

const faults = fc.constantFrom(
	new Step('lose messages', (model) => model.dropMessages()),
	new Step('double messages', (model) => model.duplicateMessages()),
	new Step('kv down', (model) => {
		model.kv.isDown = true;
	}),
	new Step('kv up', (model) => {
		model.kv.isDown = false;
	}),
	new Step('kv loses a reply', (model) => {
		model.kv.repliesToLose = 1;
	}),
	new Step('e1 down', (model) => {
		model.endpoints.unreachableUrls.add('http://127.0.0.1:1');
	}),
	new Step('endpoints up', (model) => model.endpoints.unreachableUrls.clear()),
	new Step('thaw', (model) => model.thaw()),
);

const memberFaults = fc
	.tuple(index, fc.boolean())
	.map(([at, kill]) =>
		kill
			? new Step(`kill(${at})`, (model) => model.kill(at))
			: new Step(`freeze(${at})`, (model) => model.freeze(at)),
	);

/** Runs command sequences against the oracle; rejects with the shrunk counterexample. */
export async function fuzz(
	runs: number,
	seed: number,
	policy: 'granted' | 'independent' = 'granted',
): Promise<Map<string, number>> {
	const covered = new Map<string, number>();
	const all: fc.Arbitrary<Command>[] = [
		submit,
		submit,
		burst,
		advance,
		advance,
		breakRun,
		pass,
		pass,
		faults,
		memberFaults,
	];
	const property = fc.asyncProperty(
		fc.commands(all, { maxCommands, size: 'max' }),
		async (commands) => {
			const model = new FleetModel(daemons, policy);
			await fc.asyncModelRun(() => ({ model: {}, real: model }), commands);
			await model.recover();
			model.checkFinalState();
			model.countEvents(covered);
		},
	);
	await fc.assert(property, { numRuns: runs, seed });
	return covered;
}
