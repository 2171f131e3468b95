/**
 * Faults in mid-burst.
 * @module
 */
import type { Fault } from './experiment.js';
import type { Fleet } from './fleet.js';
import { end } from './fleet.js';

const atMs = 9000;
const forMs = 5000;
/** The daemon and the engine that faults are done to. */
const victim = 2;

export const faults: Record<string, Fault> = {
	'slow-endpoint': {
		name: 'slow-endpoint',
		atMs,
		begin: (fleet) => fleet.fault(fleet.engines[victim], { slowFactor: 4 }),
		forMs,
		end: (fleet) => fleet.fault(fleet.engines[victim], { slowFactor: 1 }),
	},
	'dead-endpoint': {
		name: 'dead-endpoint',
		atMs,
		begin: async (fleet) => {
			const engine = fleet.engines[victim];
			if (engine) {
				await end(engine);
			}
		},
	},
	'dead-daemon': {
		name: 'dead-daemon',
		atMs,
		begin: async (fleet) => {
			const daemon = fleet.daemons[victim];
			if (daemon) {
				await end(daemon);
			}
		},
	},
	'frozen-daemon': {
		name: 'frozen-daemon',
		atMs,
		begin: async (fleet) => {
			fleet.daemons[victim]?.child.kill('SIGSTOP');
		},
		forMs,
		end: async (fleet) => {
			fleet.daemons[victim]?.child.kill('SIGCONT');
		},
	},
	'cut-daemon': {
		name: 'cut-daemon',
		cutOff: `vm-${victim + 1}`,
		atMs,
		begin: (fleet) => cut(fleet, true),
		forMs,
		end: (fleet) => cut(fleet, false),
	},
};

/** Cuts one daemon off from all others, both ways. */
async function cut(fleet: Fleet, on: boolean): Promise<void> {
	const names = fleet.daemons.map((daemon) => daemon.name);
	const cutOff = names[victim] ?? '';
	const calls = names.map((name, index) => {
		const peers = name === cutOff ? names.filter((other) => other !== name) : [cutOff];
		return fleet.control(index).cutPeers.mutate({ peers: on ? peers : [] });
	});
	await Promise.all(calls);
}
