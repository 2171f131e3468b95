/**
 * State shared by the steps of one scenario, and the cleanup of the processes it started.
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
	/** Values that steps pass on to later steps, by name. */
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
			throw new Error('the scenario has not started a fleet');
		}
		return this.fleet;
	}
}

cucumber.setWorldConstructor(FleetWorld);

cucumber.After(async function (this: FleetWorld) {
	await this.fleet?.stop();
});
