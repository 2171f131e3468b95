/**
 * Look-ups over a configuration in force.
 * @module
 */
import * as crypto from 'node:crypto';
import { CustomerKeyIndex } from './customer-key-index.js';
import type { Configuration, Customer, Endpoint, Service, ServiceClass } from './schema.js';
import { endpointStates } from './schema.js';
import type { VersionedConfiguration } from './types.js';

/** What a request asks for: a model or a plain service. */
export type RoutingTarget = `model:${string}` | `service:${string}`;

/** A configuration with its indexes. Immutable. */
export class ConfigurationView {
	readonly version: number;
	readonly document: Configuration;
	private readonly classes: Map<string, ServiceClass>;
	private readonly services: Map<string, Service>;
	private readonly endpoints: Map<string, Endpoint>;
	private readonly keys: CustomerKeyIndex;
	private readonly eligibleCache = new Map<string, readonly Endpoint[]>();

	constructor(versioned: VersionedConfiguration) {
		this.version = versioned.version;
		this.document = versioned.document;
		this.classes = byName(versioned.document.classes);
		this.services = byName(versioned.document.services);
		this.endpoints = byName(versioned.document.endpoints);
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

	/** Customer of a bearer key. */
	findCustomerByKey(key: string): Customer | undefined {
		return this.keys.find(hashToken(key));
	}

	isOperator(token: string): boolean {
		return anyEqual(this.document.operators.token_hashes, hashToken(token));
	}

	/** Models that a customer may ask for. */
	listModels(): string[] {
		return [...new Set(this.document.endpoints.flatMap((endpoint) => endpoint.models))].sort();
	}

	/** Active endpoints that serve a target for a class. */
	findEligibleEndpoints(target: RoutingTarget, cls: string): readonly Endpoint[] {
		const key = `${target} ${cls}`;
		let list = this.eligibleCache.get(key);
		if (!list) {
			list = this.document.endpoints.filter((endpoint) => serves(endpoint, target, cls));
			this.eligibleCache.set(key, list);
		}
		return list;
	}
}

function serves(endpoint: Endpoint, target: RoutingTarget, cls: string): boolean {
	const [kind, name] = split(target);
	const offers = kind === 'model' ? endpoint.models.includes(name) : endpoint.service === name;
	const classOk = endpoint.classes.length === 0 || endpoint.classes.includes(cls);
	return offers && classOk && endpoint.state === endpointStates.active;
}

function split(target: RoutingTarget): [string, string] {
	const at = target.indexOf(':');
	return [target.slice(0, at), target.slice(at + 1)];
}

function byName<T extends { name: string }>(items: readonly T[]): Map<string, T> {
	return new Map(items.map((item) => [item.name, item]));
}

/** Form in which tokens are kept. */
export function hashToken(token: string): string {
	return `sha256:${crypto.createHash('sha256').update(token).digest('hex')}`;
}

function anyEqual(hashes: readonly string[], hash: string): boolean {
	let equal = false;
	for (const known of hashes) {
		const same =
			known.length === hash.length && crypto.timingSafeEqual(Buffer.from(known), Buffer.from(hash));
		equal = equal || same;
	}
	return equal;
}
