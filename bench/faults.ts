/**
 * Faults in mid-burst.
 * @module
 */
import type { Fault } from './experiment.js';
import type { Fleet } from './fleet.js';
import { stopProcess } from './fleet.js';

const atMs = 9000;
const forMs = 5000;
/** The daemon and the engine that faults are done to. */
const victim = 2;

export const faults: Record<string, Fault> = {
	'slow-endpoint': {
		name: 'slow-endpoint',
		startMs: atMs,
		begin: (fleet) => fleet.setFaults(fleet.engines[victim], { slowFactor: 4 }),
		durationMs: forMs,
		end: (fleet) => fleet.setFaults(fleet.engines[victim], { slowFactor: 1 }),
	},
	'dead-endpoint': {
		name: 'dead-endpoint',
		startMs: atMs,
		begin: async (fleet) => {
			const engine = fleet.engines[victim];
			if (engine) {
				await stopProcess(engine);
			}
		},
	},
	'dead-daemon': {
		name: 'dead-daemon',
		startMs: atMs,
		begin: async (fleet) => {
			const daemon = fleet.daemons[victim];
			if (daemon) {
				await stopProcess(daemon);
			}
		},
	},
	'frozen-daemon': {
		name: 'frozen-daemon',
		startMs: atMs,
		begin: async (fleet) => {
			fleet.daemons[victim]?.child.kill('SIGSTOP');
		},
		durationMs: forMs,
		end: async (fleet) => {
			fleet.daemons[victim]?.child.kill('SIGCONT');
		},
	},
	'cut-daemon': {
		name: 'cut-daemon',
		isolatedVm: `vm-${victim + 1}`,
		startMs: atMs,
		begin: (fleet) => cut(fleet, true),
		durationMs: forMs,
		end: (fleet) => cut(fleet, false),
	},
};

/** Cuts one daemon off from all others, both ways. */
async function cut(fleet: Fleet, on: boolean): Promise<void> {
	const names = fleet.daemons.map((daemon) => daemon.name);
	const cutOff = names[victim] ?? '';
	const calls = names.map((name, index) => {
		const peers = name === cutOff ? names.filter((other) => other !== name) : [cutOff];
		return fleet.createControlClient(index).cutPeers.mutate({ peers: on ? peers : [] });
	});
	await Promise.all(calls);
}
