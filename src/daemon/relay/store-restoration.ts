/**
 * Handles a restore of the store from an older copy, once per era, when an answer of the store or a peer reveals it.
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
	/** Absent where the VM performs no duties. */
	duties?: FleetDuties;
	onRestored: () => void;
}

export class StoreRestoration {
	/** Latest era that was handled. */
	private handledEra = 0;

	constructor(private readonly opts: StoreRestorationOptions) {}

	/** Handles the era that a peer gossips; the peer may notice a restore before this VM. */
	handlePeerEra(era: number): void {
		const { store } = this.opts;
		if (store.era > 0 && era > store.era) {
			this.handleRestored(era);
		}
	}

	/** Writes this VM's entries to the store again and reads the rest again; newer state of this VM is kept. */
	handleRestored(era: number): void {
		if (era <= this.handledEra) {
			return;
		}
		this.handledEra = era;
		const { engines, configuration, duties, registry, quarantineRecords, storeSync } = this.opts;
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
		storeSync.handleStoreRestored();
	}
}
