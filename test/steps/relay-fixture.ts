/**
 * Accessors for the relay fixture of a scenario.
 * @module
 */
import * as assert from 'node:assert/strict';
import type { PlatformEngineStandIn } from '../stand-ins/platform-engine.js';
import type { Answer, Vm } from './relay-world.js';
import { RelayFixture } from './relay-world.js';
import type { FleetWorld } from './world.js';

const fixtures = new WeakMap<FleetWorld, RelayFixture>();

export function fixtureOf(world: FleetWorld): RelayFixture {
	let fixture = fixtures.get(world);
	if (!fixture) {
		fixture = new RelayFixture();
		fixtures.set(world, fixture);
	}
	return fixture;
}

/** Stops everything that the scenario started. */
export async function stopFixture(world: FleetWorld): Promise<void> {
	await fixtures.get(world)?.stop();
}

export function engineOf(world: FleetWorld, id: string): PlatformEngineStandIn {
	const engine = fixtureOf(world).engines.get(id);
	assert.ok(engine);
	return engine;
}

export function firstVm(world: FleetWorld): Vm {
	const [vm] = fixtureOf(world).vms;
	assert.ok(vm);
	return vm;
}

export function lastAnswer(world: FleetWorld): Answer {
	const answer = fixtureOf(world).answers.at(-1);
	assert.ok(answer);
	return answer;
}
