/**
 * Faults that benchmarks inject during a burst, by benchmark name.
 * @module
 */
import type { Fault } from './experiment.js';
import type { Fleet } from './fleet.js';
import { stopProcess } from './fleet.js';

const startMs = 9000;
const durationMs = 5000;
/** Index of the engine or daemon that a fault affects. */
const targetIndex = 2;

export const faults: Record<string, Fault> = {
	'slow-endpoint': {
		name: 'slow-endpoint',
		startMs,
		begin: (fleet) => fleet.setFaults(fleet.engines[targetIndex], { slowFactor: 4 }),
		durationMs,
		end: (fleet) => fleet.setFaults(fleet.engines[targetIndex], { slowFactor: 1 }),
	},
	'dead-endpoint': {
		name: 'dead-endpoint',
		startMs,
		begin: async (fleet) => {
			const engine = fleet.engines[targetIndex];
			if (engine) {
				await stopProcess(engine);
			}
		},
	},
	'dead-daemon': {
		name: 'dead-daemon',
		startMs,
		begin: async (fleet) => {
			const daemon = fleet.daemons[targetIndex];
			if (daemon) {
				await stopProcess(daemon);
			}
		},
	},
	'frozen-daemon': {
		name: 'frozen-daemon',
		startMs,
		begin: async (fleet) => {
			fleet.daemons[targetIndex]?.child.kill('SIGSTOP');
		},
		durationMs,
		end: async (fleet) => {
			fleet.daemons[targetIndex]?.child.kill('SIGCONT');
		},
	},
	'cut-daemon': {
		name: 'cut-daemon',
		isolatedVm: `vm-${targetIndex + 1}`,
		startMs,
		begin: (fleet) => setIsolated(fleet, true),
		durationMs,
		end: (fleet) => setIsolated(fleet, false),
	},
};

/** Blocks or restores peer traffic between the target daemon and all others, in both directions. */
async function setIsolated(fleet: Fleet, isIsolated: boolean): Promise<void> {
	const names = fleet.daemons.map((daemon) => daemon.name);
	const isolatedVm = names[targetIndex] ?? '';
	const updates = names.map((name, index) => {
		const peers = name === isolatedVm ? names.filter((other) => other !== name) : [isolatedVm];
		return fleet.createControlClient(index).cutPeers.mutate({ peers: isIsolated ? peers : [] });
	});
	await Promise.all(updates);
}
