/**
 * What the steps of one scenario share, and the end of every process it started.
 * @module
 */
import * as cucumber from '@cucumber/cucumber';
import { buildConfiguration, lakeshore } from '../../bench/deployments.js';
import type { FleetOptions } from '../../bench/fleet.js';
import { Fleet } from '../../bench/fleet.js';
import type { Configuration } from '../../src/core/configuration/index.js';
import type { EngineOptions } from '../stand-ins/engine.js';

cucumber.setDefaultTimeout(60_000);

export class FleetWorld extends cucumber.World {
	fleet?: Fleet;
	configuration?: Configuration;
	/** Answers and outcomes by the name that the scenario gives them. */
	readonly state = new Map<string, unknown>();

	async start(
		daemons: number,
		engines: Partial<EngineOptions>[],
		services = 1,
		opts: Partial<FleetOptions> = {},
		policy: object = {},
	): Promise<Fleet> {
		const fleet = new Fleet({ daemons, domains: lakeshore.domains, ...opts });
		this.fleet = fleet;
		await fleet.startStandIns(engines, services);
		await fleet.startDaemons();
		this.configuration = buildConfiguration(lakeshore, fleet, policy);
		await fleet.applyConfiguration(this.configuration);
		await fleet.waitForStatus((status) => status.members.length === daemons);
		return fleet;
	}

	get runningFleet(): Fleet {
		if (!this.fleet) {
			throw new Error('no fleet was started');
		}
		return this.fleet;
	}
}

cucumber.setWorldConstructor(FleetWorld);

cucumber.After(async function (this: FleetWorld) {
	await this.fleet?.stop();
});
