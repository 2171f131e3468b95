/**
 * Checks a configuration as a whole: its schema, then what its parts say of each other.
 * @module
 */
import * as rendezvous from '../membership/rendezvous.js';
import * as tomlDocument from '../settings/toml-document.js';
import type { Configuration } from './schema.js';
import { configurationSchema, endpointKinds } from './schema.js';

interface Problem {
	path: (string | number)[];
	message: string;
	hint?: string;
}

/** Checks a configuration file. */
export function checkConfiguration(
	file: string,
	text: string,
): Promise<tomlDocument.CheckResult<Configuration>> {
	return tomlDocument.checkToml(file, text, configurationSchema, crossCheck);
}

/** What the parts of a configuration say of each other. */
export function crossCheck(cfg: Configuration): Problem[] {
	return [
		...duplicates('classes', cfg.classes),
		...duplicates('customers', cfg.customers),
		...duplicates('endpoints', cfg.endpoints),
		...duplicates('services', cfg.services),
		...sharedHashes(cfg),
		...sharedKeys(cfg),
		...unknownClasses(cfg),
		...endpointProblems(cfg),
	];
}

function duplicates(list: string, items: readonly { name: string }[]): Problem[] {
	const seen = new Set<string>();
	const problems: Problem[] = [];
	for (const [index, item] of items.entries()) {
		if (seen.has(item.name)) {
			problems.push({ path: [list, index, 'name'], message: `${item.name} stands twice` });
		}
		seen.add(item.name);
	}
	return problems;
}

/** Classes stand as short hashes in messages between daemons. */
function sharedHashes(cfg: Configuration): Problem[] {
	const seen = new Map<number, string>();
	const problems: Problem[] = [];
	for (const [index, { name }] of cfg.classes.entries()) {
		const hash = rendezvous.hashName(name);
		const other = seen.get(hash);
		if (other !== undefined && other !== name) {
			const message = `cannot be told from ${other} between daemons; choose another name`;
			problems.push({ path: ['classes', index, 'name'], message });
		}
		seen.set(hash, name);
	}
	return problems;
}

function sharedKeys(cfg: Configuration): Problem[] {
	const owners = new Map<string, string>();
	const problems: Problem[] = [];
	for (const [index, customer] of cfg.customers.entries()) {
		for (const [at, hash] of customer.key_hashes.entries()) {
			const owner = owners.get(hash);
			if (owner !== undefined) {
				problems.push({
					path: ['customers', index, 'key_hashes', at],
					message: `the same key belongs to ${owner}`,
				});
			}
			owners.set(hash, customer.name);
		}
	}
	return problems;
}

function unknownClasses(cfg: Configuration): Problem[] {
	const known = new Set(cfg.classes.map((cls) => cls.name));
	const problems: Problem[] = [];
	const check = (cls: string, path: (string | number)[]) => {
		if (!known.has(cls)) {
			problems.push({
				path,
				message: `no class is named ${cls}`,
				hint: `known: ${[...known].join(', ')}`,
			});
		}
	};
	for (const [index, customer] of cfg.customers.entries()) {
		check(customer.default_class, ['customers', index, 'default_class']);
		for (const [at, cls] of customer.classes.entries()) {
			check(cls, ['customers', index, 'classes', at]);
		}
	}
	for (const [index, endpoint] of cfg.endpoints.entries()) {
		for (const [at, cls] of endpoint.classes.entries()) {
			check(cls, ['endpoints', index, 'classes', at]);
		}
	}
	return problems;
}

function endpointProblems(cfg: Configuration): Problem[] {
	const services = new Set(cfg.services.map((service) => service.name));
	const problems: Problem[] = [];
	for (const [index, endpoint] of cfg.endpoints.entries()) {
		if (endpoint.slots > endpoint.max_slots) {
			problems.push({ path: ['endpoints', index, 'slots'], message: 'larger than max_slots' });
		}
		if (endpoint.kind === endpointKinds.engine && endpoint.models.length === 0) {
			problems.push({ path: ['endpoints', index, 'models'], message: 'an engine needs a model' });
		}
		if (endpoint.kind === endpointKinds.service && !services.has(endpoint.service ?? '')) {
			problems.push({
				path: ['endpoints', index, 'service'],
				message: 'expected the name of a service',
			});
		}
	}
	return problems;
}
