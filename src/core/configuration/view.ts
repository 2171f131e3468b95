/**
 * Indexed look-ups in the active configuration.
 * @module
 */
import * as crypto from 'node:crypto';
import { CustomerKeyIndex } from './customer-key-index.js';
import type { Configuration, Customer, Endpoint, Service, ServiceClass } from './schema.js';
import { endpointStates } from './schema.js';
import type { VersionedConfiguration } from './types.js';

/** Model or service that a request is routed to. */
export type RoutingTarget = `model:${string}` | `service:${string}`;

/** An immutable configuration with its indexes. */
export class ConfigurationView {
	readonly version: number;
	readonly document: Configuration;
	private readonly classes: Map<string, ServiceClass>;
	private readonly services: Map<string, Service>;
	private readonly endpoints: Map<string, Endpoint>;
	private readonly keys: CustomerKeyIndex;
	private readonly eligibleEndpoints = new Map<string, readonly Endpoint[]>();

	constructor(versioned: VersionedConfiguration) {
		this.version = versioned.version;
		this.document = versioned.document;
		this.classes = indexByName(versioned.document.classes);
		this.services = indexByName(versioned.document.services);
		this.endpoints = indexByName(versioned.document.endpoints);
		this.keys = new CustomerKeyIndex(versioned.document.customers);
	}

	findClass(name: string): ServiceClass | undefined {
		return this.classes.get(name);
	}

	findService(name: string): Service | undefined {
		return this.services.get(name);
	}

	findEndpoint(name: string): Endpoint | undefined {
		return this.endpoints.get(name);
	}

	findCustomerByKey(key: string): Customer | undefined {
		return this.keys.find(hashToken(key));
	}

	isOperator(token: string): boolean {
		return includesHash(this.document.operators.token_hashes, hashToken(token));
	}

	/** Lists the models of all endpoints, sorted by name. */
	listModels(): string[] {
		return [...new Set(this.document.endpoints.flatMap((endpoint) => endpoint.models))].sort();
	}

	/** Finds the active endpoints that serve a target for a class; cached. */
	findEligibleEndpoints(target: RoutingTarget, cls: string): readonly Endpoint[] {
		const key = `${target} ${cls}`;
		let list = this.eligibleEndpoints.get(key);
		if (!list) {
			list = this.document.endpoints.filter((endpoint) => isEligible(endpoint, target, cls));
			this.eligibleEndpoints.set(key, list);
		}
		return list;
	}
}

function isEligible(endpoint: Endpoint, target: RoutingTarget, cls: string): boolean {
	const [kind, name] = splitTarget(target);
	const hasTarget = kind === 'model' ? endpoint.models.includes(name) : endpoint.service === name;
	const servesClass = endpoint.classes.length === 0 || endpoint.classes.includes(cls);
	return hasTarget && servesClass && endpoint.state === endpointStates.active;
}

function splitTarget(target: RoutingTarget): [string, string] {
	const separator = target.indexOf(':');
	return [target.slice(0, separator), target.slice(separator + 1)];
}

function indexByName<T extends { name: string }>(items: readonly T[]): Map<string, T> {
	return new Map(items.map((item) => [item.name, item]));
}

/** Hashes a key or token into the form that the configuration contains. */
export function hashToken(token: string): string {
	return `sha256:${crypto.createHash('sha256').update(token).digest('hex')}`;
}

function includesHash(hashes: readonly string[], hash: string): boolean {
	let isFound = false;
	for (const candidate of hashes) {
		const isEqual =
			candidate.length === hash.length &&
			crypto.timingSafeEqual(Buffer.from(candidate), Buffer.from(hash));
		isFound = isFound || isEqual;
	}
	return isFound;
}
