/**
 * What a VM does when the store came back from an older copy: once for each era, by the first answer or by what a peer tells.
 * @module
 */
import type { Log } from '../../core/definitions.js';
import type { EngineDirectory } from '../../core/engines/engine-directory.js';
import type { VmRegistry } from '../../core/fleet/vm-registry.js';
import type { QuarantineRecords } from '../../core/quarantine/quarantine-records.js';
import type { ConfigurationState } from '../../core/routing/configuration-state.js';
import type { Store } from '../../core/store/definitions.js';
import { eraOf, storedRevision } from '../../core/store/revisions.js';
import type { FleetDuties } from './fleet-duties.js';
import type { StoreSync } from './store-sync.js';

export interface StoreRestorationOptions {
	log: Log;
	store: Store;
	engines: EngineDirectory;
	configuration: ConfigurationState;
	registry: VmRegistry;
	quarantineRecords: QuarantineRecords;
	storeSync: StoreSync;
	/** Absent where nothing is done for the whole fleet. */
	duties?: FleetDuties;
	onRestored: () => void;
}

export class StoreRestoration {
	/** The last era that this VM has taken in. */
	private takenIn = 0;

	constructor(private readonly opts: StoreRestorationOptions) {}

	/** Peers that the store answers may know of a new era before this VM has an answer of its own. */
	handlePeerEra(era: number): void {
		const { store } = this.opts;
		if (store.era > 0 && era > store.era) {
			this.handleRestored(era);
		}
	}

	/** What this VM wrote to the store is written again, and what it knows that is newer stays. */
	handleRestored(era: number): void {
		if (era <= this.takenIn) {
			return;
		}
		this.takenIn = era;
		const {
			engines,
			configuration,
			duties,
			registry,
			quarantineRecords,
			storeSync: reading,
		} = this.opts;
		this.opts.log.warn('store.restored', {
			era,
			era_before: eraOf(engines.revision),
			revision_before: storedRevision(engines.revision),
			configuration: configuration.version,
			duty_token: duties?.fencingToken,
		});
		this.opts.onRestored();
		duties?.handleStoreRestored();
		registry.scheduleRewrite();
		quarantineRecords.handleStoreRestored();
		reading.handleStoreRestored();
	}
}
