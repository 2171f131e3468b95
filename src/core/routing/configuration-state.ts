/**
 * Holds the configuration in force. An older version never replaces a newer one.
 * @module
 */
import type { Log } from '../definitions.js';
import type { StoreChanges, StoreItem } from '../store/definitions.js';
import type { PrefixListener } from '../store/prefix-follower.js';
import { RouteTable } from './route-table.js';
import type { RoutingConfiguration } from './types.js';

export interface ConfigurationStateOptions {
	log: Log;
	/** Store key of the newest configuration. */
	key: string;
	/** @throws Error when the text is not a valid configuration */
	decode: (text: string) => RoutingConfiguration;
	onApplied: (table: RouteTable) => void;
}

export class ConfigurationState implements PrefixListener {
	private current?: RouteTable;
	private currentText?: string;

	constructor(private readonly opts: ConfigurationStateOptions) {}

	get table(): RouteTable | undefined {
		return this.current;
	}

	/** Version in force; 0 before the first. */
	get version(): number {
		return this.current?.version ?? 0;
	}

	/** Text of the configuration in force, as stored, for peers. */
	get text(): string | undefined {
		return this.currentText;
	}

	applySnapshot(items: readonly StoreItem[]): void {
		for (const item of items) {
			this.applyItem(item);
		}
	}

	applyChanges(changes: StoreChanges): void {
		for (const event of changes.events) {
			if (event.kind === 'put') {
				this.applyItem(event.item);
			}
		}
	}

	handleStoreLost(): void {
		// The current configuration stays in force.
	}

	/** Applies a configuration from the store or a peer if its version is newer. */
	applyIfNewer(text: string, source: string): void {
		let configuration: RoutingConfiguration;
		try {
			configuration = this.opts.decode(text);
		} catch (err) {
			this.opts.log.error('configuration.unreadable', { source, error: (err as Error).message });
			return;
		}
		if (configuration.version <= this.version) {
			return;
		}
		this.current = new RouteTable(configuration);
		this.currentText = text;
		this.opts.log.info('configuration.applied', {
			version: configuration.version,
			source,
			routes: configuration.routes.length,
			customers: configuration.customers.length,
		});
		this.opts.onApplied(this.current);
	}

	private applyItem(item: StoreItem): void {
		if (item.key === this.opts.key) {
			this.applyIfNewer(item.value, 'store');
		}
	}
}
